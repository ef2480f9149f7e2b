//! Sends one request to one worker.

use crate::gateway::Gateway;
use crate::ticket::RunGuard;
use bluebellreel_net::{ReplyBody, Reuse, SendError};
use bluebellreel_platform::engine::{Outgoing, is_answer_to, read_head};
use bluebellreel_platform::ingress;
use bluebellreel_types::Moment;
use http::StatusCode;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A worker's answer whose head has arrived.
pub(crate) struct Upstream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: ReplyBody,
    pub(crate) run_guard: RunGuard,
    pub(crate) address: SocketAddr,
    /// When the request was sent.
    pub(crate) began: Moment,
    /// The same on the clock that also runs while the VM is suspended.
    pub(crate) dispatched: Moment,
}

/// Why a send has no answer to forward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// Nothing reached the worker.
    Unsent(String),
    /// The worker answered that it did not run the request.
    NotRun(StatusCode),
    /// The send failed, and the request may have run.
    Unknown(String),
    /// No answer arrived in time; the request may have run.
    Silent,
}

/// A request to send, and how to send it.
pub(crate) struct Send<'a> {
    /// The registered run at the worker.
    pub(crate) run_guard: RunGuard,
    pub(crate) out: &'a Outgoing,
    /// Time left until the caller's deadline.
    pub(crate) left: Option<Duration>,
    /// Id of the event after which a stream is resumed.
    pub(crate) after: Option<u64>,
    pub(crate) reuse: Reuse,
    /// Deadline for the head of the answer.
    pub(crate) until: Instant,
}

/// Sends to a worker and waits for the head of its answer.
pub(crate) async fn send(gw: &Gateway, send: Send<'_>) -> Result<Upstream, NoAnswer> {
    let worker = send.run_guard.worker();
    let address = {
        let board = gw.board.borrow();
        board.worker_view(worker).map(|s| s.record.address)
    };
    let Some(address) = address else {
        return Err(NoAnswer::Unsent("worker no longer listed".into()));
    };
    let (began, dispatched) = (gw.now(), gw.elapsed());
    let req = send.out.for_worker(worker, send.left, send.after);
    let id = ingress::request_id(&send.out.headers);
    let reuse = if id.is_empty() {
        // Nothing tells its answer from a late one to an earlier request.
        Reuse::Never
    } else {
        send.reuse
    };
    let answer = gw.workers.send(address, req.map(Full::new), reuse);
    let reply = match timeout_at(send.until, answer).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(e)) => {
            send.run_guard.failed();
            return Err(match e {
                SendError::Unsent(reason) => NoAnswer::Unsent(reason),
                SendError::Unknown(reason) => {
                    send.run_guard.lost();
                    NoAnswer::Unknown(reason)
                }
            });
        }
        Err(_) => {
            // The idle connections to this worker may all be dead.
            gw.workers.drop_idle(address);
            return Err(NoAnswer::Silent);
        }
    };
    let answer = read_head(reply.head.status, &reply.head.headers);
    // A surplus answer to an earlier request may arrive on the connection in place of
    // this request's answer. It is discarded, and the connection is not reused.
    if !is_answer_to(&answer, id) {
        let found = answer.request_id.as_deref().unwrap_or("no request");
        let reason = format!("answer to another request: expected {id}, found {found}");
        return Err(NoAnswer::Unknown(reason));
    }
    if answer.not_run {
        return Err(NoAnswer::NotRun(reply.head.status));
    }
    Ok(Upstream {
        head: reply.head,
        body: reply.body,
        run_guard: send.run_guard,
        address,
        began,
        dispatched,
    })
}
