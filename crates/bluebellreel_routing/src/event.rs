//! What happens to a router, and what it decides to do.

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, DataCentre, Dispatch, Incarnation, LoadReport, Moment,
    NotRunReason, RequestId, SideHello, TraceContext, Work, WorkerName,
};
use std::sync::Arc;

/// A caller's request as it arrives.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// What is asked.
    pub work: Arc<Work>,
    /// When the answer is no longer wanted.
    pub deadline: Moment,
    /// The entry's span.
    pub trace: TraceContext,
}

/// What a claim is to say before an unrepeatable attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it will be sent.
    pub worker: WorkerName,
    /// The run of the side process that it is meant for.
    pub incarnation: Incarnation,
}

/// How a request ends for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer; a stream's text was delivered before.
    Completed {
        /// HTTP status.
        status: u16,
        /// Body of a plain call's answer.
        body: Arc<[u8]>,
        /// Tokens generated.
        tokens: u32,
    },
    /// The backend server refused the work itself.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Its reason.
        message: Arc<str>,
    },
    /// It did not run and will not.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When it is worth asking again.
        retry_at: Moment,
    },
    /// It ran in part and is given up; running it again does no harm.
    Failed {
        /// Why.
        message: Arc<str>,
    },
    /// It may have run; its outcome can be read later by its key.
    Unknown,
}

/// An input to [`crate::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(NewRequest),
    /// A claim has been recorded: the attempt may be sent.
    ClaimRecorded(AttemptId),
    /// A claim could not be recorded and never will be.
    ClaimFailed(AttemptId),
    /// The key was claimed before: the caller is told what became of it.
    ClaimTaken(AttemptId),
    /// An outcome has been recorded, or given up on.
    OutcomeRecorded(RequestId),
    /// The caller has gone away.
    CallerGone(RequestId),
    /// Part of an answer has come.
    PartArrived {
        /// The attempt.
        attempt: AttemptId,
        /// Its text.
        text: Arc<str>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
        /// The worker's load, when it told.
        load: Option<LoadReport>,
    },
    /// A side process has said what it knows of an attempt.
    VerdictArrived {
        /// The attempt.
        attempt: AttemptId,
        /// What it knows.
        verdict: AttemptVerdict,
    },
    /// The list of VMs names a worker.
    WorkerListed {
        /// Its name.
        worker: WorkerName,
        /// Where it stands.
        data_centre: DataCentre,
        /// Whether it leaves, by the list or an operator's order.
        leaving: bool,
    },
    /// The list of VMs no longer names a worker.
    WorkerUnlisted(WorkerName),
    /// A side process has connected.
    WorkerConnected(SideHello),
    /// A worker's connection is gone.
    WorkerLost(WorkerName),
    /// A worker has told its load.
    LoadArrived {
        /// The worker.
        worker: WorkerName,
        /// Its load.
        load: LoadReport,
    },
    /// Time has passed.
    Ticked,
}

/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Record a claim and come back with its fate.
    Claim(ClaimIntent),
    /// Record the outcome of a claimed request and come back.
    RecordOutcome {
        /// The request.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Send an attempt.
    Dispatch {
        /// Where to.
        worker: WorkerName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Cancel an attempt, or ask what became of it if it may not be repeated.
    Cancel {
        /// Where it was sent.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Hand text to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The text.
        text: Arc<str>,
    },
    /// Tell the caller how the request ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
        /// Attempts that it took.
        attempts: u32,
    },
}
