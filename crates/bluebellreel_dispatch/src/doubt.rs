//! How far a worker is trusted.
//!
//! After a worker has broken off, refused connections or fallen silent, nothing is
//! sent there for a short backoff that doubles with each further failure, and then
//! one request at a time until one succeeds.

use bluebellreel_types::Moment;
use std::time::Duration;

/// The first backoff. A crashed worker comes back after some seconds; a lost answer
/// is no reason to spare a worker for long.
const BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// The longest backoff.
const BACKOFF_LONGEST: Duration = Duration::from_secs(4);
/// Failures after which the backoff no longer doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Trust in one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt {
    failures: u32,
    backoff_until: Moment,
    on_trial: bool,
}

impl Doubt {
    /// A run there failed in a way that speaks against the worker.
    pub fn failed(&mut self, now: Moment) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = (BACKOFF_FIRST * 2u32.pow(doublings)).min(BACKOFF_LONGEST);
        self.failures += 1;
        self.backoff_until = self.backoff_until.max(now + backoff);
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

    /// A request there ended without showing anything.
    pub fn trial_over(&mut self) {
        self.on_trial = false;
    }

    /// Whether a request may be sent there.
    #[must_use]
    pub fn takes(&self, now: Moment) -> bool {
        self.failures == 0 || (self.backoff_until.is_past(now) && !self.on_trial)
    }
}
