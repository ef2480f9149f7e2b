//! One caller's request: chosen a worker, sent, answered.

use crate::answers;
use crate::crash::{self, Cut};
use crate::gateway::Gateway;
use crate::relay::Relay;
use crate::suspicion::{self, Trial};
use crate::ticket::{AFTER_RESTART, Place, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use bluebellreel_dispatch::{
    Class, Fingerprint, Placement, Query, Route, RouteKind, Sender, Ticket, place_online,
    return_after, should_leave,
};
use bluebellreel_net::{Body, Reuse};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bluebellreel_types::{Moment, WorkerName};
use bytes::Bytes;
use http::{Response, StatusCode, header};
use log::{info, warn};
use rand::RngExt;
use std::cell::OnceCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Share of a route's objective that a request may wait in line; the rest is
/// for its way, its prompt, and what is not known of the others in line.
const PATIENCE: f64 = 0.62;
/// Longest answer that is gathered before it is passed on.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// How long a worker with a free slot may take to its first byte before a
/// request that may be repeated goes elsewhere. An idle engine takes some
/// 20 ms; a send elsewhere must still leave half of a 300 ms objective.
const FIRST_BYTE: Duration = Duration::from_millis(130);
/// Added for each request that waits before it: about the time in which one of
/// a worker's slots comes free.
const FIRST_BYTE_PER_WAITING: Duration = Duration::from_millis(110);
/// Time between looks whether a request whose first byte is late does better
/// elsewhere.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Sends that nothing came of before a request is given up. Refusals by
/// workers cost a round trip each.
const MOST_REFUSALS: u32 = 4;

/// A caller's request on its way.
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) out: Outgoing,
    /// When its answer is no longer wanted, or no longer allowed.
    pub(crate) deadline: Instant,
    pub(crate) received: Instant,
    /// Workers that it was sent to.
    pub(crate) tried: Vec<WorkerName>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// Reckoned when it is first asked for.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// While it shows whether workers can run it now.
    pub(crate) trial: Option<Trial>,
}

impl Request {
    /// Whether it may be sent once more.
    pub(crate) fn may_repeat(&self) -> bool {
        let allowed = self.runs == 0 || self.route.repeatable();
        allowed && self.runs < self.route.max_workers.max(1)
    }

    /// A run of it that its worker broke off.
    pub(crate) fn cut(&self, ticket: Ticket, began: Moment) -> Cut {
        Cut {
            request: self.id.clone(),
            fingerprint: self.fingerprint(),
            ticket,
            began,
        }
    }

    /// What it asks for, whichever attempt it is.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.out.identity()))
    }

    /// Whether it may be sent to a worker; else when it may be tried again.
    pub(crate) fn may_run(&mut self, gw: &Rc<Gateway>) -> Result<(), Moment> {
        // What an earlier run has shown counts by now.
        self.trial = None;
        let leave = suspicion::may_run(gw, &self.id, Sender::Caller, || self.fingerprint())?;
        self.trial = Trial::begin(gw, &self.id, leave);
        Ok(())
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long it may wait in line and still meet its objective.
    fn patience(&self) -> Duration {
        self.route.objective.mul_f64(PATIENCE)
    }

    /// When the first byte from a worker counts as late; never for a request
    /// that cannot go elsewhere.
    fn first_byte_due(&self, gw: &Gateway, worker: &WorkerName) -> Instant {
        let last_try = self.runs + 1 >= self.route.max_workers.max(1);
        if last_try || !self.route.repeatable() {
            return self.deadline;
        }
        let waiting = gw
            .board
            .borrow()
            .seat(worker)
            .map_or(0, |s| s.running().online.saturating_sub(s.record.slots));
        let wait = FIRST_BYTE + FIRST_BYTE_PER_WAITING * waiting;
        (Instant::now() + wait).min(self.deadline)
    }
}

/// Answers a caller.
pub(crate) async fn answer(gw: Rc<Gateway>, mut req: Request) -> Response<Body> {
    let mut refusals = 0;
    loop {
        if req.left().is_zero() {
            return give_up(&gw, &req, "deadline passed");
        }
        if let Err(until) = req.may_run(&gw) {
            return hold_back(&gw, &req, until);
        }
        let worker = match choose(&gw, &req, req.patience()) {
            Placement::Send(worker) => worker,
            Placement::Full => return give_up(&gw, &req, "all workers full"),
            Placement::NoWorker => return give_up(&gw, &req, "no worker"),
        };
        match send_to(&gw, &mut req, &worker).await {
            Ok(upstream) => match pass_on(&gw, req, upstream).await {
                Ok(answer) => return answer,
                Err(again) => req = again,
            },
            Err(NoAnswer::NotRun(_) | NoAnswer::Unsent(_)) => refusals += 1,
            Err(NoAnswer::Unknown(_) | NoAnswer::Silent) => req.runs += 1,
        }
        if refusals >= MOST_REFUSALS || !req.may_repeat() {
            return give_up(&gw, &req, "nothing came of its sends");
        }
    }
}

/// Chooses a worker for a request that may wait in line for `patience`.
pub(crate) fn choose(gw: &Gateway, req: &Request, patience: Duration) -> Placement {
    let query = Query {
        service: &req.service,
        avoid: &req.tried,
        patience,
        salt: gw.rng.borrow_mut().random(),
        now: gw.now(),
    };
    place_online(&gw.board.borrow(), &query)
}

/// Sends to a worker, and logs what decided it and what came of it.
pub(crate) async fn send_to(
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
    let place = Place::take(gw, worker, Class::Online);
    let ticket = place.ticket().clone();
    let began = gw.now();
    let mut restarted = pin!(worker_restarted(gw, &ticket));
    let mut of_former_life = false;
    let mut answer = pin!(send(
        gw,
        Send {
            place,
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
            () = restarted.as_mut(), if !of_former_life => {
                of_former_life = true;
                due = due.min(Instant::now() + AFTER_RESTART);
            }
            () = sleep_until(due) => {
                if of_former_life || does_better_elsewhere(gw, req, worker) {
                    gw.board.borrow_mut().failed(&ticket, gw.now());
                    break Err(NoAnswer::Silent);
                }
                due = (Instant::now() + LOOK_AGAIN).min(req.deadline);
            }
        }
    };
    if let Err(e) = &outcome {
        warn!(target: "online", request:% = req.id, worker:% = worker, outcome:? = e, runs = req.runs; "no answer from worker");
    }
    if matches!(outcome, Err(NoAnswer::Unknown(_))) {
        crash::look(gw, req.cut(ticket.clone(), began)).await;
    }
    outcome
}

fn does_better_elsewhere(gw: &Gateway, req: &Request, worker: &WorkerName) -> bool {
    let query = Query {
        service: &req.service,
        avoid: &req.tried,
        patience: req.patience(),
        salt: gw.rng.borrow_mut().random(),
        now: gw.now(),
    };
    should_leave(&gw.board.borrow(), &query, worker)
}

fn log_choice(gw: &Gateway, req: &Request, worker: &WorkerName) {
    let board = gw.board.borrow();
    let Some(seat) = board.seat(worker) else {
        return;
    };
    let running = seat.running();
    let report_age = gw.members.borrow().oldest_report(gw.now());
    gw.metrics.report_age.observe(report_age.as_secs_f64());
    info!(
        target: "online",
        request:% = req.id,
        route:% = req.route.name,
        worker:% = worker,
        online = running.online,
        batch = running.batch,
        slots = seat.record.slots,
        tried = req.tried.len(),
        left_ms = millis(req.left()),
        version = gw.configuration().map_or(0, |c| c.version),
        report_age_ms = millis(report_age);
        "sent"
    );
}

/// Passes a worker's answer on, or hands the request back to be sent once
/// more.
async fn pass_on(
    gw: &Rc<Gateway>,
    mut req: Request,
    mut upstream: Upstream,
) -> Result<Response<Body>, Request> {
    let status = upstream.head.status;
    let failed = status.is_server_error();
    req.runs += 1;
    if failed {
        // Also where the request cannot be sent on: the next one would meet the
        // same worker, which looks emptiest as it fails at once.
        upstream.place.failed();
        if req.route.repeatable() && req.may_repeat() {
            return Err(req);
        }
    }
    if req.route.kind == RouteKind::Stream && status.is_success() {
        return Ok(stream(gw, req, upstream));
    }
    let body = tokio::time::timeout_at(req.deadline, upstream.body.whole(ANSWER_BYTES)).await;
    let Ok(Ok(body)) = body else {
        upstream.place.failed();
        if matches!(body, Ok(Err(_))) {
            let ticket = upstream.place.ticket().clone();
            crash::look(gw, req.cut(ticket, upstream.began)).await;
        }
        return Err(req);
    };
    if !failed {
        upstream.place.succeeded();
    }
    suspicion::ended_well(gw, || req.fingerprint());
    gw.metrics
        .request(if failed { "worker_failed" } else { "served" });
    info!(target: "online", request:% = req.id, worker:% = upstream.place.worker(), status = status.as_u16(); "answered");
    Ok(whole(&upstream.head, body))
}

fn whole(head: &http::response::Parts, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Body::full(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = ingress::end_to_end(&head.headers);
    answer.headers_mut().remove(header::CONTENT_LENGTH);
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

/// The final answer to a request that workers crash under.
fn hold_back(gw: &Gateway, req: &Request, until: Moment) -> Response<Body> {
    let mut answer = if req.runs == 0 {
        let after = until.since(gw.now());
        answers::come_back(StatusCode::SERVICE_UNAVAILABLE, suspicion::REASON, after)
    } else {
        answers::failure(StatusCode::BAD_GATEWAY, suspicion::REASON)
    };
    gw.metrics.request("held_back");
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

/// The final answer to a request that nothing more is tried for.
fn give_up(gw: &Gateway, req: &Request, reason: &str) -> Response<Body> {
    let held = millis(req.received.elapsed());
    let mut answer = if req.runs == 0 {
        gw.metrics.request("refused");
        let lasted = gw.overloads.borrow_mut().refused(&req.service, gw.now());
        let draw = gw.rng.borrow_mut().random_range(0.0..1.0);
        let after = return_after(lasted, req.left(), draw);
        answers::come_back(StatusCode::SERVICE_UNAVAILABLE, reason, after)
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

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
