//! Which keepers of snapshots have recently called this daemon.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time for which a keeper counts as present after a visit: three times the interval
/// between visits of keepers in other data centres when there are few gateways.
const VISIT_TTL: Duration = Duration::from_secs(4);
/// Number of intervals between its visits for which a keeper counts as present.
const INTERVALS_PRESENT: u32 = 3;
/// Maximum time for which a keeper counts as present after a visit.
const MAX_VISIT_TTL: Duration = Duration::from_mins(5);
/// How long a keeper that is no longer present is remembered. It exceeds the time for which
/// callers may resume a stream.
const RETENTION: Duration = Duration::from_mins(1);

/// Keepers that have visited this daemon, by the address at which they accept calls.
#[derive(Debug, Default)]
pub(crate) struct Keepers {
    visits: BTreeMap<SocketAddr, Visit>,
    /// Whether a keeper has ever visited this daemon.
    have_visited: bool,
    /// Whether no keeper took the last record in time.
    has_record_failed: bool,
}

/// A keeper's last visit, and the outcome of calls to it since.
#[derive(Debug)]
struct Visit {
    is_near: bool,
    /// Until when the keeper counts as present.
    until: Moment,
    /// Whether a call to the keeper has failed: it may be restarting.
    is_unreachable: bool,
    /// Whether retries of calls to the keeper have failed until their time limit.
    is_given_up: bool,
}

impl Visit {
    fn is_known(&self, now: Moment) -> bool {
        !(self.until + RETENTION).is_past(now)
    }
}

impl Keepers {
    /// Records a visit of the keeper at `at`, which is in this daemon's data centre if
    /// `is_near`. Its next visit is due after `next_in`; zero if it has not said so.
    pub(crate) fn record_visit(
        &mut self,
        at: SocketAddr,
        is_near: bool,
        next_in: Duration,
        now: Moment,
    ) {
        let present_for = next_in.saturating_mul(INTERVALS_PRESENT);
        let visit = Visit {
            is_near,
            until: now + present_for.clamp(VISIT_TTL, MAX_VISIT_TTL),
            is_unreachable: false,
            is_given_up: false,
        };
        self.visits.insert(at, visit);
        self.have_visited = true;
    }

    /// Whether there are keepers, present or not.
    pub(crate) fn exist(&self) -> bool {
        self.have_visited
    }

    /// Records whether a keeper took a stream's record in time.
    pub(crate) fn note_record(&mut self, is_kept: bool) {
        self.has_record_failed = !is_kept;
    }

    /// Whether a record is unlikely to be taken: there are keepers, but none is reachable, or
    /// none took the last one.
    pub(crate) fn take_no_records(&self, now: Moment) -> bool {
        self.have_visited && (self.has_record_failed || self.reachable(now).is_empty())
    }

    /// A reachable keeper in this daemon's data centre.
    pub(crate) fn near(&self, now: Moment) -> Option<SocketAddr> {
        let present = self.present(now);
        let mut near = present.filter(|(_, visit)| visit.is_near && !visit.is_unreachable);
        near.next().map(|(at, _)| at)
    }

    /// Reachable keepers, those of this daemon's data centre first.
    pub(crate) fn reachable_near_first(&self, now: Moment) -> Vec<SocketAddr> {
        let present = self.present(now).filter(|(_, v)| !v.is_unreachable);
        let mut all: Vec<(SocketAddr, &Visit)> = present.collect();
        all.sort_by_key(|(_, visit)| !visit.is_near);
        all.into_iter().map(|(at, _)| at).collect()
    }

    /// Marks a keeper as unreachable until its next visit, after a failed call.
    pub(crate) fn mark_unreachable(&mut self, at: SocketAddr) {
        if let Some(visit) = self.visits.get_mut(&at) {
            visit.is_unreachable = true;
        }
    }

    /// Records that retries have failed: calls to the keeper are not retried before its
    /// next visit.
    pub(crate) fn give_up(&mut self, at: SocketAddr) {
        if let Some(visit) = self.visits.get_mut(&at) {
            visit.is_given_up = true;
        }
    }

    /// Whether failed calls to the keeper may be retried.
    pub(crate) fn may_retry(&self, at: SocketAddr) -> bool {
        self.visits.get(&at).is_some_and(|visit| !visit.is_given_up)
    }

    /// All keepers that count as present and are not known to be unreachable.
    pub(crate) fn reachable(&self, now: Moment) -> Vec<SocketAddr> {
        let present = self.present(now).filter(|(_, v)| !v.is_unreachable);
        present.map(|(at, _)| at).collect()
    }

    /// All keepers that count as present, including those that are unreachable.
    pub(crate) fn all(&self, now: Moment) -> Vec<SocketAddr> {
        self.present(now).map(|(at, _)| at).collect()
    }

    /// All keepers that count as present, or did so a short time ago: records of streams may
    /// be on their disks.
    pub(crate) fn known(&self, now: Moment) -> Vec<SocketAddr> {
        let known = self.visits.iter().filter(|(_, v)| v.is_known(now));
        known.map(|(at, _)| *at).collect()
    }

    fn present(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, &Visit)> {
        let all = self.visits.iter().map(|(at, visit)| (*at, visit));
        all.filter(move |(_, visit)| !visit.until.is_past(now))
    }

    /// Evicts keepers that have not been present for some time.
    pub(crate) fn sweep(&mut self, now: Moment) {
        self.visits.retain(|_, visit| visit.is_known(now));
    }
}
