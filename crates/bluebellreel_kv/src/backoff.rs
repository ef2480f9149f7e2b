//! Pauses between attempts.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Upper bound of the first pause.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of all pauses.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Exponential backoff with jitter.
///
/// Spreads out the retries of all processes after an outage; without jitter they
/// would all retry at the same moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Returns the pause before the next attempt.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = (INITIAL_PAUSE * (1 << self.attempts.min(10))).min(MAX_PAUSE);
        self.attempts += 1;
        bound.mul_f64(rng.random_range(0.1..1.0))
    }
}
