//! Which keepers of snapshots have visited this daemon lately.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a keeper counts as present after a visit: three times as long as far
/// ones leave between visits before few gateways.
const VISIT_TTL: Duration = Duration::from_secs(4);

/// Keepers that have visited this daemon, by the address that takes calls.
#[derive(Debug, Default)]
pub(crate) struct Keepers {
    visits: BTreeMap<SocketAddr, Visit>,
}

/// A keeper's last visit, and what calls to it have shown since.
#[derive(Debug)]
struct Visit {
    is_near: bool,
    /// Until when it counts as present.
    until: Moment,
    /// Whether a call to it has failed: it may be starting again.
    is_unreachable: bool,
    /// Whether it was waited for in vain.
    is_given_up: bool,
}

impl Keepers {
    /// One has visited, from this daemon's data centre if `is_near`.
    pub(crate) fn record_visit(&mut self, at: SocketAddr, is_near: bool, now: Moment) {
        let visit = Visit {
            is_near,
            until: now + VISIT_TTL,
            is_unreachable: false,
            is_given_up: false,
        };
        self.visits.insert(at, visit);
    }

    /// One in this daemon's data centre that takes calls.
    pub(crate) fn near(&self, now: Moment) -> Option<SocketAddr> {
        let present = self.present(now);
        let mut near = present.filter(|(_, visit)| visit.is_near && !visit.is_unreachable);
        near.next().map(|(at, _)| at)
    }

    /// A call to it has failed: it counts as unreachable until its next visit.
    pub(crate) fn mark_unreachable(&mut self, at: SocketAddr) {
        if let Some(visit) = self.visits.get_mut(&at) {
            visit.is_unreachable = true;
        }
    }

    /// It was waited for in vain: nobody waits again before its next visit.
    pub(crate) fn give_up(&mut self, at: SocketAddr) {
        if let Some(visit) = self.visits.get_mut(&at) {
            visit.is_given_up = true;
        }
    }

    /// Whether calls to it may be tried again.
    pub(crate) fn may_retry(&self, at: SocketAddr) -> bool {
        self.visits.get(&at).is_some_and(|visit| !visit.is_given_up)
    }

    /// All that have visited lately, also those that are unreachable.
    pub(crate) fn all(&self, now: Moment) -> Vec<SocketAddr> {
        self.present(now).map(|(at, _)| at).collect()
    }

    fn present(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, &Visit)> {
        let all = self.visits.iter().map(|(at, visit)| (*at, visit));
        all.filter(move |(_, visit)| !visit.until.is_past(now))
    }

    /// Evicts those that are gone.
    pub(crate) fn sweep(&mut self, now: Moment) {
        self.visits.retain(|_, visit| !visit.until.is_past(now));
    }
}
