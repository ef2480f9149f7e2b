//! Rate limit for the calls of one process.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Token bucket that holds at most one second's calls.
///
/// The service limits the calls of the whole fleet together: a process that retries
/// an error in a loop must not use up the calls of the others.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    available: f64,
    updated_at: Moment,
}

impl CallBudget {
    /// Creates a full budget of `rate` calls per second.
    #[must_use]
    pub fn new(rate: u32, now: Moment) -> Self {
        let rate = f64::from(rate.max(1));
        Self {
            rate,
            available: rate,
            updated_at: now,
        }
    }

    /// Takes one call from the budget and returns how long to wait before making
    /// it.
    pub fn take(&mut self, now: Moment) -> Duration {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.available = (self.available + gained).min(self.rate) - 1.0;
        self.updated_at = now;
        if self.available >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.available / self.rate)
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
