//! Messages between HTTP threads and the online part.

use crate::online::claims::ClaimAnswer;
use bluebellreel_claim::ClaimRecord;
use bluebellreel_routing::{NewRequest, Outcome};
use bluebellreel_types::{AttemptId, AttemptVerdict, RequestId};
use crossbeam_channel::Sender;
use std::sync::Arc;

/// What the thread that serves a caller hears.
#[derive(Clone, Debug)]
pub(crate) enum CallerEvent {
    /// Text of the answer.
    Text(Arc<str>),
    /// The end.
    Finished(Outcome),
    /// The key was used before.
    Claimed(Box<ClaimRecord>),
}

/// A caller's request on its way to the actor.
#[derive(Debug)]
pub(crate) struct NewCall {
    pub(crate) request: NewRequest,
    /// SHA-256 of what is asked, for calls with a key.
    pub(crate) digest: String,
    pub(crate) caller: Sender<CallerEvent>,
}

/// What reaches the online part.
#[derive(Debug)]
pub(crate) enum OnlineMessage {
    /// A request.
    Call(Box<NewCall>),
    /// The caller went away.
    CallerGone(RequestId),
    /// A claim's fate.
    Claim {
        attempt: AttemptId,
        answer: ClaimAnswer,
    },
    /// An outcome was recorded, or given up on.
    OutcomeRecorded(RequestId),
    /// Asks the side process that a claim names what became of the call.
    QueryClaim {
        record: Box<ClaimRecord>,
        answer: Sender<ClaimQueryResult>,
    },
}

/// What can be told of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimQueryResult {
    /// Its side process has spoken.
    Verdict(AttemptVerdict),
    /// Its side process cannot be asked now.
    Unreachable,
    /// The run of the side process that could tell is over.
    Gone,
}
