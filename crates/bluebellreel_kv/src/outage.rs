//! Telling an outage from a failed call.

use bluebellreel_types::Moment;
use std::time::Duration;

/// How long calls must have failed.
const SPAN: Duration = Duration::from_millis(300);
/// How many must have failed in a row.
const FAILURES: u32 = 3;

/// Failures in a row.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    since: Option<Moment>,
    failures: u32,
}

impl Outage {
    /// Takes in how a call came out.
    pub(crate) fn note(&mut self, answered: bool, now: Moment) {
        if answered {
            *self = Self::default();
            return;
        }
        self.since.get_or_insert(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the service seems to be down.
    pub(crate) fn seems_down(&self, now: Moment) -> bool {
        let lasted = self.since.is_some_and(|since| (since + SPAN).is_past(now));
        lasted && self.failures >= FAILURES
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_answer_ends_an_outage() {
        let start = Moment(0);
        let mut outage = Outage::default();
        for _ in 0..FAILURES {
            outage.note(false, start);
        }
        assert!(
            !outage.seems_down(start),
            "a burst of failures is no outage yet"
        );
        assert!(outage.seems_down(start + SPAN));
        outage.note(true, start + SPAN);
        assert!(!outage.seems_down(start + SPAN));
    }
}
