//! How long keys are accepted without proof that the configuration is the newest one.

use bluebellreel_teams::{Confirmation, RevocationTerms};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000 + ms * 1000)
}

/// Guards against a gateway that is cut off and goes on to accept revoked keys.
#[test]
fn keys_are_refused_once_the_confirmation_is_old() {
    let terms = RevocationTerms::within(BOUND);
    let mut confirmation = Confirmation::default();
    assert!(!confirmation.allows_keys(7, &terms, at(0)));
    confirmation.note(7, at(0));
    assert!(confirmation.allows_keys(7, &terms, at(4000)));
    assert!(!confirmation.allows_keys(7, &terms, at(4900)));
}

/// Guards against keys of a configuration that is known not to be the newest one.
#[test]
fn keys_of_an_older_configuration_are_refused() {
    let terms = RevocationTerms::within(BOUND);
    let mut confirmation = Confirmation::default();
    confirmation.note(7, at(0));
    assert!(!confirmation.allows_keys(6, &terms, at(10)));
    assert!(confirmation.allows_keys(8, &terms, at(10)));
}

/// Guards against an answer that was delayed and overrides a later one.
#[test]
fn an_older_confirmation_changes_nothing() {
    let mut confirmation = Confirmation::default();
    confirmation.note(7, at(500));
    confirmation.note(6, at(100));
    assert_eq!(
        confirmation.age(7, at(600)),
        Some(Duration::from_millis(100))
    );
    assert_eq!(confirmation.age(6, at(600)), None);
}

/// Guards against a final rejection of a key that was added a moment ago.
#[test]
fn unknown_keys_are_rejected_only_by_a_recent_confirmation() {
    let mut confirmation = Confirmation::default();
    assert!(!confirmation.allows_rejection(7, at(0)));
    confirmation.note(7, at(0));
    assert!(confirmation.allows_rejection(7, at(1500)));
    assert!(!confirmation.allows_rejection(7, at(2500)));
}

proptest! {
    /// Versions are written at some moments, and a gateway and its peer read the newest one
    /// with delays, suspensions and losses. Guards that no key is accepted later than the
    /// bound after a version that the gateway does not hold was written.
    #[test]
    fn no_key_opens_anything_later_than_the_bound(
        writes in prop::collection::vec(0..20_000u64, 1..6),
        reads in prop::collection::vec((0..20_000u64, 0..3000u64, 0..8000u64, 0..2000u64), 1..30),
        checks in prop::collection::vec(0..30_000u64, 1..20),
    ) {
        let mut writes = writes;
        writes.sort_unstable();
        let newest = |ms: u64| {
            let written = writes.iter().filter(|w| **w <= ms).count();
            i64::try_from(written).expect("few writes") + 1
        };
        let terms = RevocationTerms::within(BOUND);
        // A peer read the store `age` before it answered, after `way`; its answer took
        // `back`, which includes suspensions of this gateway.
        let mut answers: Vec<(u64, i64, Moment)> = reads
            .into_iter()
            .map(|(asked, way, back, age)| {
                let answered = asked + way;
                let read_at = answered.saturating_sub(age);
                (answered + back, newest(read_at), at(asked) - Duration::from_millis(age))
            })
            .collect();
        answers.sort_by_key(|(arrived, _, _)| *arrived);
        for check in checks {
            let mut confirmation = Confirmation::default();
            let mut held = 0;
            for (_, revision, asked) in answers.iter().filter(|(arrived, _, _)| *arrived <= check) {
                held = held.max(*revision);
                confirmation.note(*revision, *asked);
            }
            if confirmation.allows_keys(held, &terms, at(check)) {
                let bound = u64::try_from(BOUND.as_millis()).expect("small");
                prop_assert!(held >= newest(check.saturating_sub(bound)));
            }
        }
    }
}
