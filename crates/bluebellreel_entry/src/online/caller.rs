//! Messages between HTTP threads and the online component.

use crate::online::claims::ClaimAnswer;
use bluebellreel_claim::ClaimRecord;
use bluebellreel_routing::{NewRequest, Outcome};
use bluebellreel_types::{AttemptId, AttemptVerdict, RequestId};
use crossbeam_channel::Sender;
use std::sync::Arc;

/// An event for the HTTP thread that serves a caller.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// A piece of the answer's text.
    Text(Arc<str>),
    /// The request ended with this outcome.
    Finished(Outcome),
    /// The idempotency key already has this claim.
    Claimed(Box<ClaimRecord>),
}

/// A caller's request as an HTTP thread hands it to the actor.
#[derive(Debug)]
pub(crate) struct NewCall {
    pub(crate) request: NewRequest,
    /// SHA-256 of the request, compared when its idempotency key is used again.
    pub(crate) digest: String,
    pub(crate) caller: Sender<CallerEvent>,
}

/// A message to the online component.
#[derive(Debug)]
pub(crate) enum OnlineMessage {
    /// A new request.
    Call(Box<NewCall>),
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// The result of writing a claim.
    Claim {
        attempt: AttemptId,
        answer: ClaimAnswer,
    },
    /// The outcome was recorded, or the attempt to record it was abandoned.
    OutcomeRecorded(RequestId),
    /// Queries the side process named by a claim for the outcome of the call.
    QueryClaim {
        record: Box<ClaimRecord>,
        answer: Sender<ClaimQueryResult>,
    },
}

/// The result of querying a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimQueryResult {
    /// The verdict of the call's side process, or `Running` while its entry
    /// daemon still handles the call.
    Verdict(AttemptVerdict),
    /// The side process is not connected or did not reply in time.
    Unreachable,
    /// The side process has restarted, so the outcome cannot be determined.
    Gone,
}
