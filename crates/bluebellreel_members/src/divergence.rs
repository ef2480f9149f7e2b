//! When a daemon asks its peers because their lists of workers differ.

use crate::peer::WorkerList;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Time for which lists differ in ordinary operation: news reaches all daemons
/// within some milliseconds.
const DIFFER_LONGEST: Duration = Duration::from_secs(1);
/// Shortest time between two questions.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Longest time between two questions that bring nothing.
const BACKOFF_LONGEST: Duration = Duration::from_mins(1);
/// Time after a first question from which all workers are asked for, and not only
/// changes: longer than a peer keeps workers that are missing after an outage.
const CHANGES_LONGEST: Duration = Duration::from_secs(5);

/// What a daemon asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// What has changed since the revision up to which its list is complete.
    Changes,
    /// All workers; asked of peers whose lists are complete to a later revision.
    All,
}

/// Since when a daemon's list differs from those of its peers.
///
/// Guard: a daemon that starts lists who is there, and knows nobody who has left. Its
/// newest fact may be older than what peers know that missed a removal, so that they
/// have nothing to ask it for, and kept a worker that had left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Divergence {
    since: Option<Moment>,
    first_asked: Option<Moment>,
    /// When the next question is due at the earliest.
    not_before: Moment,
    backoff: Duration,
}

impl Divergence {
    /// What is to be asked now of a peer that the own list may learn from, given the
    /// lists of all that are heard; all workers only of one that it is behind. The
    /// question counts as asked.
    ///
    /// A list that is complete to an earlier revision is ignored: its owner asks. Until the
    /// lists agree, questions are further and further apart.
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
        if !may_learn || !(since + DIFFER_LONGEST).is_past(now) || !self.not_before.is_past(now) {
            return None;
        }
        self.backoff = (self.backoff * 2).clamp(BACKOFF_FIRST, BACKOFF_LONGEST);
        self.not_before = now + self.backoff;
        let first = *self.first_asked.get_or_insert(now);
        if is_behind && (first + CHANGES_LONGEST).is_past(now) {
            Some(SyncRequest::All)
        } else {
            Some(SyncRequest::Changes)
        }
    }
}
