//! Distinguishes an outage of the service from single failed calls.

use bluebellreel_types::Moment;
use std::time::Duration;

/// For how long calls must have failed to count as an outage.
const MIN_OUTAGE: Duration = Duration::from_millis(300);
/// How many consecutive calls must have failed to count as an outage.
const MIN_FAILURES: u32 = 3;

/// Consecutive failed calls.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    since: Option<Moment>,
    failures: u32,
}

impl Outage {
    /// Records whether a call was answered.
    pub(crate) fn record(&mut self, answered: bool, now: Moment) {
        if answered {
            *self = Self::default();
            return;
        }
        self.since.get_or_insert(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the failures amount to an outage.
    pub(crate) fn seems_down(&self, now: Moment) -> bool {
        let lasted = self
            .since
            .is_some_and(|since| (since + MIN_OUTAGE).is_past(now));
        lasted && self.failures >= MIN_FAILURES
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_answer_ends_an_outage() {
        let start = Moment(0);
        let mut outage = Outage::default();
        for _ in 0..MIN_FAILURES {
            outage.record(false, start);
        }
        assert!(
            !outage.seems_down(start),
            "a burst of failures is not yet an outage"
        );
        assert!(outage.seems_down(start + MIN_OUTAGE));
        outage.record(true, start + MIN_OUTAGE);
        assert!(!outage.seems_down(start + MIN_OUTAGE));
    }
}
