//! Owners that may have lost their jobs without noticing.

use bluebellreel_batch::{RegistrationSpan, Stamp};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::time::Duration;

/// Time to live of a registration in the store after a renewal has arrived.
const TTL_MS: u64 = 3600;

fn at(ms: u64) -> Stamp {
    Stamp {
        at: Moment(ms * 1000),
        suspended: Duration::ZERO,
    }
}

fn after_suspension(ms: u64, suspended_ms: u64) -> Stamp {
    Stamp {
        suspended: Duration::from_millis(suspended_ms),
        ..at(ms)
    }
}

/// An owner is cut off from the store for longer than its registration lasts, and its
/// successor takes its jobs over. The first call that the store answers again must not
/// revalidate older confirmations.
#[test]
fn confirmations_before_a_gap_do_not_hold_after_it() {
    let mut registration = RegistrationSpan::default();
    assert!(registration.renewed(at(1000), at(1004)));
    assert!(registration.covers(at(1100), at(3400)));
    assert!(
        !registration.covers(at(1100), at(3501)),
        "not renewed in time"
    );
    assert!(registration.renewed(at(9000), at(9004)), "a new span");
    assert!(!registration.covers(at(1100), at(9010)));
    assert!(registration.covers(at(9005), at(9010)));
}

/// An owner's VM is suspended for five seconds. Its monotonic clock does not show that,
/// and the answers waiting in its sockets are older than the suspension.
#[test]
fn confirmations_before_a_suspension_do_not_hold_after_it() {
    let mut registration = RegistrationSpan::default();
    registration.renewed(at(1000), at(1004));
    assert!(!registration.covers(at(1100), after_suspension(1200, 5000)));
    assert!(!registration.renewed(at(1150), after_suspension(1210, 5000)));
    assert!(!registration.covers(at(1150), after_suspension(1220, 5000)));
    assert!(registration.renewed(after_suspension(1300, 5000), after_suspension(1304, 5000)));
    assert!(!registration.covers(at(1100), after_suspension(1310, 5000)));
    assert!(registration.covers(after_suspension(1305, 5000), after_suspension(1310, 5000)));
}

/// The lease has expired. The registration written next is a new one.
#[test]
fn a_new_registration_begins_a_new_span() {
    let mut registration = RegistrationSpan::default();
    registration.renewed(at(1000), at(1004));
    registration.interrupt();
    assert!(!registration.covers(at(1100), at(1200)));
    assert!(registration.renewed(at(1300), at(1304)));
    assert!(!registration.covers(at(1100), at(1400)));
}

proptest! {
    /// Renewals succeed and fail in any sequence: while a confirmation holds, the
    /// registration has existed ever since. A renewal takes effect between its request
    /// and its answer. One that failed may have taken effect as well, which only makes
    /// the registration last longer.
    #[test]
    fn a_confirmation_holds_only_while_the_registration_exists(
        calls in prop::collection::vec((0u64..3000, 0u64..800, any::<bool>(), 0u64..6000), 1..20),
        confirmed_after in 0u64..20_000,
        checked_after in 0u64..6000,
    ) {
        let mut registration = RegistrationSpan::default();
        let (mut now, mut suspended_total) = (0, 0);
        // Spans, by true time, for which the registration certainly existed.
        let mut spans: Vec<(u64, u64)> = Vec::new();
        let mut answered_at = None;
        for (pause, duration, answered, suspended) in calls {
            now += pause;
            let sent = after_suspension(now, suspended_total);
            let sent_true = now + suspended_total;
            // The VM is suspended during some of the calls.
            suspended_total += if suspended > 4500 { suspended } else { 0 };
            now += duration;
            if !answered {
                continue;
            }
            match spans.last_mut() {
                Some((_, end)) if sent_true <= *end => *end = sent_true + TTL_MS,
                _ => spans.push((sent_true, sent_true + TTL_MS)),
            }
            if spans.len() > 1 && spans.last().is_some_and(|s| s.0 == sent_true) {
                // The registration had expired: the store reports that, and it is
                // written again.
                registration.interrupt();
            }
            registration.renewed(sent, after_suspension(now, suspended_total));
            answered_at = Some((now, suspended_total));
        }
        if let Some((answered, suspended_total)) = answered_at {
            let checked = answered + checked_after;
            let confirmed = confirmed_after.min(checked);
            if registration.covers(
                after_suspension(confirmed, suspended_total),
                after_suspension(checked, suspended_total),
            ) {
                let (confirmed, checked) = (confirmed + suspended_total, checked + suspended_total);
                prop_assert!(spans.iter().any(|(from, to)| *from <= confirmed && checked <= *to));
            }
        }
    }
}

/// The registration of an owner has expired. While the owner writes the next one, it
/// reads the owner of its job from the store, and the job is taken over before the
/// registration exists. The answer must not count as a confirmation of the new span.
#[test]
fn a_confirmation_during_registration_does_not_hold() {
    let mut registration = RegistrationSpan::default();
    registration.renewed(at(1000), at(1400));
    assert!(!registration.covers(at(1200), at(1500)));
    assert!(registration.covers(at(1401), at(1500)));
}
