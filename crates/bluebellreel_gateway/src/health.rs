//! Health checks of workers whose answers have broken off.
//!
//! The answer to a health check names no request. A check therefore has a connection of its
//! own: a late answer to an earlier request would be taken for the one to the check, and a
//! late one to the check for that of a later request.

use crate::gateway::Gateway;
use bluebellreel_net::{ProbeResult, Reply, ReplyBody};
use bluebellreel_platform::engine;
use bluebellreel_types::WorkerName;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http_body_util::Full;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Timeout of a check. It waits for a slot at the worker as requests do.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the body of an answer.
const BODY_TIMEOUT: Duration = Duration::from_millis(30);
/// Size of the part of a body that is read, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Shared checks in progress, by the worker and its address: the runs that a worker breaks
/// off at one moment need one for all.
#[derive(Default)]
pub(crate) struct HealthChecks(RefCell<HashMap<Target, InProgress>>);

type Target = (WorkerName, SocketAddr);

#[derive(Clone)]
struct InProgress {
    health: Shared<LocalBoxFuture<'static, Health>>,
    /// Whether the request may have been written.
    is_sent: Rc<Cell<bool>>,
}

/// What a check has shown of a worker at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// The worker has answered.
    Alive,
    /// No process listens at the address.
    Refused,
    /// Another worker has answered.
    OtherWorker,
    /// The connection broke, or nothing came in time.
    Unknown,
}

/// Which check shows that a worker is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// One that is not sent yet: it shows that the worker has outlived what ended before.
    NotSent,
    /// One that may have been sent, and answered, shortly before.
    Any,
}

/// Checks the health of a worker at an address.
pub(crate) async fn check(
    gw: &Rc<Gateway>,
    worker: &WorkerName,
    address: SocketAddr,
    which: Check,
) -> Health {
    let target = (worker.clone(), address);
    let in_progress = gw.health_checks.0.borrow().get(&target).cloned();
    if let Some(in_progress) = in_progress
        && (which == Check::Any || !in_progress.is_sent.get())
    {
        return in_progress.health.await;
    }
    let is_sent = Rc::new(Cell::new(false));
    let (gw_of_check, target_of_check, sent) = (gw.clone(), target.clone(), is_sent.clone());
    // A task of its own: a check that stands still until the next run joins it would answer
    // for a later moment than it was sent.
    let task = spawn_local(async move {
        let health = ask(&gw_of_check, &target_of_check, &sent).await;
        let mut checks = gw_of_check.health_checks.0.borrow_mut();
        // A later check may have taken its place.
        if checks
            .get(&target_of_check)
            .is_some_and(|c| Rc::ptr_eq(&c.is_sent, &sent))
        {
            checks.remove(&target_of_check);
        }
        health
    });
    let health = task.map(|health| health.unwrap_or(Health::Unknown));
    let health = health.boxed_local().shared();
    let in_progress = InProgress {
        health: health.clone(),
        is_sent,
    };
    gw.health_checks.0.borrow_mut().insert(target, in_progress);
    health.await
}

/// Asks a worker on a new connection. `is_sent` is set before the request is written.
async fn ask(gw: &Gateway, (worker, address): &Target, is_sent: &Cell<bool>) -> Health {
    let Some(req) = engine::health_check(&health_path(gw, worker), worker) else {
        return Health::Unknown;
    };
    let asked = async {
        let connection = gw.workers.open(*address).await?;
        is_sent.set(true);
        let reply = connection.send(req.map(Full::new)).await;
        reply.map_err(|_| ProbeResult::Unknown)
    };
    let Reply { head, body } = match timeout(CHECK_TIMEOUT, asked).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(ProbeResult::Refused)) => return Health::Refused,
        Ok(Err(_)) | Err(_) => return Health::Unknown,
    };
    let is_broken_off = timeout(BODY_TIMEOUT, is_broken_off(body)).await;
    if is_broken_off == Ok(true) {
        return Health::Unknown;
    }
    match engine::is_from_worker(head.status, &head.headers, worker) {
        Some(true) => Health::Alive,
        Some(false) => Health::OtherWorker,
        None => Health::Unknown,
    }
}

/// Whether a body ends before it is complete, within its first part.
async fn is_broken_off(mut body: ReplyBody) -> bool {
    let mut bytes = 0;
    while bytes <= MAX_BODY_BYTES {
        match body.next().await {
            Ok(Some(piece)) => bytes += piece.len(),
            Ok(None) => return false,
            Err(_) => return true,
        }
    }
    false
}

/// Path of the health check of a worker's service.
fn health_path(gw: &Gateway, worker: &WorkerName) -> Arc<str> {
    let board = gw.board.borrow();
    let service = board.worker_view(worker).map(|v| v.record.service.clone());
    let configuration = gw.configuration();
    let services = configuration.iter().flat_map(|c| &c.services);
    let mut found = services.filter(|s| Some(&s.name) == service.as_ref());
    found
        .next()
        .map_or_else(|| Arc::from("/"), |s| s.health_path.clone())
}
