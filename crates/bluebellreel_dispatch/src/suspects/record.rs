//! Crashes of workers under one request.

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// How far clocks may differ by which daemons place what others saw: the way of a report.
const CLOCK_SLACK: Duration = Duration::from_millis(30);
/// Within this time of each other workers crash at the same moment.
const SAME_MOMENT: Duration = Duration::from_millis(250);
/// Number of other workers that crash at the same moment, without a reason that shows,
/// from which on a crash is one of many. A single one may be another request's first.
const MASS_CRASH: usize = 2;
/// Crashes remembered of one request. More than it takes to quarantine it at hundreds of
/// daemons: without its crashes, those beside it would seem to have caused them.
pub(super) const MAX_CRASHES: usize = 32;

/// A worker's crash, as far as a request is concerned that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// When the request was sent there.
    pub began: Moment,
    /// When its run was broken off.
    pub crashed: Moment,
    /// Whether the request has run well since.
    pub cleared: bool,
}

/// One crash under one request, as daemons notify each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the worker that crashed.
    pub worker: WorkerTag,
    /// The crash.
    pub crashed_run: CrashedRun,
}

/// A crash as it is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) crashed_run: CrashedRun,
    /// Until when peers are notified, as it was seen here.
    pub(super) notify_until: Moment,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) crashed_runs: BTreeMap<WorkerTag, Known>,
    /// Until when one request is tried out, here or at a peer.
    pub(super) trial_until: Moment,
    /// Whether that is here.
    pub(super) on_trial_here: bool,
}

impl Record {
    pub(super) fn charges(&self) -> impl Iterator<Item = (&WorkerTag, &CrashedRun)> {
        let crashed_runs = self
            .crashed_runs
            .iter()
            .map(|(worker, k)| (worker, &k.crashed_run));
        crashed_runs.filter(|(_, s)| !s.cleared)
    }

    /// Crashes one after the other, whoever caused them.
    pub(super) fn weight(&self) -> u32 {
        in_turn(self.charges().map(|(_, s)| *s)).0
    }

    pub(super) fn last(&self) -> Moment {
        let crashes = self.crashed_runs.values().map(|k| k.crashed_run.crashed);
        crashes.max().unwrap_or_default()
    }

    /// Makes room for one more crash.
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

/// One worker's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Moment,
    /// Crashes in turn of the request there that was at the most.
    pub(super) heaviest: u32,
}

/// Whether a crash under a request is one of many at the same moment, that came under
/// requests which were at no other.
pub(super) fn is_one_of_many(
    crashes: &BTreeMap<WorkerTag, Crash>,
    of: &Record,
    crashed_run: &CrashedRun,
) -> bool {
    let (from, until) = (crashed_run.crashed, crashed_run.crashed + SAME_MOMENT);
    let at_once = |c: &Crash| c.at <= until && from <= c.at + SAME_MOMENT;
    let others = crashes.iter().filter(|(worker, c)| {
        !of.crashed_runs.contains_key(worker) && c.heaviest <= 1 && at_once(c)
    });
    others.count() >= MASS_CRASH
}

/// The most crashes of these that came one after the other, and the last one's moment.
pub(super) fn in_turn(crashed_runs: impl Iterator<Item = CrashedRun>) -> (u32, Moment) {
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
