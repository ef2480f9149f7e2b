//! Owners that may have lost their jobs without knowing.

use bluebellreel_batch::{RegistrationSpan, Stamp};
use bluebellreel_types::Moment;
use proptest::prelude::*;
use std::time::Duration;

/// Time to live of an entry in the store after a renewal has arrived.
const TTL_MS: u64 = 3600;

fn at(ms: u64) -> Stamp {
    Stamp {
        at: Moment(ms * 1000),
        suspended: Duration::ZERO,
    }
}

fn after_sleep(ms: u64, suspended_ms: u64) -> Stamp {
    Stamp {
        suspended: Duration::from_millis(suspended_ms),
        ..at(ms)
    }
}

/// An owner is cut off from the store for longer than its entry stands. Its successor
/// takes its jobs over. The first call that the store answers again must not make
/// it believe what it knew before.
#[test]
fn what_was_known_before_a_gap_is_not_believed_after_it() {
    let mut tenure = RegistrationSpan::default();
    assert!(tenure.renewed(at(1000), at(1004)));
    assert!(tenure.covers(at(1100), at(3400)));
    assert!(!tenure.covers(at(1100), at(3501)), "not renewed in time");
    assert!(tenure.renewed(at(9000), at(9004)), "a new span");
    assert!(!tenure.covers(at(1100), at(9010)));
    assert!(tenure.covers(at(9005), at(9010)));
}

/// An owner's VM is suspended for five seconds. Its steady clock does not show
/// it, and the answers that lie in its sockets are older than that.
#[test]
fn what_was_known_before_a_suspension_is_not_believed_after_it() {
    let mut tenure = RegistrationSpan::default();
    tenure.renewed(at(1000), at(1004));
    assert!(!tenure.covers(at(1100), after_sleep(1200, 5000)));
    assert!(!tenure.renewed(at(1150), after_sleep(1210, 5000)));
    assert!(!tenure.covers(at(1150), after_sleep(1220, 5000)));
    assert!(tenure.renewed(after_sleep(1300, 5000), after_sleep(1304, 5000)));
    assert!(!tenure.covers(at(1100), after_sleep(1310, 5000)));
    assert!(tenure.covers(after_sleep(1305, 5000), after_sleep(1310, 5000)));
}

/// A lease has ended: the entry that is written next is another one.
#[test]
fn an_entry_that_is_written_again_begins_a_new_span() {
    let mut tenure = RegistrationSpan::default();
    tenure.renewed(at(1000), at(1004));
    tenure.interrupt();
    assert!(!tenure.covers(at(1100), at(1200)));
    assert!(tenure.renewed(at(1300), at(1304)));
    assert!(!tenure.covers(at(1100), at(1400)));
}

proptest! {
    /// Whatever renewals come and fail: while a word is believed, the entry has
    /// stood ever since it was given. Renewals take effect between being sent and
    /// being answered; those that fail may have taken effect as well, which only
    /// makes the entry stand for longer.
    #[test]
    fn a_word_is_believed_only_while_the_entry_has_stood(
        calls in prop::collection::vec((0u64..3000, 0u64..800, any::<bool>(), 0u64..6000), 1..20),
        word_after in 0u64..20_000,
        look_after in 0u64..6000,
    ) {
        let mut tenure = RegistrationSpan::default();
        let (mut now, mut slept) = (0, 0);
        // Ends of the spans for which the entry surely stood, by true time.
        let mut spans: Vec<(u64, u64)> = Vec::new();
        let mut answered_at = None;
        for (pause, takes, answered, suspended) in calls {
            now += pause;
            let sent = after_sleep(now, slept);
            let sent_true = now + slept;
            // Suspended for some of the calls, between question and answer.
            slept += if suspended > 4500 { suspended } else { 0 };
            now += takes;
            if !answered {
                continue;
            }
            match spans.last_mut() {
                Some((_, end)) if sent_true <= *end => *end = sent_true + TTL_MS,
                _ => spans.push((sent_true, sent_true + TTL_MS)),
            }
            if spans.len() > 1 && spans.last().is_some_and(|s| s.0 == sent_true) {
                // The entry had ended: the store says so, and it is written again.
                tenure.interrupt();
            }
            tenure.renewed(sent, after_sleep(now, slept));
            answered_at = Some((now, slept));
        }
        if let Some((answered, slept)) = answered_at {
            let look = answered + look_after;
            let word = word_after.min(look);
            if tenure.covers(after_sleep(word, slept), after_sleep(look, slept)) {
                let (word, look) = (word + slept, look + slept);
                prop_assert!(spans.iter().any(|(from, to)| *from <= word && look <= *to));
            }
        }
    }
}

/// An owner's entry has ended. While it writes the next one, it asks whose its job
/// is, and the job is taken over before the entry stands. It must not take that
/// word for one of the new span.
#[test]
fn what_was_said_while_an_entry_was_being_written_is_not_believed() {
    let mut tenure = RegistrationSpan::default();
    tenure.renewed(at(1000), at(1400));
    assert!(!tenure.covers(at(1200), at(1500)));
    assert!(tenure.covers(at(1401), at(1500)));
}
