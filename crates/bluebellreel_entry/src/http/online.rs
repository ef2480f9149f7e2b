//! Sends requests to the online component, for chat completions and service calls.

use crate::http::context::{CallerRequest, HttpContext};
use crate::http::requests::claimed_reply;
use crate::message::Message;
use crate::online::{CallerEvent, NewCall, OnlineMessage};
use bluebellreel_claim::ClaimRecord;
use bluebellreel_http::{ApiError, Reply};
use bluebellreel_routing::{NewRequest, Outcome};
use bluebellreel_types::{MAX_UNREPEATABLE_CALL, Moment, NotRunReason, Ran, RequestId, Work};
use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};
use std::sync::Arc;
use std::time::Duration;

/// How long past the deadline a handler waits for the actor.
const ACTOR_GRACE: Duration = Duration::from_secs(3);

/// A request in progress at the online component.
pub(crate) struct Pending {
    pub(crate) id: RequestId,
    pub(crate) rx: Receiver<CallerEvent>,
    pub(crate) deadline: Moment,
    digest: String,
}

/// Sends a new request to the online component.
pub(crate) fn begin(cx: &HttpContext, call: &CallerRequest, work: Work, digest: String) -> Pending {
    let id = RequestId::random();
    let latest = cx.now() + cx.handles.settings.online_deadline;
    let deadline = call.deadline.unwrap_or(latest);
    let deadline = if work.repeatable {
        deadline
    } else {
        deadline.min(cx.now() + MAX_UNREPEATABLE_CALL)
    };
    // The channel needs no bound: one answer's tokens limit its length.
    let (caller, rx) = unbounded();
    let new = NewCall {
        request: NewRequest {
            id,
            work: Arc::new(work),
            deadline,
            trace: call.span.child_context(),
        },
        digest: digest.clone(),
        caller,
    };
    cx.handles
        .send_message(Message::Online(OnlineMessage::Call(Box::new(new))));
    Pending {
        id,
        rx,
        deadline,
        digest,
    }
}

impl Pending {
    /// Waits for the next event of the request.
    pub(crate) fn next(&self, cx: &HttpContext) -> CallerEvent {
        let timeout = self.deadline.since(cx.now()) + ACTOR_GRACE;
        match self.rx.recv_timeout(timeout) {
            Ok(event) => event,
            // The actor has ended or is blocked, so whether the request ran is
            // unknown.
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                CallerEvent::Finished(Outcome::Unknown)
            }
        }
    }

    /// The reply to a caller whose idempotency key was used before.
    pub(crate) fn claimed(&self, cx: &HttpContext, record: ClaimRecord) -> Result<Reply, ApiError> {
        if record.digest != self.digest {
            let message = "the key was used before, for another request";
            return Err(ApiError::new(409, "key_reused", message));
        }
        claimed_reply(cx, record)
    }

    /// Notifies the online component that the caller has disconnected.
    pub(crate) fn caller_gone(&self, cx: &HttpContext) {
        let message = OnlineMessage::CallerGone(self.id);
        cx.handles.send_message(Message::Online(message));
    }
}

/// The error for an outcome other than a completed answer.
pub(crate) fn error_of(outcome: &Outcome, keyed: bool, now: Moment) -> ApiError {
    match outcome {
        Outcome::Completed { .. } => ApiError::new(500, "internal", "not an error"),
        Outcome::Rejected { status, message } => {
            ApiError::new(*status, "rejected", message.to_string())
        }
        Outcome::NotRun { reason, retry_at } => {
            let (status, code) = not_run_status(*reason);
            let error = ApiError::new(status, code, format!("not run: {reason}"));
            error.retry_after(retry_at.since(now))
        }
        Outcome::Failed { message } => {
            ApiError::new(502, "failed", message.to_string()).ran(Ran::Yes)
        }
        Outcome::Unknown => {
            let message = if keyed {
                "the outcome is not known yet; read it at /v1/requests/{key}"
            } else {
                "the outcome is not known"
            };
            ApiError::new(504, "unknown", message).ran(Ran::Unknown)
        }
    }
}

fn not_run_status(reason: NotRunReason) -> (u16, &'static str) {
    match reason {
        NotRunReason::Overloaded => (429, "overloaded"),
        NotRunReason::TooLate => (503, "too_late"),
        NotRunReason::Expired => (504, "expired"),
        NotRunReason::NoWorker => (503, "no_worker"),
        NotRunReason::ClaimUnavailable => (503, "claim_unavailable"),
        NotRunReason::Leaving
        | NotRunReason::StaleIncarnation
        | NotRunReason::Cancelled
        | NotRunReason::WrongModel
        | NotRunReason::Unreachable
        | NotRunReason::EngineBusy => (503, "not_run"),
    }
}
