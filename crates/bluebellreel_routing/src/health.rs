//! Whether a worker is trusted with work.
//!
//! A worker that fails is set aside, probed with one request after a pause,
//! and let back gradually, so that a recovering worker is not flooded and a
//! broken one costs few requests.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Failures in a row before a worker is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 2;
/// First pause before a probe; doubled at each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause before a probe.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);
/// In-flight share at which a returning worker counts as healthy.
const FULL_SHARE: u32 = 16;
/// Times slower than its peers before a worker counts as slow.
const SLOW_FACTOR: u64 = 3;
/// First-token times below this never count as slow, in µs.
const SLOW_FLOOR_MICROS: u64 = 50_000;

/// How far a worker is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Takes its share.
    Healthy,
    /// Takes nothing until a probe is due.
    SetAside {
        /// When one request may probe it.
        probe_at: Moment,
    },
    /// Takes as many at one time as it has answered in a row since.
    Returning {
        /// Requests in flight allowed.
        share: u32,
    },
}

/// A worker's record.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// How far it is trusted.
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
    /// Whether it may take one more request beside `in_flight`.
    #[must_use]
    pub fn admits(&self, in_flight: u32, now: Moment) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::SetAside { probe_at } => in_flight == 0 && probe_at.is_past(now),
            HealthState::Returning { share } => in_flight < share,
        }
    }

    /// Takes in an answer.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.state = match self.state {
            HealthState::Healthy => HealthState::Healthy,
            HealthState::SetAside { .. } => HealthState::Returning { share: 2 },
            HealthState::Returning { share } if share >= FULL_SHARE => HealthState::Healthy,
            HealthState::Returning { share } => HealthState::Returning { share: share + 1 },
        };
    }

    /// Takes in a failure that the worker is to blame for.
    pub fn note_failure(&mut self, now: Moment) {
        self.failures += 1;
        let trusted = self.state == HealthState::Healthy;
        if trusted && self.failures < FAILURES_TO_SET_ASIDE {
            return;
        }
        self.set_aside(now);
    }

    /// Sets the worker aside at once.
    pub fn set_aside(&mut self, now: Moment) {
        let doublings = self.failures.saturating_sub(FAILURES_TO_SET_ASIDE).min(8);
        let pause = (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        let probe_at = now + pause;
        self.state = HealthState::SetAside { probe_at };
    }

    /// Takes in a first-token time and sets the worker aside when it is far
    /// slower than `typical`, the mean of its peers, both in µs.
    pub fn note_first_token(&mut self, micros: u64, typical: u64, now: Moment) {
        self.first_token_micros = match self.first_token_micros {
            0 => micros,
            mean => (mean * 7 + micros) / 8,
        };
        let limit = (typical * SLOW_FACTOR).max(SLOW_FLOOR_MICROS);
        if typical > 0 && self.first_token_micros > limit && self.state == HealthState::Healthy {
            self.failures = FAILURES_TO_SET_ASIDE;
            self.first_token_micros = 0;
            self.set_aside(now);
        }
    }

    /// Mean first-token time, in µs; zero before the first.
    #[must_use]
    pub fn first_token_micros(&self) -> u64 {
        self.first_token_micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn failing_worker_is_set_aside_probed_and_let_back() {
        let mut health = Health::default();
        health.note_failure(Moment(0));
        assert!(health.admits(5, Moment(0)));
        health.note_failure(Moment(0));
        assert!(!health.admits(0, Moment(0)));
        let later = Moment(0) + FIRST_PAUSE;
        assert!(health.admits(0, later));
        assert!(!health.admits(1, later), "one probe at a time");
        health.note_success();
        assert!(health.admits(1, later));
        assert!(!health.admits(2, later));
        for _ in 0..FULL_SHARE {
            health.note_success();
        }
        assert_eq!(health.state, HealthState::Healthy);
    }

    #[test]
    fn far_slower_worker_is_set_aside() {
        let mut health = Health::default();
        for _ in 0..20 {
            health.note_first_token(400_000, 20_000, Moment(0));
        }
        assert_ne!(health.state, HealthState::Healthy);
    }
}
