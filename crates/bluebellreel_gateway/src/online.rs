//! Answers one caller's request: chooses a worker, sends the request, forwards the answer.

use crate::answer_buffers::HeldAnswer;
use crate::answers;
use crate::crash;
use crate::evidence;
use crate::gateway::Gateway;
use crate::millis::millis;
use crate::placement;
use crate::quarantine_gate::{self, Held};
use crate::relay::Relay;
use crate::request::Request;
use crate::serve::refuse_stopping;
use crate::teams::{self, Denial};
use crate::ticket::{RESTART_GRACE, note_late, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use crate::workers::version_text;
use crate::{origin_lookup, origins};
use bluebellreel_dispatch::{Placement, RouteKind, retry_delay};
use bluebellreel_net::{Body, Reuse};
use bluebellreel_platform::ingress;
use bluebellreel_types::WorkerName;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use log::{info, warn};
use rand::RngExt;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Interval between checks whether a request whose first byte is late should be sent
/// elsewhere.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of sends that no worker ran before a request fails. Each refusal by a
/// worker costs a round trip.
const MAX_REFUSALS: u32 = 4;

/// Answers a caller.
pub(crate) async fn answer(gw: Rc<Gateway>, mut req: Request) -> Response<Body> {
    let mut refusals = 0;
    req.note_class(&gw);
    if let Err(refused) = origin_lookup::bind(&gw, &mut req).await {
        teams::give_back(&gw, &req);
        return refused;
    }
    loop {
        if req.left().is_zero() {
            return give_up(&gw, &req, "deadline passed");
        }
        if req.runs == 0 && gw.refuses(req.deadline) {
            teams::give_back(&gw, &req);
            return refuse_stopping();
        }
        if let Err(held) = req.may_run(&gw) {
            return refuse_quarantined(&gw, &req, held);
        }
        if let Some(denial) = req.denial(&gw) {
            return refuse_key(&gw, &req, denial);
        }
        req.required_version = origins::required_version(&gw, &req);
        let worker = match placement::choose(&gw, &req, req.max_wait()) {
            Placement::Send(worker) => worker,
            Placement::Full => return give_up(&gw, &req, "all workers full"),
            Placement::NoWorker => return give_up(&gw, &req, "no worker"),
        };
        match send_to(&gw, &mut req, &worker).await {
            Ok(upstream) => match forward_answer(&gw, req, upstream).await {
                Ok(answer) => return answer,
                Err(again) => req = again,
            },
            Err(NoAnswer::NotRun(_) | NoAnswer::Unsent(_)) => refusals += 1,
            Err(NoAnswer::Unknown(_) | NoAnswer::Silent) => req.runs += 1,
        }
        if refusals >= MAX_REFUSALS || !req.may_repeat() {
            return give_up(&gw, &req, "nothing came of its sends");
        }
    }
}

/// Sends the request to a worker, and logs the state behind the choice and a failure.
async fn send_to(
    gw: &Rc<Gateway>,
    req: &mut Request,
    worker: &WorkerName,
) -> Result<Upstream, NoAnswer> {
    let mut due = req.first_byte_due(gw, worker);
    log_choice(gw, req, worker);
    req.tried.push(worker.clone());
    let reuse = if req.route.repeatable() {
        Reuse::Any
    } else {
        Reuse::Never
    };
    let run_guard = placement::acquire(gw, worker);
    let ticket = run_guard.ticket().clone();
    let began = gw.now();
    let mut restarted = pin!(worker_restarted(gw, &ticket));
    let mut has_restarted = false;
    let mut answer = pin!(send(
        gw,
        Send {
            run_guard,
            out: &req.out,
            left: Some(req.left()),
            after: None,
            reuse,
            until: req.deadline,
        },
    ));
    let outcome = loop {
        tokio::select! {
            biased;
            outcome = answer.as_mut() => break outcome,
            () = restarted.as_mut(), if !has_restarted => {
                has_restarted = true;
                due = due.min(Instant::now() + RESTART_GRACE);
            }
            () = sleep_until(due) => {
                if has_restarted || placement::is_better_elsewhere(gw, req, worker) {
                    gw.board.borrow_mut().failed(&ticket, gw.now());
                    if !req.left().is_zero() {
                        note_late(gw, &ticket);
                    }
                    break Err(NoAnswer::Silent);
                }
                due = (Instant::now() + RECHECK_INTERVAL).min(req.deadline);
            }
        }
    };
    if let Err(e) = &outcome {
        warn!(target: "online", request:% = req.id, worker:% = worker, outcome:? = e, runs = req.runs; "no answer from worker");
    }
    let was_left = has_restarted && matches!(outcome, Err(NoAnswer::Silent));
    if was_left || matches!(outcome, Err(NoAnswer::Unknown(_))) {
        crash::check_for_crash(gw, req.interrupted_run(ticket.clone(), began, 0)).await;
    }
    outcome
}

fn log_choice(gw: &Gateway, req: &Request, worker: &WorkerName) {
    let board = gw.board.borrow();
    let Some(worker_view) = board.worker_view(worker) else {
        return;
    };
    let running = worker_view.running();
    let report_age = gw.members.borrow().oldest_report(gw.now());
    gw.metrics.report_age.observe(report_age.as_secs_f64());
    info!(
        target: "online",
        request:% = req.id,
        route:% = req.route.name,
        worker:% = worker,
        worker_version = version_text(worker_view.record.version.as_ref()),
        resumes = ingress::resumed_attempt(&req.out.headers),
        after = ingress::last_event_id(&req.out.headers),
        online = running.online,
        batch = running.batch,
        slots = worker_view.record.slots,
        evidence = evidence::standing_text(gw, worker_view),
        tried = req.tried.len(),
        left_ms = millis(req.left()),
        version = gw.configuration().map_or(0, |c| c.version),
        report_age_ms = millis(report_age),
        list_age_ms:? = gw.list_age().map(millis),
        team:? = req.credential.as_ref().map(|c| &c.team.name),
        tokens_left:? = teams::tokens_left(gw, req).map(f64::floor),
        confirmed_ms:? = gw.confirmation_age().map(|age| age.as_millis());
        "sent"
    );
}

/// Forwards a worker's answer.
///
/// # Errors
///
/// Returns the request if nothing was forwarded, so that the caller of this function may
/// send it once more.
async fn forward_answer(
    gw: &Rc<Gateway>,
    mut req: Request,
    mut upstream: Upstream,
) -> Result<Response<Body>, Request> {
    let status = upstream.head.status;
    let failed = status.is_server_error();
    req.runs += 1;
    if failed {
        // The failure is recorded even if the request cannot be sent elsewhere. A worker
        // that fails at once seems to have the least load, and would otherwise be chosen
        // for the next request too.
        upstream.run_guard.failed();
        upstream.run_guard.lost();
        if req.route.repeatable() && req.may_repeat() {
            return Err(req);
        }
    }
    if req.route.kind == RouteKind::Stream && status.is_success() {
        return Ok(stream(gw, req, upstream));
    }
    let body = gw.answer_buffers.read(&mut upstream.body);
    let body = timeout_at(req.deadline, body).await;
    let interrupted_run = || {
        let ticket = upstream.run_guard.ticket().clone();
        req.interrupted_run(ticket, upstream.began, 0)
    };
    let body = match body {
        Ok(Ok(body)) => {
            let is_unframed = upstream.body.is_unframed();
            if is_unframed && crash::was_cut_short(gw, interrupted_run(), upstream.address).await {
                upstream.run_guard.failed();
                upstream.run_guard.lost();
                return Err(req);
            }
            body
        }
        Ok(Err(_)) => {
            upstream.run_guard.failed();
            upstream.run_guard.lost();
            crash::check_for_crash(gw, interrupted_run()).await;
            return Err(req);
        }
        Err(_) => {
            upstream.run_guard.failed();
            return Err(req);
        }
    };
    if !failed {
        upstream.run_guard.succeeded();
        upstream.run_guard.proved();
    }
    quarantine_gate::run_completed(gw, || req.fingerprint());
    if status.is_success() {
        let version = upstream.run_guard.version();
        quarantine_gate::prompt_answered(gw, req.parts(), version);
    }
    gw.metrics
        .request(if failed { "worker_failed" } else { "served" });
    info!(target: "online", request:% = req.id, worker:% = upstream.run_guard.worker(), status = status.as_u16(); "answered");
    Ok(whole(&upstream.head, body))
}

fn whole(head: &http::response::Parts, body: HeldAnswer) -> Response<Body> {
    let mut headers = ingress::end_to_end(&head.headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut answer = if body.len() == 0 {
        Response::new(Body::full(Bytes::new()))
    } else {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        Response::new(Body::stream(body))
    };
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers;
    answer
}

fn stream(gw: &Rc<Gateway>, req: Request, upstream: Upstream) -> Response<Body> {
    let mut headers = ingress::end_to_end(&upstream.head.headers);
    headers.remove(header::CONTENT_LENGTH);
    let status = upstream.head.status;
    let relay = Relay::new(gw.clone(), req, upstream);
    let mut answer = Response::new(Body::stream(relay.into_stream()));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// The final answer to a request that is held back because it crashes workers.
fn refuse_quarantined(gw: &Gateway, req: &Request, held: Held) -> Response<Body> {
    let mut answer = if req.runs == 0 {
        teams::give_back(gw, req);
        let after = held.until.since(gw.now());
        answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, held.reason, after)
    } else {
        answers::failure(StatusCode::BAD_GATEWAY, held.reason)
    };
    gw.metrics.request("held_back");
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

/// The final answer to a request whose key was revoked, or is not confirmed any more,
/// before a send.
fn refuse_key(gw: &Gateway, req: &Request, denial: Denial) -> Response<Body> {
    let mut answer = if req.runs == 0 {
        teams::give_back(gw, req);
        denial.answer()
    } else {
        answers::failure(StatusCode::BAD_GATEWAY, denial.reason())
    };
    gw.metrics.request("denied");
    warn!(target: "online", request:% = req.id, status = answer.status().as_u16(), runs = req.runs, reason = denial.reason(); "key denied before a send");
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

/// The final answer to a request that is not sent again.
fn give_up(gw: &Gateway, req: &Request, reason: &str) -> Response<Body> {
    let held = millis(req.received.elapsed());
    let mut answer = if req.runs == 0 {
        teams::give_back(gw, req);
        gw.metrics.request("refused");
        let lasted = gw.overloads.borrow_mut().refused(&req.service, gw.now());
        let draw = gw.rng.borrow_mut().random_range(0.0..1.0);
        let after = retry_delay(lasted, req.left(), draw);
        answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, after)
    } else if req.left().is_zero() {
        gw.metrics.request("timed_out");
        answers::failure(StatusCode::GATEWAY_TIMEOUT, reason)
    } else {
        gw.metrics.request("failed");
        answers::failure(StatusCode::BAD_GATEWAY, reason)
    };
    warn!(target: "online", request:% = req.id, route:% = req.route.name, status = answer.status().as_u16(), runs = req.runs, tried = req.tried.len(), held_ms = held, reason; "given up");
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}
