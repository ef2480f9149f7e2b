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
pub struct Strike {
    /// When the request was sent there.
    pub began: Moment,
    /// When its run was broken off.
    pub crashed: Moment,
    /// Whether the request has run well since.
    pub excused: bool,
}

/// One crash under one request, as daemons notify each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the worker that crashed.
    pub worker: WorkerTag,
    /// The crash.
    pub strike: Strike,
}

/// A crash as it is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) strike: Strike,
    /// Until when peers are notified, as it was seen here.
    pub(super) notify_until: Moment,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) strikes: BTreeMap<WorkerTag, Known>,
    /// Until when one request is tried out, here or at a peer.
    pub(super) trial_until: Moment,
    /// Whether that is here.
    pub(super) on_trial_here: bool,
}

impl Record {
    pub(super) fn charges(&self) -> impl Iterator<Item = (&WorkerTag, &Strike)> {
        let strikes = self.strikes.iter().map(|(worker, k)| (worker, &k.strike));
        strikes.filter(|(_, s)| !s.excused)
    }

    /// Crashes one after the other, whoever caused them.
    pub(super) fn weight(&self) -> u32 {
        in_turn(self.charges().map(|(_, s)| *s)).0
    }

    pub(super) fn last(&self) -> Moment {
        let crashes = self.strikes.values().map(|k| k.strike.crashed);
        crashes.max().unwrap_or_default()
    }

    /// Makes room for one more crash.
    pub(super) fn evict_oldest(&mut self) {
        while self.strikes.len() >= MAX_CRASHES {
            let oldest = self.strikes.iter().min_by_key(|(_, k)| k.strike.crashed);
            let Some((&worker, _)) = oldest else { return };
            self.strikes.remove(&worker);
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
    strike: &Strike,
) -> bool {
    let (from, until) = (strike.crashed, strike.crashed + SAME_MOMENT);
    let at_once = |c: &Crash| c.at <= until && from <= c.at + SAME_MOMENT;
    let others = crashes
        .iter()
        .filter(|(worker, c)| !of.strikes.contains_key(worker) && c.heaviest <= 1 && at_once(c));
    others.count() >= MASS_CRASH
}

/// The most crashes of these that came one after the other, and the last one's moment.
pub(super) fn in_turn(strikes: impl Iterator<Item = Strike>) -> (u32, Moment) {
    let mut all: Vec<Strike> = strikes.collect();
    all.sort_by_key(|s| s.crashed);
    let (mut count, mut last) = (0, Moment(0));
    for strike in all {
        if count == 0 || strike.began + CLOCK_SLACK >= last {
            count += 1;
            last = strike.crashed;
        }
    }
    (count, last)
}
