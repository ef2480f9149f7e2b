//! Messages to the jobs part.

use bluebellreel_job::{ClaimedItem, JobRecord};
use bluebellreel_kv::WatchEvent;
use bluebellreel_rpc::PullAnswer;
use bluebellreel_types::{Dispatch, JobId, TeamName};
use crossbeam_channel::Sender;
use serde::Serialize;

/// A job's items as its new owner found them.
#[derive(Debug)]
pub(crate) struct OpenedJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
    /// Items recorded, and whether they succeeded.
    pub(crate) recorded: Vec<(u32, bool)>,
    pub(crate) claims: Vec<ClaimedItem>,
}

/// What became of a write to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobWrite {
    /// It took effect.
    Done,
    /// The job is another's, or over.
    Fenced,
    /// It is to be made again.
    Failed,
}

/// A pull whose claims are being written.
#[derive(Debug)]
pub(crate) struct PendingPull {
    pub(crate) answer: PullAnswer,
    pub(crate) ready: Vec<Dispatch>,
    pub(crate) claimed: Vec<ClaimedDispatches>,
}

/// One job's part of such a pull.
#[derive(Debug)]
pub(crate) struct ClaimedDispatches {
    pub(crate) job: JobId,
    pub(crate) dispatches: Vec<Dispatch>,
}

/// What reaches the jobs part.
#[derive(Debug)]
pub(crate) enum JobsMessage {
    /// A job has been accepted here.
    Accepted(Box<JobRecord>, i64),
    /// All jobs that are not over, read anew.
    AllJobs(Vec<(JobRecord, i64)>),
    /// A job's record changed.
    Changed(WatchEvent),
    /// A job has been opened by its new owner.
    Opened(Box<OpenedJob>),
    /// A job could not be opened.
    OpenFailed(JobId),
    /// A take-over has been tried.
    TakenOver {
        id: JobId,
        result: Option<(Box<JobRecord>, i64)>,
    },
    /// An input chunk was read, or not.
    Chunk {
        id: JobId,
        epoch: u64,
        chunk: u32,
        bytes: Option<Vec<u8>>,
    },
    /// Results were written, or not.
    Recorded {
        id: JobId,
        epoch: u64,
        seq: u64,
        items: u32,
        failed: u32,
        write: JobWrite,
    },
    /// A job's end was written, or not.
    Closed {
        id: JobId,
        epoch: u64,
        write: JobWrite,
    },
    /// Claims of a pull were written, or not, in the order of its parts.
    Claimed {
        pull: Box<PendingPull>,
        written: Vec<JobWrite>,
    },
    /// The jobs here are asked for.
    QuerySummary(Sender<JobsSummary>),
    /// How many jobs run is asked for, in all and of one team.
    QueryCount(TeamName, Sender<JobsCount>),
}

/// Jobs of the fleet that are not over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobsCount {
    /// All.
    pub(crate) all: usize,
    /// Those of the team that was asked about.
    pub(crate) of_team: usize,
}

/// Jobs as this daemon sees them.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct JobsSummary {
    /// Jobs in the fleet that are not over.
    pub(crate) running: usize,
    /// Jobs owned here.
    pub(crate) owned: Vec<OwnedSummary>,
    /// Running jobs whose owner is not there.
    pub(crate) orphaned: usize,
    /// Running jobs past their deadline.
    pub(crate) late: usize,
    /// Bytes of results not yet recorded here.
    pub(crate) unrecorded_bytes: usize,
}

/// One owned job.
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
