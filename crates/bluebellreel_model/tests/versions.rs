//! Model check of the version at which a caller resumes its stream.

use bluebellreel_model::versions::{Guard, Guards, explore};

#[test]
fn no_stream_goes_on_at_another_version() {
    let explored = explore(Guards::default());
    let violation = explored.violation.unwrap_or_default();
    assert!(violation.is_empty(), "{violation}");
    assert!(explored.states > 10_000, "{} states", explored.states);
}

/// Each guard is needed: without it the checker finds a stream that goes on at another
/// version.
#[test]
fn without_a_guard_a_stream_goes_on_at_another_version() {
    for guard in Guard::ALL {
        let disabled = Some(guard);
        let explored = explore(Guards { disabled });
        assert!(explored.violation.is_some(), "{guard:?}");
    }
}
