//! Pauses between tries.

use rand::{Rng, RngExt};
use std::time::Duration;

/// First bound of a pause.
const FIRST: Duration = Duration::from_millis(50);
/// Last bound of a pause.
const LAST: Duration = Duration::from_secs(2);

/// Exponential backoff with full jitter.
///
/// Guards against a stampede: after an outage every process would otherwise
/// come back at the same moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    tries: u32,
}

impl Backoff {
    /// The pause before the next try.
    pub fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = (FIRST * (1 << self.tries.min(10))).min(LAST);
        self.tries += 1;
        bound.mul_f64(rng.random_range(0.1..1.0))
    }
}
