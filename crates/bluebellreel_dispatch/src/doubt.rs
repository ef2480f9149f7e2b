//! How far a worker is trusted.
//!
//! A worker that breaks off, refuses connections or falls silent is set aside
//! for a short while that doubles with each further failure. After it, one
//! request at a time is sent there until one succeeds.

use bluebellreel_types::Moment;
use std::time::Duration;

/// First time that a worker is set aside. A crashed worker comes back after
/// some seconds; a lost answer is no reason to spare a worker for long.
const FIRST_ASIDE: Duration = Duration::from_millis(500);
/// Longest time that a worker is set aside: one in eight seconds costs a probe
/// request some hundred milliseconds at the most.
const LONGEST_ASIDE: Duration = Duration::from_secs(4);
/// Failures after which the time no longer doubles.
const DOUBLINGS: u32 = 3;

/// Trust in one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt {
    failures: u32,
    aside_until: Moment,
    on_trial: bool,
}

impl Doubt {
    /// A run there failed in a way that speaks against the worker.
    pub fn failed(&mut self, now: Moment) {
        let doublings = self.failures.min(DOUBLINGS);
        let aside = (FIRST_ASIDE * 2u32.pow(doublings)).min(LONGEST_ASIDE);
        self.failures += 1;
        self.aside_until = self.aside_until.max(now + aside);
        self.on_trial = false;
    }

    /// A run there has given its first event, or an answer.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A request is sent there.
    pub fn sent(&mut self) {
        self.on_trial = self.failures > 0;
    }

    /// A request there ended without telling anything.
    pub fn trial_over(&mut self) {
        self.on_trial = false;
    }

    /// Whether a request may be sent there.
    #[must_use]
    pub fn takes(&self, now: Moment) -> bool {
        self.failures == 0 || (self.aside_until.is_past(now) && !self.on_trial)
    }
}
