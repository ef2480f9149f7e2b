//! Messages to the jobs component.

use bluebellreel_job::{ClaimedItem, JobRecord};
use bluebellreel_kv::WatchEvent;
use bluebellreel_rpc::PullAnswer;
use bluebellreel_types::{Dispatch, JobId, TeamName};
use crossbeam_channel::Sender;
use serde::Serialize;

/// A job's recorded state as its new owner read it.
#[derive(Debug)]
pub(crate) struct OpenedJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
    /// Indices of the items with a recorded result, and whether each succeeded.
    pub(crate) recorded: Vec<(u32, bool)>,
    pub(crate) claims: Vec<ClaimedItem>,
}

/// The result of a write to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobWrite {
    /// The write was applied.
    Done,
    /// The write was refused: the job has another owner or has ended.
    Fenced,
    /// The write may not have been applied and has to be retried.
    Failed,
}

/// A worker's pull whose items' claims are being written.
#[derive(Debug)]
pub(crate) struct PendingPull {
    pub(crate) answer: PullAnswer,
    pub(crate) ready: Vec<Dispatch>,
    pub(crate) claimed: Vec<ClaimedDispatches>,
}

/// Dispatches of a pull that belong to one job and need claims.
#[derive(Debug)]
pub(crate) struct ClaimedDispatches {
    pub(crate) job: JobId,
    pub(crate) dispatches: Vec<Dispatch>,
}

/// A message to the jobs component.
#[derive(Debug)]
pub(crate) enum JobsMessage {
    /// A job was accepted by this daemon, at this revision of its record.
    Accepted(Box<JobRecord>, i64),
    /// The complete list of running jobs, with the revisions of their records.
    AllJobs(Vec<(JobRecord, i64)>),
    /// The record of a running job was changed or deleted.
    Changed(WatchEvent),
    /// The recorded state of an owned job was read.
    Opened(Box<OpenedJob>),
    /// The recorded state of an owned job could not be read.
    OpenFailed(JobId),
    /// A take-over ended: the new record and its revision, or `None` if it failed.
    TakenOver {
        id: JobId,
        result: Option<(Box<JobRecord>, i64)>,
    },
    /// An input chunk was read, `None` if that failed.
    Chunk {
        id: JobId,
        epoch: u64,
        chunk: u32,
        bytes: Option<Vec<u8>>,
    },
    /// An attempt to write results ended.
    Recorded {
        id: JobId,
        epoch: u64,
        seq: u64,
        items: u32,
        failed: u32,
        write: JobWrite,
    },
    /// An attempt to write a job's end ended.
    Closed {
        id: JobId,
        epoch: u64,
        write: JobWrite,
    },
    /// Attempts to write a pull's claims ended; results are in the order of
    /// `claimed`.
    Claimed {
        pull: Box<PendingPull>,
        written: Vec<JobWrite>,
    },
    /// Requests a summary of the jobs.
    QuerySummary(Sender<JobsSummary>),
    /// Requests the number of running jobs, in total and of one team.
    QueryCount(TeamName, Sender<JobsCount>),
}

/// Number of running jobs in the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobsCount {
    /// Jobs of all teams.
    pub(crate) all: usize,
    /// Jobs of the requested team.
    pub(crate) of_team: usize,
}

/// Summary of the jobs known to this daemon.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct JobsSummary {
    /// Running jobs in the fleet.
    pub(crate) running: usize,
    /// Jobs owned by this daemon.
    pub(crate) owned: Vec<OwnedSummary>,
    /// Running jobs without a live owner.
    pub(crate) orphaned: usize,
    /// Running jobs past their deadline.
    pub(crate) late: usize,
    /// Bytes of results that this daemon has not recorded yet.
    pub(crate) unrecorded_bytes: usize,
}

/// A job owned by this daemon.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OwnedSummary {
    pub(crate) id: JobId,
    pub(crate) team: TeamName,
    pub(crate) items: u32,
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) running: usize,
    pub(crate) deadline: String,
}
