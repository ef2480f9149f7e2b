//! Health checks of workers whose answers have broken off.

use crate::gateway::Gateway;
use bluebellreel_net::{Reply, ReplyBody, Reuse};
use bluebellreel_platform::engine;
use bluebellreel_types::WorkerName;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http_body_util::Full;
use std::cell::RefCell;
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
pub(crate) struct HealthChecks(RefCell<HashMap<Target, Shared<LocalBoxFuture<'static, Answer>>>>);

type Target = (WorkerName, SocketAddr);

/// Whether the worker that was asked has answered; none if the connection broke, or nothing
/// came in time.
type Answer = Option<bool>;

/// Which check shows that a worker is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// One that is sent now: it shows that the worker has outlived what ended before.
    SentNow,
    /// One that may have been sent, and answered, shortly before.
    Shared,
}

/// Whether a worker answers a health check at an address.
pub(crate) async fn is_alive(
    gw: &Rc<Gateway>,
    worker: &WorkerName,
    address: SocketAddr,
    which: Check,
) -> Answer {
    let target = (worker.clone(), address);
    if which == Check::SentNow {
        return check(gw, &target).await;
    }
    let in_progress = gw.health_checks.0.borrow().get(&target).cloned();
    if let Some(in_progress) = in_progress {
        return in_progress.await;
    }
    let (gw_of_check, target_of_check) = (gw.clone(), target.clone());
    // A task of its own: a check that stands still until the next run joins it would answer
    // for a later moment than it was sent.
    let task = spawn_local(async move {
        let answer = check(&gw_of_check, &target_of_check).await;
        let mut in_progress = gw_of_check.health_checks.0.borrow_mut();
        in_progress.remove(&target_of_check);
        answer
    });
    let shared = task.map(|answer| answer.ok().flatten());
    let shared = shared.boxed_local().shared();
    let checks = &gw.health_checks.0;
    checks.borrow_mut().insert(target, shared.clone());
    shared.await
}

async fn check(gw: &Gateway, (worker, address): &Target) -> Answer {
    let req = engine::health_check(&health_path(gw, worker), worker)?;
    let reply = gw.workers.send(*address, req.map(Full::new), Reuse::Any);
    let reply = timeout(CHECK_TIMEOUT, reply).await.ok()?;
    let Reply { head, body } = reply.ok()?;
    let is_broken_off = timeout(BODY_TIMEOUT, is_broken_off(body)).await;
    if is_broken_off == Ok(true) {
        return None;
    }
    Some(engine::is_from_worker(head.status, &head.headers, worker))
}

/// Whether a body ends before it is complete, within its first part. Read to its end, its
/// connection can be used again.
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
