//! The engine's pace, measured from what it delivers.

use std::time::Duration;

/// Weight of a new sample in the running means: one part in this many.
const SMOOTHING: u64 = 8;

/// Running means of the engine's times, in µs; zero before a measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pace {
    inter_token: u64,
    first_token: u64,
    step: u64,
}

impl Pace {
    /// Notes the time between two tokens of one stream.
    pub fn note_inter_token(&mut self, span: Duration) {
        self.inter_token = smoothed(self.inter_token, span);
    }

    /// Notes the time from a start at the engine to its first token.
    pub fn note_first_token(&mut self, span: Duration) {
        self.first_token = smoothed(self.first_token, span);
    }

    /// Notes the time between two tokens of any stream: an engine's step.
    pub fn note_step(&mut self, span: Duration) {
        self.step = smoothed(self.step, span);
    }

    /// Mean time of an engine's step; zero before the first measurement.
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
    let sample = u64::try_from(span.as_micros()).unwrap_or(u64::MAX / SMOOTHING);
    if mean == 0 {
        return sample;
    }
    (mean * (SMOOTHING - 1) + sample) / SMOOTHING
}
