//! One send to one worker.

use crate::gateway::Gateway;
use crate::ticket::RunGuard;
use bluebellreel_net::{ReplyBody, Reuse, SendError};
use bluebellreel_platform::engine::{AnswerHead, Outgoing, read_head};
use bluebellreel_platform::ingress;
use bluebellreel_types::Moment;
use http::StatusCode;
use http_body_util::Full;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A worker's answer that has begun.
pub(crate) struct Upstream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: ReplyBody,
    pub(crate) run_guard: RunGuard,
    /// When the request was sent.
    pub(crate) began: Moment,
}

/// Why a send has no answer to pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// Nothing reached the worker.
    Unsent(String),
    /// The worker says that it did not run the request.
    NotRun(StatusCode),
    /// It may have run.
    Unknown(String),
    /// Nothing came in time; it may have run.
    Silent,
}

/// What is sent, and how.
pub(crate) struct Send<'a> {
    /// The run's place at its worker.
    pub(crate) run_guard: RunGuard,
    pub(crate) out: &'a Outgoing,
    /// How long the caller still waits.
    pub(crate) left: Option<Duration>,
    /// The event after which a stream goes on.
    pub(crate) after: Option<u64>,
    pub(crate) reuse: Reuse,
    /// Until when the answer's head is waited for.
    pub(crate) until: Instant,
}

/// Sends to a worker and waits for the head of its answer.
pub(crate) async fn send(gw: &Gateway, send: Send<'_>) -> Result<Upstream, NoAnswer> {
    let worker = send.run_guard.worker();
    let address = {
        let board = gw.board.borrow();
        board.seat(worker).map(|s| s.record.address)
    };
    let Some(address) = address else {
        return Err(NoAnswer::Unsent("worker no longer listed".into()));
    };
    let began = gw.now();
    let req = send.out.for_worker(worker, send.left, send.after);
    let answer = gw.workers.send(address, req.map(Full::new), send.reuse);
    let reply = match timeout_at(send.until, answer).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) => {
            send.run_guard.failed();
            return Err(match e {
                SendError::Unsent(reason) => NoAnswer::Unsent(reason),
                SendError::Unknown(reason) => NoAnswer::Unknown(reason),
            });
        }
        Err(_) => {
            // Its kept connections may all have fallen silent.
            gw.workers.drop_idle(address);
            return Err(NoAnswer::Silent);
        }
    };
    let AnswerHead {
        request_id,
        not_run,
        ..
    } = read_head(reply.head.status, &reply.head.headers);
    // An extra answer to an earlier request may arrive where this one's is
    // due. It belongs to nobody here, and its connection is not used again.
    let expected = ingress::request_id(&send.out.headers);
    if request_id.is_some_and(|id| id != expected) {
        return Err(NoAnswer::Unknown("answer to another request".into()));
    }
    if not_run {
        return Err(NoAnswer::NotRun(reply.head.status));
    }
    Ok(Upstream {
        head: reply.head,
        body: reply.body,
        run_guard: send.run_guard,
        began,
    })
}
