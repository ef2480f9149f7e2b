//! Outlier detection for workers.
//!
//! A worker that fails is ejected, probed with one request after a delay, and readmitted
//! gradually, so that a recovering worker is not overloaded and a broken one costs few
//! requests.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Consecutive failures before a worker is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Delay before the first probe; doubled with each further failure.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(15);
/// Number of requests in flight at which a recovering worker counts as healthy.
const RECOVERED_IN_FLIGHT: u32 = 16;
/// Factor by which a worker's first-token time must exceed the mean of its peers to
/// count as slow.
const SLOW_FACTOR: u64 = 3;
/// First-token times up to this value never count as slow, in µs.
const MIN_SLOW_MICROS: u64 = 50_000;

/// Health of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Receives its full share of requests.
    Healthy,
    /// Receives nothing until a probe is due.
    Ejected {
        /// When one request may be sent as a probe.
        probe_at: Moment,
    },
    /// Readmitted; the limit of concurrent requests rises with each answer.
    Recovering {
        /// Maximum number of requests in flight.
        max_in_flight: u32,
    },
}

/// Health record of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// The current state.
    pub state: HealthState,
    failures: u32,
    first_token_micros: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failures: 0,
            first_token_micros: 0,
        }
    }
}

impl Health {
    /// Whether the worker may receive one more request in addition to `in_flight`.
    #[must_use]
    pub fn admits(&self, in_flight: u32, now: Moment) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected { probe_at } => in_flight == 0 && probe_at.is_past(now),
            HealthState::Recovering { max_in_flight } => in_flight < max_in_flight,
        }
    }

    /// Records an answer.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.state = match self.state {
            HealthState::Healthy => HealthState::Healthy,
            HealthState::Ejected { .. } => HealthState::Recovering { max_in_flight: 2 },
            HealthState::Recovering { max_in_flight } if max_in_flight >= RECOVERED_IN_FLIGHT => {
                HealthState::Healthy
            }
            HealthState::Recovering { max_in_flight } => HealthState::Recovering {
                max_in_flight: max_in_flight + 1,
            },
        };
    }

    /// Records a failure caused by the worker.
    pub fn note_failure(&mut self, now: Moment) {
        self.failures += 1;
        let healthy = self.state == HealthState::Healthy;
        if healthy && self.failures < EJECTION_FAILURES {
            return;
        }
        self.eject(now);
    }

    /// Ejects the worker at once.
    pub fn eject(&mut self, now: Moment) {
        let doublings = self.failures.saturating_sub(EJECTION_FAILURES).min(8);
        let delay = (INITIAL_PROBE_DELAY * (1 << doublings)).min(MAX_PROBE_DELAY);
        let probe_at = now + delay;
        self.state = HealthState::Ejected { probe_at };
    }

    /// Records a first-token time and ejects the worker if it is far slower than
    /// `typical`, the mean of its peers, both in µs.
    pub fn note_first_token(&mut self, micros: u64, typical: u64, now: Moment) {
        self.first_token_micros = match self.first_token_micros {
            0 => micros,
            mean => (mean * 7 + micros) / 8,
        };
        let limit = (typical * SLOW_FACTOR).max(MIN_SLOW_MICROS);
        if typical > 0 && self.first_token_micros > limit && self.state == HealthState::Healthy {
            self.failures = EJECTION_FAILURES;
            self.first_token_micros = 0;
            self.eject(now);
        }
    }

    /// Mean first-token time, in µs; zero before the first answer.
    #[must_use]
    pub fn first_token_micros(&self) -> u64 {
        self.first_token_micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn failing_worker_is_ejected_probed_and_readmitted() {
        let mut health = Health::default();
        health.note_failure(Moment(0));
        assert!(health.admits(5, Moment(0)));
        health.note_failure(Moment(0));
        assert!(!health.admits(0, Moment(0)));
        let later = Moment(0) + INITIAL_PROBE_DELAY;
        assert!(health.admits(0, later));
        assert!(!health.admits(1, later), "one probe at a time");
        health.note_success();
        assert!(health.admits(1, later));
        assert!(!health.admits(2, later));
        for _ in 0..RECOVERED_IN_FLIGHT {
            health.note_success();
        }
        assert_eq!(health.state, HealthState::Healthy);
    }

    #[test]
    fn far_slower_worker_is_ejected() {
        let mut health = Health::default();
        for _ in 0..20 {
            health.note_first_token(400_000, 20_000, Moment(0));
        }
        assert_ne!(health.state, HealthState::Healthy);
    }
}
