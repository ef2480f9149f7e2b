//! Speed of workers, as observed from their streams.
//!
//! The events of a stream arrive at the engine's speed. A worker that has become slow
//! occupies its slots longer and makes queued requests wait longer, while its health
//! check still succeeds and its answers are correct.

use bluebellreel_types::{Moment, WorkerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample: the average covers about ten events.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long an average stays valid without a new sample.
const SAMPLE_TTL: Duration = Duration::from_secs(5);
/// Assumed duration of a run before any run has been observed.
const INITIAL_RUN_ESTIMATE: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    seconds: f64,
    until: Moment,
}

/// Event intervals of all workers, and the mean duration of an online run.
#[derive(Clone, Debug)]
pub struct WorkerSpeeds {
    intervals: BTreeMap<WorkerName, Sample>,
    run_seconds: f64,
    median_seconds: Option<f64>,
}

impl Default for WorkerSpeeds {
    fn default() -> Self {
        Self {
            intervals: BTreeMap::new(),
            run_seconds: INITIAL_RUN_ESTIMATE.as_secs_f64(),
            median_seconds: None,
        }
    }
}

impl WorkerSpeeds {
    /// Records the interval between two events of one stream.
    pub fn note_interval(&mut self, worker: &WorkerName, interval: Duration, now: Moment) {
        let seconds = interval.as_secs_f64();
        let until = now + SAMPLE_TTL;
        self.intervals
            .entry(worker.clone())
            .and_modify(|s| {
                s.seconds += SAMPLE_WEIGHT * (seconds - s.seconds);
                s.until = until;
            })
            .or_insert(Sample { seconds, until });
    }

    /// Discards the samples of a worker that has restarted.
    pub fn forget(&mut self, worker: &WorkerName) {
        self.intervals.remove(worker);
    }

    /// Records how long an online run occupied its slot.
    pub fn note_run(&mut self, lasted: Duration) {
        self.run_seconds += SAMPLE_WEIGHT * (lasted.as_secs_f64() - self.run_seconds);
    }

    /// Mean interval between the events of a worker, if it is known.
    #[must_use]
    pub fn interval(&self, worker: &WorkerName, now: Moment) -> Option<Duration> {
        let sample = self.intervals.get(worker)?;
        (!sample.until.is_past(now)).then(|| Duration::from_secs_f64(sample.seconds))
    }

    /// How many times slower than the median worker a worker is; 1 if unknown.
    #[must_use]
    pub fn slowness(&self, worker: &WorkerName, now: Moment) -> f64 {
        match (self.interval(worker, now), self.median_seconds) {
            (Some(own), Some(median)) => own.as_secs_f64() / median,
            _ => 1.0,
        }
    }

    /// How long a request in the queue of a worker with this number of slots waits for
    /// each run ahead of it.
    #[must_use]
    pub fn wait_per_run(&self, slots: u32) -> Duration {
        Duration::from_secs_f64(self.run_seconds / f64::from(slots.max(1)))
    }

    /// Evicts expired samples and updates the interval of the median worker.
    pub fn sweep(&mut self, now: Moment) {
        self.intervals.retain(|_, s| !s.until.is_past(now));
        let mut all: Vec<f64> = self.intervals.values().map(|s| s.seconds).collect();
        all.sort_by(f64::total_cmp);
        self.median_seconds = all.get(all.len() / 2).map(|s| s.max(f64::EPSILON));
    }
}
