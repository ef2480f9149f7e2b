//! Recorded crashes of workers under one request.

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tolerance for comparing times that different daemons observed. A daemon converts the
/// ages in a peer's report to its own clock, with an error of up to the report's transit
/// time.
const CLOCK_SLACK: Duration = Duration::from_millis(30);
/// Crashes within this time of each other count as simultaneous.
pub(crate) const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(250);
/// Number of other simultaneous crashes, none of them explained by a request with
/// several crashes, from which a crash counts as part of a mass kill. A single one may
/// be the first crash of another request.
pub(crate) const MIN_SIMULTANEOUS_CRASHES: usize = 2;
/// Maximum number of crashes recorded for one request. It is higher than the number that
/// occurs before hundreds of daemons have quarantined the request: if the request's
/// crashes were evicted, the requests that ran beside it would appear to have caused
/// them.
pub(crate) const MAX_CRASHES: usize = 32;

/// One run of a request during which its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// When the request was sent to the worker.
    pub began: Moment,
    /// When the run was interrupted.
    pub crashed: Moment,
    /// Whether a run of the request has completed since.
    pub cleared: bool,
}

/// One crash under one request, as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The incarnation of the worker that crashed.
    pub worker: WorkerTag,
    /// The interrupted run.
    pub crashed_run: CrashedRun,
}

/// A recorded crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KnownCrash {
    pub(super) crashed_run: CrashedRun,
    /// Until when peers are notified of the crash, if it was observed by this daemon.
    pub(super) notify_until: Moment,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) crashed_runs: BTreeMap<WorkerTag, KnownCrash>,
    /// Until when a trial run of the request blocks others, here or at a peer.
    pub(super) trial_until: Moment,
    /// Whether the trial runs at this daemon.
    pub(super) is_local_trial: bool,
}

impl Record {
    pub(super) fn uncleared_runs(&self) -> impl Iterator<Item = (&WorkerTag, &CrashedRun)> {
        let crashed_runs = self
            .crashed_runs
            .iter()
            .map(|(worker, k)| (worker, &k.crashed_run));
        crashed_runs.filter(|(_, s)| !s.cleared)
    }

    /// Number of sequential crashes, whichever request caused them.
    pub(super) fn crash_count(&self) -> u32 {
        count_sequential(self.uncleared_runs().map(|(_, s)| *s)).0
    }

    pub(super) fn last(&self) -> Moment {
        let crashes = self.crashed_runs.values().map(|k| k.crashed_run.crashed);
        crashes.max().unwrap_or_default()
    }

    /// Makes room for one more crash by evicting the oldest.
    pub(super) fn evict_oldest(&mut self) {
        while self.crashed_runs.len() >= MAX_CRASHES {
            let oldest = self
                .crashed_runs
                .iter()
                .min_by_key(|(_, k)| k.crashed_run.crashed);
            let Some((&worker, _)) = oldest else { return };
            self.crashed_runs.remove(&worker);
        }
    }
}

/// The crash of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Moment,
    /// Highest number of sequential crashes among the requests that were running there.
    pub(super) max_crash_count: u32,
}

/// Whether a crash under a request is part of a mass kill: workers where the request was
/// not running crashed at the same moment, under requests without any other crash.
pub(super) fn is_mass_crash(
    crashes: &BTreeMap<WorkerTag, Crash>,
    record: &Record,
    crashed_run: &CrashedRun,
) -> bool {
    let (from, until) = (
        crashed_run.crashed,
        crashed_run.crashed + SIMULTANEOUS_WINDOW,
    );
    let is_simultaneous = |c: &Crash| c.at <= until && from <= c.at + SIMULTANEOUS_WINDOW;
    let others = crashes.iter().filter(|(worker, c)| {
        !record.crashed_runs.contains_key(worker) && c.max_crash_count <= 1 && is_simultaneous(c)
    });
    others.count() >= MIN_SIMULTANEOUS_CRASHES
}

/// Counts the crashes that happened one after the other; also returns the time of the
/// last one.
pub(crate) fn count_sequential(crashed_runs: impl Iterator<Item = CrashedRun>) -> (u32, Moment) {
    let mut all: Vec<CrashedRun> = crashed_runs.collect();
    all.sort_by_key(|s| s.crashed);
    let (mut count, mut last) = (0, Moment(0));
    for crashed_run in all {
        if count == 0 || crashed_run.began + CLOCK_SLACK >= last {
            count += 1;
            last = crashed_run.crashed;
        }
    }
    (count, last)
}
