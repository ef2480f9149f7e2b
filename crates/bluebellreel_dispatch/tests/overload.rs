//! Retry delays of refused callers.

use bluebellreel_dispatch::{Overloads, retry_delay};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(1_000_000);

/// During a burst of five seconds, callers that were asked to retry after 0.7 s on
/// average retried into the burst and were refused for good, as most retry only once.
/// The delay must grow with the duration of the overload.
#[test]
fn retry_delays_grow_with_the_duration_of_an_overload() {
    let service = Arc::from("lm");
    let mut overloads = Overloads::default();
    let mut now = NOW;
    let mut delays = Vec::new();
    for _ in 0..20 {
        let lasted = overloads.refused(&service, now);
        delays.push(retry_delay(lasted, Duration::from_secs(20), 0.5));
        now = now + Duration::from_millis(250);
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[19] > delays[0] * 3, "{delays:?}");
}

/// After an overload has ended, the first refusal of the next one must not reuse its
/// duration.
#[test]
fn the_next_overload_starts_at_zero() {
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
    /// Callers do not comply with a delay of more than a third of their remaining time,
    /// and must not all retry at once.
    #[test]
    fn retry_delays_are_bounded_and_spread(lasted in 0u64..60_000, left in 1u64..60_000, draw in 0.0..1.0f64) {
        let (lasted, left) = (Duration::from_millis(lasted), Duration::from_millis(left));
        let after = retry_delay(lasted, left, draw);
        prop_assert!(after <= left / 3);
        let (first, last) = (retry_delay(lasted, left, 0.0), retry_delay(lasted, left, 1.0));
        prop_assert!(first <= after && after <= last);
        prop_assert!(last >= first * 2);
    }
}
