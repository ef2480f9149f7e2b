//! Latencies of the engine, measured from the tokens that it delivers.

use std::time::Duration;

/// Divisor that gives a new sample's weight in the running means.
const SMOOTHING_DIVISOR: u64 = 8;

/// Running means of the engine's latencies, in µs; zero before a measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineTimings {
    inter_token: u64,
    first_token: u64,
    step: u64,
}

impl EngineTimings {
    /// Records the time between two tokens of one online stream.
    pub fn note_inter_token(&mut self, span: Duration) {
        self.inter_token = smoothed(self.inter_token, span);
    }

    /// Records the time from the start of an attempt at the engine to its first
    /// token.
    pub fn note_first_token(&mut self, span: Duration) {
        self.first_token = smoothed(self.first_token, span);
    }

    /// Records the time between two tokens of any stream, which is one engine step.
    pub fn note_step(&mut self, span: Duration) {
        self.step = smoothed(self.step, span);
    }

    /// Mean time of an engine step; zero before the first measurement.
    #[must_use]
    pub fn step(&self) -> Duration {
        Duration::from_micros(self.step)
    }

    /// Mean time between tokens; zero before the first measurement.
    #[must_use]
    pub fn inter_token(&self) -> Duration {
        Duration::from_micros(self.inter_token)
    }

    /// Mean time to the first token; zero before the first measurement.
    #[must_use]
    pub fn first_token(&self) -> Duration {
        Duration::from_micros(self.first_token)
    }
}

fn smoothed(mean: u64, span: Duration) -> u64 {
    let sample = u64::try_from(span.as_micros()).unwrap_or(u64::MAX / SMOOTHING_DIVISOR);
    if mean == 0 {
        return sample;
    }
    (mean * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
}
