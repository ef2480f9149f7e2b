//! A bound on the calls that one process makes.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Calls a second, with a second's worth saved up.
///
/// The service counts each call of the whole fleet: one process that loops on
/// an error must not use up what the others need.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    left: f64,
    at: Moment,
}

impl CallBudget {
    /// A full budget of `rate` calls a second.
    #[must_use]
    pub fn new(rate: u32, now: Moment) -> Self {
        let rate = f64::from(rate.max(1));
        Self {
            rate,
            left: rate,
            at: now,
        }
    }

    /// Takes one call; the pause to keep before it is made.
    pub fn take(&mut self, now: Moment) -> Duration {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.left = (self.left + gained).min(self.rate) - 1.0;
        self.at = now;
        if self.left >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.left / self.rate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_over_the_rate_are_spread_out() {
        let start = Moment(0);
        let mut budget = CallBudget::new(10, start);
        for _ in 0..10 {
            assert_eq!(budget.take(start), Duration::ZERO);
        }
        let pause = budget.take(start);
        assert!(pause >= Duration::from_millis(99), "{pause:?}");
        assert_eq!(budget.take(start + Duration::from_secs(1)), Duration::ZERO);
    }
}
