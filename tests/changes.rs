//! Changes of the configuration under load, as a test.

mod common;

/// A change, two operators at once, an outage, a daemon killed in the middle
/// and a drain, with people asking all the time. Each change is in force
/// everywhere and stays, and nobody's request fails.
#[test]
fn changes_hold_everywhere_and_harm_nobody() {
    common::run_example("changes", &[]);
}
