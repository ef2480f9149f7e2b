//! When refused callers return.

use bluebellreel_dispatch::{Overloads, retry_delay};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000);

/// A burst of five seconds. Callers that were told to return after 0.7 s on
/// average returned into it and were refused for good, as most return once. The
/// longer it has lasted, the later they are told to return.
#[test]
fn callers_return_later_the_longer_an_overload_lasts() {
    let service = Arc::from("lm");
    let mut overloads = Overloads::default();
    let mut now = NOW;
    let mut told = Vec::new();
    for _ in 0..20 {
        let lasted = overloads.refused(&service, now);
        told.push(retry_delay(lasted, Duration::from_secs(20), 0.5));
        now = now + Duration::from_millis(250);
    }
    assert!(told.is_sorted(), "{told:?}");
    assert!(told[19] > told[0] * 3, "{told:?}");
}

/// A wave is over; the first refusal of the next one says nothing of its length.
#[test]
fn the_next_overload_begins_anew() {
    let service = Arc::from("lm");
    let mut overloads = Overloads::default();
    for ms in [0, 400, 800] {
        overloads.refused(&service, NOW + Duration::from_millis(ms));
    }
    let pause = NOW + Duration::from_secs(2);
    assert_eq!(overloads.refused(&service, pause), Duration::ZERO);
    let other = overloads.refused(&Arc::from("other"), pause);
    assert_eq!(other, Duration::ZERO);
}

proptest! {
    /// Callers do not heed more than a third of the time they have left, and
    /// must not return all at once.
    #[test]
    fn returns_are_heeded_and_spread(lasted in 0u64..60_000, left in 1u64..60_000, draw in 0.0..1.0f64) {
        let (lasted, left) = (Duration::from_millis(lasted), Duration::from_millis(left));
        let after = retry_delay(lasted, left, draw);
        prop_assert!(after <= left / 3);
        let (first, last) = (retry_delay(lasted, left, 0.0), retry_delay(lasted, left, 1.0));
        prop_assert!(first <= after && after <= last);
        prop_assert!(last >= first * 2);
    }
}
