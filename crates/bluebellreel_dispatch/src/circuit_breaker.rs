//! Circuit breaker of one worker.
//!
//! After a worker has broken off a run, refused connections or stopped answering,
//! nothing is sent there for a short backoff that doubles with each further failure.
//! Then one request at a time is sent as a probe until one succeeds.

use bluebellreel_types::Moment;
use std::time::Duration;

/// The backoff after the first failure. It is short because a crashed worker is back
/// after some seconds, and a single lost answer does not justify a long pause.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Number of failures after which the backoff no longer doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Failures, backoff and probe of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    backoff_until: Moment,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Records a failure that counts against the worker.
    pub fn failed(&mut self, now: Moment) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        self.failures += 1;
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.is_probing = false;
    }

    /// Records a first event or an answer, which closes the circuit breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records that a request is sent; after a failure, this request is the probe.
    pub fn note_sent(&mut self) {
        self.is_probing = self.failures > 0;
    }

    /// Records that a request ended without showing whether the worker is healthy.
    pub fn probe_ended(&mut self) {
        self.is_probing = false;
    }

    /// Whether a request may be sent to the worker.
    #[must_use]
    pub fn allows(&self, now: Moment) -> bool {
        self.failures == 0 || (self.backoff_until.is_past(now) && !self.is_probing)
    }
}
