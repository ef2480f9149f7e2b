//! How fast workers are, as their streams show.
//!
//! Events of a stream follow each other at the engine's pace. A worker that
//! has turned slow holds its slots longer and makes those in line wait longer,
//! while its health check is good and its answers are right.

use bluebellreel_types::{Moment, WorkerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample: about ten events decide.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long a pace is believed without a new sample.
const PACE_KEPT: Duration = Duration::from_secs(5);
/// Time that a run is assumed to hold its slot before any has been seen.
const ASSUMED_RUN: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Sample {
    seconds: f64,
    until: Moment,
}

/// Paces of all workers, and how long an online run takes.
#[derive(Clone, Debug)]
pub struct WorkerSpeeds {
    events: BTreeMap<WorkerName, Sample>,
    run_seconds: f64,
    usual_seconds: Option<f64>,
}

impl Default for WorkerSpeeds {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            run_seconds: ASSUMED_RUN.as_secs_f64(),
            usual_seconds: None,
        }
    }
}

impl WorkerSpeeds {
    /// Two events of one stream came so far apart.
    pub fn note_interval(&mut self, worker: &WorkerName, interval: Duration, now: Moment) {
        let seconds = interval.as_secs_f64();
        let until = now + PACE_KEPT;
        self.events
            .entry(worker.clone())
            .and_modify(|s| {
                s.seconds += SAMPLE_WEIGHT * (seconds - s.seconds);
                s.until = until;
            })
            .or_insert(Sample { seconds, until });
    }

    /// What was seen of a worker no longer holds: it has started again.
    pub fn forget(&mut self, worker: &WorkerName) {
        self.events.remove(worker);
    }

    /// An online run held its slot for so long.
    pub fn note_run(&mut self, lasted: Duration) {
        self.run_seconds += SAMPLE_WEIGHT * (lasted.as_secs_f64() - self.run_seconds);
    }

    /// Time between events of a worker, as far as it is known.
    #[must_use]
    pub fn interval(&self, worker: &WorkerName, now: Moment) -> Option<Duration> {
        let sample = self.events.get(worker)?;
        (!sample.until.is_past(now)).then(|| Duration::from_secs_f64(sample.seconds))
    }

    /// How much slower than the usual worker one is; 1 if that is not known.
    #[must_use]
    pub fn slowness(&self, worker: &WorkerName, now: Moment) -> f64 {
        match (self.interval(worker, now), self.usual_seconds) {
            (Some(own), Some(usual)) => own.as_secs_f64() / usual,
            _ => 1.0,
        }
    }

    /// How long one in line at a worker with so many slots waits for each run
    /// before it.
    #[must_use]
    pub fn wait_for_one(&self, slots: u32) -> Duration {
        Duration::from_secs_f64(self.run_seconds / f64::from(slots.max(1)))
    }

    /// Evicts what is no longer believed, and learns the usual pace: that of
    /// the worker in the middle.
    pub fn sweep(&mut self, now: Moment) {
        self.events.retain(|_, s| !s.until.is_past(now));
        let mut all: Vec<f64> = self.events.values().map(|s| s.seconds).collect();
        all.sort_by(f64::total_cmp);
        self.usual_seconds = all.get(all.len() / 2).map(|s| s.max(f64::EPSILON));
    }
}
