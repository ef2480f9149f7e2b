//! State of one peer.

use crate::Upkeep;
use bluebellreel_types::{DataCentre, EntryName, Incarnation, JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a peer no longer counts as alive. Peers report four times a
/// second, and some reports are lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a peer without a registration is evicted.
pub const PEER_RETENTION: Duration = Duration::from_secs(8);

/// Age from which a peer's last answer from the store counts as old, in a small fleet. A
/// healthy peer renews its lease every 1.1 s there, and reports the age of its last answer
/// every 0.25 s.
pub const STORE_ANSWER_MAX_AGE: Duration = Duration::from_millis(1500);

/// Newest revisions of the store that a daemon has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the configuration.
    pub configuration: i64,
    /// Revision of the newest fact about workers.
    pub workers: i64,
}

/// Summary of the workers that a daemon lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerList {
    /// Revision of the store up to which the list is complete; zero if the daemon does
    /// not report its list.
    pub complete_to: i64,
    /// Digest of the listed workers; equal for equal lists.
    pub digest: u64,
}

impl WorkerList {
    /// Whether both lists are known and differ.
    #[must_use]
    pub fn differs_from(self, other: Self) -> bool {
        let both_known = self.complete_to > 0 && other.complete_to > 0;
        both_known && self.digest != other.digest
    }

    /// Whether the other list differs and is complete to the same or a later revision.
    /// If the revisions are equal, one of the two daemons received a removal late.
    #[must_use]
    pub fn may_learn_from(self, other: Self) -> bool {
        self.differs_from(other) && other.complete_to >= self.complete_to
    }

    /// Whether the other list differs and is complete to a later revision.
    #[must_use]
    pub fn is_behind(self, other: Self) -> bool {
        self.differs_from(other) && other.complete_to > self.complete_to
    }
}

/// A daemon's registration in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Incarnation of the daemon.
    pub run: Incarnation,
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// Address for reports from peers.
    pub reports: SocketAddr,
}

/// Presence of one incarnation of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It sends reports.
    Reporting,
    /// It has stopped reporting, but its registration is still in the store.
    Silent,
    /// It has certainly ended, or no daemon can reach it.
    Gone,
}

/// One peer.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent, and all combinations occur"
)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation of the peer.
    pub run: Incarnation,
    /// Address for calls from peers.
    pub calls: SocketAddr,
    /// Address for reports from peers.
    pub reports: SocketAddr,
    /// When its last report arrived; none if only its registration is known.
    pub last_report_at: Option<Moment>,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Whether its registration is in the store, as far as is known.
    pub registered: bool,
    /// Whether the registrations listed since its last report lack its own.
    pub is_gone: bool,
    /// Seconds for which the store has served it without an outage.
    pub served_s: u32,
    /// When the store last answered it; none if it does not report that.
    pub answered_at: Option<Moment>,
    /// Newest revisions of the store that it has received.
    pub revisions: Revisions,
    /// Summary of the workers that it lists.
    pub list: WorkerList,
    /// Jobs that it owns.
    pub jobs: BTreeSet<JobId>,
    /// Waiting tokens of its jobs by route.
    pub tokens: BTreeMap<String, u64>,
    /// Whether it reaches the store, by its own report.
    pub reaches_store: bool,
    /// Whether it accepts short reports; daemons of earlier versions do not.
    pub reads_briefs: bool,
    /// Its data centre, if it has reported it.
    pub data_centre: Option<DataCentre>,
    /// Whether it forwards reports to the peers of its data centre; daemons of earlier
    /// versions do not.
    pub forwards: bool,
    /// Whether it takes part in elections of watchers. Daemons of earlier versions always
    /// do.
    pub is_candidate: bool,
}

impl Peer {
    /// Creates a peer of which only the registration is known.
    #[must_use]
    pub fn from_entry(entry: MemberEntry) -> Self {
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
            data_centre: None,
            forwards: false,
            is_candidate: true,
        }
    }

    /// Whether it may be elected as a watcher.
    pub(crate) fn may_watch(&self) -> bool {
        self.is_candidate && !self.stopping
    }

    /// Whether the store may have answered it recently, in a fleet with this upkeep.
    pub(crate) fn has_recent_store_answer(&self, upkeep: &Upkeep, now: Moment) -> bool {
        let max_age = STORE_ANSWER_MAX_AGE + upkeep.renewal_delay();
        self.answered_at
            .is_none_or(|at| !(at + max_age).is_past(now))
    }

    /// Whether it reported within `PEER_TIMEOUT`.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        self.reported_within(PEER_TIMEOUT, now)
    }

    /// Whether it reported within `span`.
    #[must_use]
    pub fn reported_within(&self, span: Duration, now: Moment) -> bool {
        self.last_report_at
            .is_some_and(|at| !(at + span).is_past(now))
    }
}

/// Rank of a daemon in an order that all daemons agree on.
pub(crate) fn rank(name: &EntryName) -> u64 {
    twox_hash::XxHash64::oneshot(1, name.as_str().as_bytes())
}

/// Rank of a daemon for one job. Each job has its own order, so that the jobs of a dead
/// daemon spread over the others.
pub(crate) fn rank_for(name: &EntryName, job: &JobId) -> u64 {
    twox_hash::XxHash64::oneshot(0, format!("{job}/{name}").as_bytes())
}
