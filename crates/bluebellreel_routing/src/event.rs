//! Inputs and outputs of the router.

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, DataCentre, Dispatch, Incarnation, LoadReport, Moment,
    NotRunReason, RequestId, SideHello, TraceContext, Work, WorkerName,
};
use std::sync::Arc;

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// The work requested.
    pub work: Arc<Work>,
    /// When the answer is no longer useful.
    pub deadline: Moment,
    /// Trace context of the entry daemon's span.
    pub trace: TraceContext,
}

/// Content of the claim that is recorded before a non-repeatable attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimIntent {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker that the attempt will be sent to.
    pub worker: WorkerName,
    /// The incarnation of the side process that the attempt is meant for.
    pub incarnation: Incarnation,
}

/// The outcome of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer; the text of a stream has already been delivered.
    Completed {
        /// HTTP status.
        status: u16,
        /// Body of the answer to a call that is not streamed.
        body: Arc<[u8]>,
        /// Tokens generated.
        tokens: u32,
    },
    /// The backend server rejected the work.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The server's reason.
        message: Arc<str>,
    },
    /// The request did not run and will not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When a retry is worthwhile.
        retry_at: Moment,
    },
    /// The request ran in part and was given up; running it again does no harm.
    Failed {
        /// Why.
        message: Arc<str>,
    },
    /// The request may have run; its outcome can be read later by its key.
    Unknown,
}

/// An input to [`crate::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(NewRequest),
    /// A claim has been recorded: the attempt may be sent.
    ClaimRecorded(AttemptId),
    /// A claim could not be recorded, and never will be.
    ClaimFailed(AttemptId),
    /// The key was already claimed: the caller receives the earlier request's state.
    ClaimTaken(AttemptId),
    /// An outcome has been recorded, or recording it was given up.
    OutcomeRecorded(RequestId),
    /// The caller has disconnected.
    CallerGone(RequestId),
    /// Part of an answer has arrived.
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
        /// How the attempt ended.
        end: AttemptEnd,
        /// The worker's load, if it reported one.
        load: Option<LoadReport>,
    },
    /// A side process has reported the state of an attempt.
    VerdictArrived {
        /// The attempt.
        attempt: AttemptId,
        /// The state of the attempt.
        verdict: AttemptVerdict,
    },
    /// The VM list contains a worker.
    WorkerListed {
        /// Its name.
        worker: WorkerName,
        /// Its data centre.
        data_centre: DataCentre,
        /// Whether the worker is leaving, according to the list or an operator's order.
        leaving: bool,
    },
    /// The VM list no longer contains a worker.
    WorkerUnlisted(WorkerName),
    /// A side process has connected.
    WorkerConnected(SideHello),
    /// The connection to a worker is lost.
    WorkerLost(WorkerName),
    /// A worker has reported its load.
    LoadArrived {
        /// The worker.
        worker: WorkerName,
        /// Its load.
        load: LoadReport,
    },
    /// A periodic tick.
    Ticked,
}

/// An action for the daemon to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Record a claim and report the result as an event.
    Claim(ClaimIntent),
    /// Record the outcome of a claimed request and report completion as an event.
    RecordOutcome {
        /// The request.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Send an attempt.
    Dispatch {
        /// The worker to send it to.
        worker: WorkerName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Cancel an attempt; for a non-repeatable attempt, query its state instead.
    Cancel {
        /// The worker that it was sent to.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver text to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The text.
        text: Arc<str>,
    },
    /// Report to the caller how the request ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
        /// Number of attempts made.
        attempts: u32,
    },
}
