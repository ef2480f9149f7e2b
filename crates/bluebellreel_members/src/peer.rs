//! One peer.

use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a peer no longer counts as alive. It reports four times
/// a second; a few reports are lost now and then.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a peer whose entry in the store has ended is forgotten.
pub const PEER_RETENTION: Duration = Duration::from_secs(8);

/// Age from which a peer's last answer of the store is old. One that is well renews
/// its lease each 1.1 s and says how old its last answer is each 0.25 s.
pub const STORE_ANSWER_MAX_AGE: Duration = Duration::from_millis(1500);

/// How far some daemon's knowledge of the store goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Of the configuration.
    pub configuration: i64,
    /// Of the newest fact on workers.
    pub workers: i64,
}

/// Which workers some daemon lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Revision of the store up to which the list is complete; zero if it is not told.
    pub complete_to: i64,
    /// Of the workers in it; equal for equal lists.
    pub digest: u64,
}

impl WorkerList {
    /// Whether another list differs.
    #[must_use]
    pub fn differs_from(self, other: Self) -> bool {
        let both_told = self.complete_to > 0 && other.complete_to > 0;
        both_told && self.digest != other.digest
    }

    /// Whether another list differs and is complete to no earlier revision: where they
    /// are equal, one of the two knows of a removal that it has learned late.
    #[must_use]
    pub fn may_learn_from(self, other: Self) -> bool {
        self.differs_from(other) && other.complete_to >= self.complete_to
    }

    /// Whether another list differs and is complete to a later revision.
    #[must_use]
    pub fn is_behind(self, other: Self) -> bool {
        self.differs_from(other) && other.complete_to > self.complete_to
    }
}

/// A daemon's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Its run.
    pub run: Incarnation,
    /// Where it takes calls of peers.
    pub calls: SocketAddr,
    /// Where it takes reports.
    pub reports: SocketAddr,
}

/// Whether a run of a daemon is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It reports.
    Reporting,
    /// It has fallen silent, and its entry in the store stands.
    Silent,
    /// It is certainly not at work any more, or nobody can reach it.
    Gone,
}

/// One peer.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each tells something of its own, and all combinations occur"
)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its run.
    pub run: Incarnation,
    /// Where it takes calls of peers.
    pub calls: SocketAddr,
    /// Where it takes reports.
    pub reports: SocketAddr,
    /// When it was heard last; never, if only its entry is known.
    pub last_report_at: Option<Moment>,
    /// Whether it is about to end.
    pub stopping: bool,
    /// Whether its entry stands in the store, as far as is known.
    pub registered: bool,
    /// Whether the entries in the store, listed since it was heard, lack its own.
    pub is_gone: bool,
    /// How long the store has served it without an outage; in seconds.
    pub served_s: u32,
    /// When the store answered it last; none if it does not say.
    pub answered_at: Option<Moment>,
    /// How far its knowledge goes.
    pub revisions: Revisions,
    /// Which workers it lists.
    pub list: WorkerList,
    /// Jobs that it owns.
    pub jobs: BTreeSet<JobId>,
    /// Tokens of its jobs that wait, by route.
    pub tokens: BTreeMap<String, u64>,
    /// Whether it reaches the store, as far as it knows.
    pub reaches_store: bool,
    /// Whether it reads short reports; daemons of an earlier version do not.
    pub reads_briefs: bool,
}

impl Peer {
    /// A peer of which only the entry is known.
    #[must_use]
    pub fn entered(entry: MemberEntry) -> Self {
        Self {
            run: entry.run,
            calls: entry.calls,
            reports: entry.reports,
            last_report_at: None,
            stopping: false,
            registered: true,
            is_gone: false,
            served_s: 0,
            answered_at: None,
            revisions: Revisions::default(),
            list: WorkerList::default(),
            jobs: BTreeSet::new(),
            tokens: BTreeMap::new(),
            reaches_store: true,
            reads_briefs: false,
        }
    }

    /// Whether the store may have answered it lately.
    pub(crate) fn is_answered(&self, now: Moment) -> bool {
        self.answered_at
            .is_none_or(|at| !(at + STORE_ANSWER_MAX_AGE).is_past(now))
    }

    /// Whether it was heard lately.
    #[must_use]
    pub fn is_heard(&self, now: Moment) -> bool {
        self.heard_within(PEER_TIMEOUT, now)
    }

    /// Whether it was heard within a time.
    #[must_use]
    pub fn heard_within(&self, span: Duration, now: Moment) -> bool {
        self.last_report_at
            .is_some_and(|at| !(at + span).is_past(now))
    }
}

/// Where a daemon stands in an order that all agree on.
pub(crate) fn rank(name: &EntryName) -> u64 {
    twox_hash::XxHash64::oneshot(1, name.as_str().as_bytes())
}

/// The same for one job, so that jobs of a dead daemon spread over the others.
pub(crate) fn rank_for(name: &EntryName, job: &JobId) -> u64 {
    twox_hash::XxHash64::oneshot(0, format!("{job}/{name}").as_bytes())
}
