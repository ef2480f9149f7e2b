//! Decides when a daemon requests workers from its peers because their worker lists
//! differ.

use crate::peer::WorkerList;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Time for which lists may differ in ordinary operation. Changes reach all daemons
/// within some milliseconds.
const MAX_TRANSIENT_DIFFERENCE: Duration = Duration::from_secs(1);
/// Minimum time between two requests.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum time between two requests while the lists keep differing.
const MAX_BACKOFF: Duration = Duration::from_mins(1);
/// Time after the first request from which the daemon requests all workers instead of
/// changes. It exceeds the time for which a peer keeps missing workers after an outage.
const CHANGES_ONLY_PERIOD: Duration = Duration::from_secs(5);

/// What a daemon requests from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// The changes since the revision up to which its list is complete.
    Changes,
    /// All workers; requested only from peers whose lists are complete to a later
    /// revision.
    All,
}

/// Tracks since when a daemon's worker list differs from those of its peers.
///
/// Guards against the following fault: a daemon that starts lists the present workers
/// and has no facts about those that have left. Its newest fact may be older than the
/// facts of peers that missed a removal. Such peers see no newer revision to request,
/// and kept a worker that had left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Divergence {
    since: Option<Moment>,
    first_request_at: Option<Moment>,
    /// Earliest time of the next request.
    not_before: Moment,
    backoff: Duration,
}

impl Divergence {
    /// Decides what to request now, given the worker lists of all alive peers. The
    /// request goes to a peer whose list is complete to the same or a later revision than
    /// `own`; all workers are requested only if that revision is later. The returned
    /// request counts as sent.
    ///
    /// Lists that are complete to an earlier revision cause no request, as the daemons
    /// that hold them send the requests. The backoff doubles until the lists agree.
    pub fn next_request(
        &mut self,
        own: WorkerList,
        peers: impl Iterator<Item = WorkerList>,
        now: Moment,
    ) -> Option<SyncRequest> {
        let mut differs = false;
        let mut may_learn = false;
        let mut is_behind = false;
        for list in peers {
            differs |= own.differs_from(list);
            may_learn |= own.may_learn_from(list);
            is_behind |= own.is_behind(list);
        }
        if !differs {
            *self = Self::default();
            return None;
        }
        let since = *self.since.get_or_insert(now);
        if !may_learn
            || !(since + MAX_TRANSIENT_DIFFERENCE).is_past(now)
            || !self.not_before.is_past(now)
        {
            return None;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.not_before = now + self.backoff;
        let first = *self.first_request_at.get_or_insert(now);
        if is_behind && (first + CHANGES_ONLY_PERIOD).is_past(now) {
            Some(SyncRequest::All)
        } else {
            Some(SyncRequest::Changes)
        }
    }

    /// Notes that the last request was not answered. That says nothing about whether
    /// requests make the lists agree, so the backoff does not grow.
    pub fn request_failed(&mut self, now: Moment) {
        self.backoff /= 2;
        self.not_before = now + MIN_BACKOFF;
    }
}
