//! Limits the rate at which batch attempts start at the engine.
//!
//! An engine processes the prompts of all attempts that start together in one
//! step, and every attempt at the engine waits for that step. Filling a whole
//! window with batch attempts at once makes one step several times as long, and
//! an online attempt that arrives during that step waits for all those prompts.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Batch starts allowed per engine step without online work.
const STARTS_PER_STEP: u32 = 2;
/// Engine steps between two batch starts while there is online work, so that few
/// online tokens wait for a batch prompt to be processed.
const STEPS_PER_START_WITH_ONLINE: u32 = 25;
/// Assumed step time before the first measurement.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(5);

/// Number of batch starts allowed until the next refill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct BatchStartLimiter {
    left: u32,
    refill_at: Moment,
}

impl BatchStartLimiter {
    /// Number of starts allowed at `now`, for an engine whose steps take `step`.
    /// `online` says whether there is online work.
    pub fn allowed(&mut self, step: Duration, online: bool, now: Moment) -> u32 {
        if self.refill_at.is_past(now) {
            let step = if step.is_zero() {
                DEFAULT_STEP_TIME
            } else {
                step
            };
            let (starts, steps) = if online {
                (1, STEPS_PER_START_WITH_ONLINE)
            } else {
                (STARTS_PER_STEP, 1)
            };
            self.left = starts;
            self.refill_at = now + step * steps;
        }
        self.left
    }

    /// Uses up some of the allowed starts.
    pub fn take(&mut self, starts: u32) {
        self.left = self.left.saturating_sub(starts);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_is_filled_over_several_steps() {
        let mut limiter = BatchStartLimiter::default();
        let step = Duration::from_millis(4);
        let mut started = 0;
        for step_number in 0..10 {
            let now = Moment(0) + step * step_number;
            let allowed = limiter.allowed(step, false, now).min(32);
            limiter.take(allowed);
            started += allowed;
            assert_eq!(limiter.allowed(step, false, now), 0);
        }
        assert_eq!(started, 10 * STARTS_PER_STEP);
    }
}
