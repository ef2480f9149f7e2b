//! Outcomes of runs at one worker in a sliding window of two periods.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Length of one of the window's two periods. Workers fail for some seconds at a time, so
/// outcomes older than two periods carry little information.
const PERIOD: Duration = Duration::from_millis(2500);

/// Maximum value of a count in a report, which has one byte for it.
const MAX_REPORTED: u32 = 255;

/// How a run ended, or went on, as far as that tells something about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response, or enough events of one.
    Good,
    /// The worker accepted the request and lost it.
    Bad,
}

/// Numbers of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Good outcomes.
    pub good: u32,
    /// Bad outcomes.
    pub bad: u32,
}

impl Counts {
    /// Number of outcomes.
    #[must_use]
    pub fn total(self) -> u32 {
        self.good.saturating_add(self.bad)
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            bad: self.bad.saturating_sub(other.bad),
        }
    }

    /// Whether most outcomes are bad.
    pub(super) fn is_mostly_bad(self) -> bool {
        self.bad > self.good
    }

    /// The counts as reported to peers: a larger one is reported as the maximum.
    pub(super) fn reported(self) -> (u8, u8) {
        let byte = |n: u32| u8::try_from(n.min(MAX_REPORTED)).unwrap_or(u8::MAX);
        (byte(self.good), byte(self.bad))
    }
}

/// Outcomes of this daemon's runs at one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Window {
    /// End of the current period.
    period_end: Moment,
    current: Counts,
    previous: Counts,
    /// When a bad outcome was last counted.
    pub(super) last_bad_at: Moment,
}

impl Window {
    pub(super) fn note(&mut self, outcome: Outcome, now: Moment) {
        self.advance(now);
        match outcome {
            Outcome::Good => self.current.good += 1,
            Outcome::Bad => {
                self.current.bad += 1;
                self.last_bad_at = now;
            }
        }
    }

    /// Counts in the window.
    pub(super) fn counts(mut self, now: Moment) -> Counts {
        self.advance(now);
        self.current.plus(self.previous)
    }

    fn advance(&mut self, now: Moment) {
        if !self.period_end.is_past(now) {
            return;
        }
        let is_next = !(self.period_end + PERIOD).is_past(now);
        let ended = std::mem::take(&mut self.current);
        self.previous = if is_next { ended } else { Counts::default() };
        self.period_end = if is_next { self.period_end } else { now } + PERIOD;
    }
}
