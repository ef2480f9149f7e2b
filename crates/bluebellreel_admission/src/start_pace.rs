//! How fast batch attempts may start at the engine.
//!
//! An engine reads the prompts of all attempts that start together in one
//! step, and everybody at the engine waits for that step. A window of batch
//! that is filled at once makes one step several times as long; an online
//! attempt that arrives during it waits for all those prompts.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Starts in one step of an engine without online work.
const PER_STEP: u32 = 2;
/// Steps between two starts beside online work: few online tokens then wait for
/// the reading of a batch prompt.
const STEPS_BESIDE_ONLINE: u32 = 25;
/// Time of a step before one was measured.
const FIRST_STEP: Duration = Duration::from_millis(5);

/// Starts that are allowed now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StartPace {
    left: u32,
    refill_at: Moment,
}

impl StartPace {
    /// Starts that are allowed, where a step takes `step` and online work is
    /// there or not.
    pub fn allowed(&mut self, step: Duration, online: bool, now: Moment) -> u32 {
        if self.refill_at.is_past(now) {
            let step = if step.is_zero() { FIRST_STEP } else { step };
            let (starts, steps) = if online {
                (1, STEPS_BESIDE_ONLINE)
            } else {
                (PER_STEP, 1)
            };
            self.left = starts;
            self.refill_at = now + step * steps;
        }
        self.left
    }

    /// Takes some of them.
    pub fn take(&mut self, starts: u32) {
        self.left = self.left.saturating_sub(starts);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_is_filled_over_several_steps() {
        let mut pace = StartPace::default();
        let step = Duration::from_millis(4);
        let mut started = 0;
        for step_number in 0..10 {
            let now = Moment(0) + step * step_number;
            let allowed = pace.allowed(step, false, now).min(32);
            pace.take(allowed);
            started += allowed;
            assert_eq!(pace.allowed(step, false, now), 0);
        }
        assert_eq!(started, 10 * PER_STEP);
    }
}
