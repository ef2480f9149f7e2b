//! Chooses a worker for a caller's request and reserves a run there.

use crate::evidence;
use crate::gateway::Gateway;
use crate::jobs::preempt_batch_runs;
use crate::quarantine_gate::Permit;
use crate::request::{Binding, Request};
use crate::ticket::RunGuard;
use bluebellreel_dispatch::{
    Board, Class, Placement, Query, place_contained, place_online, place_trial, should_reroute,
};
use bluebellreel_types::WorkerName;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

fn query<'a>(
    gw: &Gateway,
    req: &'a Request,
    avoid: &'a [WorkerName],
    max_wait: Duration,
) -> Query<'a> {
    let bound = req.binding.version().or(req.required_version.as_ref());
    Query {
        service: &req.service,
        version: bound.or(req.permit.version.as_ref()),
        avoid,
        attempt: req.attempt(),
        max_wait,
        salt: gw.rng.borrow_mut().random(),
        now: gw.now(),
    }
}

/// Chooses a worker for a request that may wait in its queue for `max_wait`. Workers
/// that were tried before are excluded.
///
/// While slots are short, requests wait by their turn, except those that resume a stream:
/// their callers already have a part of it.
pub(crate) fn choose(gw: &Gateway, req: &Request, max_wait: Duration) -> Placement {
    let placement = choose_except(gw, req, &req.tried, max_wait);
    match &placement {
        Placement::Send(worker) if req.binding == Binding::Free && !has_free_slot(gw, worker) => {
            let max_wait = max_wait.min(req.wait_by_turn(gw));
            choose_except(gw, req, &req.tried, max_wait)
        }
        _ => placement,
    }
}

fn has_free_slot(gw: &Gateway, worker: &WorkerName) -> bool {
    let board = gw.board.borrow();
    let view = board.worker_view(worker);
    view.is_some_and(|view| view.running().online < view.record.slots)
}

/// Chooses a worker among all except those in `avoid`; workers that were tried before
/// are not excluded otherwise.
pub(crate) fn choose_except(
    gw: &Gateway,
    req: &Request,
    avoid: &[WorkerName],
    max_wait: Duration,
) -> Placement {
    if req.binding == Binding::Unknown {
        return Placement::NoWorker;
    }
    evidence::assess_workers(gw);
    let (board, query) = (gw.board.borrow(), query(gw, req, avoid, max_wait));
    match place_online(&board, &query) {
        Placement::Send(worker) => {
            Placement::Send(for_suspect(&board, &query, &req.permit, worker))
        }
        other => other,
    }
}

/// The worker for a request under suspicion instead of the usual one, so that its crash
/// would interrupt fewer others.
pub(crate) fn for_suspect(
    board: &Board,
    query: &Query,
    permit: &Permit,
    usual: WorkerName,
) -> WorkerName {
    let other = if permit.is_trial() {
        place_trial(board, query)
    } else {
        let contained = permit.contained;
        contained.and_then(|part| place_contained(board, query, part))
    };
    other.unwrap_or(usual)
}

/// Whether a request that waits for `worker` should be sent to another worker instead.
pub(crate) fn is_better_elsewhere(gw: &Gateway, req: &Request, worker: &WorkerName) -> bool {
    let query = query(gw, req, &req.tried, req.max_wait());
    should_reroute(&gw.board.borrow(), &query, worker)
}

/// Registers a caller's request as a run at a worker, and preempts batch runs there if
/// needed.
pub(crate) fn acquire(gw: &Rc<Gateway>, worker: &WorkerName) -> RunGuard {
    evidence::note_sent(gw, worker);
    let place = RunGuard::acquire(gw, worker, Class::Online);
    preempt_batch_runs(gw);
    place
}
