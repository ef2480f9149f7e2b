//! The course of an attempt: parts, ends, retries and doubt.

use crate::arrival::{begin_attempt, choose_again, not_run, send};
use crate::{Effect, Outcome, Phase, Request, Router};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Moment, NotRunReason, RequestId,
    WorkerName,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two questions about an attempt in doubt.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// The request whose present attempt this is. An answer to an earlier attempt,
/// or to a request that is over, belongs to nobody: taking it would mix two
/// answers or hand one to another caller.
fn current(router: &mut Router, attempt: AttemptId) -> Option<&mut Request> {
    let request = router.requests.get_mut(&attempt.request)?;
    (request.attempt() == attempt).then_some(request)
}

pub(crate) fn claim_recorded(
    router: &mut Router,
    attempt: AttemptId,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = current(router, attempt) else {
        return;
    };
    let Phase::Claiming {
        worker,
        incarnation,
    } = request.phase.clone()
    else {
        return;
    };
    let id = request.id;
    // Time has passed since the choice: a write may take long when the
    // key-value service is slow or this process was paused.
    if request.deadline.is_past(now) {
        conclude(
            router,
            id,
            not_run(NotRunReason::Expired, now),
            now,
            effects,
        );
        return;
    }
    let still_there = router
        .workers
        .get(&worker)
        .is_some_and(|w| w.incarnation == Some(incarnation) && !w.is_leaving());
    if still_there {
        send(router, id, worker, incarnation, now, effects);
    } else {
        try_again(router, id, NotRunReason::NoWorker, now, rng, effects);
    }
}

pub(crate) fn claim_failed(
    router: &mut Router,
    attempt: AttemptId,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = current(router, attempt) else {
        return;
    };
    if matches!(request.phase, Phase::Claiming { .. }) {
        let id = request.id;
        let outcome = not_run(NotRunReason::ClaimUnavailable, now);
        finish(router, id, outcome, effects);
    }
}

/// Drops a request whose key belongs to an earlier one; nothing was sent.
pub(crate) fn claim_taken(router: &mut Router, attempt: AttemptId) {
    let claiming = current(router, attempt)
        .is_some_and(|request| matches!(request.phase, Phase::Claiming { .. }));
    if claiming {
        router.remove(attempt.request);
    }
}

pub(crate) fn part(
    router: &mut Router,
    attempt: AttemptId,
    text: Arc<str>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = current(router, attempt) else {
        return;
    };
    let Phase::Running {
        worker, sent_at, ..
    } = &request.phase
    else {
        return;
    };
    let first = !request.may_have_run;
    let (worker, waited) = (worker.clone(), now.since(*sent_at));
    request.may_have_run = true;
    request.delivered.push_str(&text);
    let request = request.id;
    effects.push(Effect::Deliver { request, text });
    if first {
        note_first_token(router, &worker, waited, now);
    }
}

fn note_first_token(router: &mut Router, worker: &WorkerName, waited: Duration, now: Moment) {
    let typical = router.typical_first_token(worker);
    let micros = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
    if let Some(worker) = router.workers.get_mut(worker) {
        worker.health.note_first_token(micros, typical, now);
    }
}

pub(crate) fn ended(
    router: &mut Router,
    worker: &WorkerName,
    attempt: AttemptId,
    end: AttemptEnd,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = current(router, attempt) else {
        return;
    };
    let Phase::Running { worker: at, .. } = &request.phase else {
        return;
    };
    if at != worker {
        return;
    }
    router.note_over(worker);
    note_health(router, worker, &end, now);
    settle(router, attempt.request, end, now, rng, effects);
}

fn note_health(router: &mut Router, worker: &WorkerName, end: &AttemptEnd, now: Moment) {
    match end {
        AttemptEnd::Completed { .. } | AttemptEnd::Rejected { .. } => {
            if let Some(worker) = router.workers.get_mut(worker) {
                worker.health.note_success();
            }
        }
        AttemptEnd::NotRun(NotRunReason::Unreachable)
        | AttemptEnd::Broken {
            reason: BrokenReason::EngineLost | BrokenReason::SideLost,
            ..
        } => router.note_failure(worker, now),
        AttemptEnd::NotRun(_) | AttemptEnd::Broken { .. } => {}
    }
}

/// Decides what an attempt's end means for its request.
fn settle(
    router: &mut Router,
    id: RequestId,
    end: AttemptEnd,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    match end {
        AttemptEnd::Completed {
            status,
            body,
            tokens,
        } => {
            let outcome = Outcome::Completed {
                status,
                body,
                tokens,
            };
            conclude(router, id, outcome, now, effects);
        }
        AttemptEnd::Rejected { status, message } => {
            let outcome = Outcome::Rejected { status, message };
            conclude(router, id, outcome, now, effects);
        }
        AttemptEnd::NotRun(reason) if !reason.is_certain() && !request.work.repeatable => {
            conclude(router, id, Outcome::Unknown, now, effects);
        }
        AttemptEnd::NotRun(reason) if reason.is_worth_retry() => {
            try_again(router, id, reason, now, rng, effects);
        }
        AttemptEnd::NotRun(reason) => give_up(router, id, reason, now, effects),
        AttemptEnd::Broken { reason, .. } => {
            request.may_have_run = true;
            if request.work.repeatable {
                try_again(router, id, NotRunReason::NoWorker, now, rng, effects);
            } else if reason == BrokenReason::SideLost {
                doubt(request, now);
            } else {
                conclude(router, id, Outcome::Unknown, now, effects);
            }
        }
    }
}

/// The side process was lost with an unrepeatable attempt: only the same run
/// of it can tell whether the call ran.
fn doubt(request: &mut Request, now: Moment) {
    if let Phase::Running {
        worker,
        incarnation,
        ..
    } = request.phase.clone()
    {
        request.phase = Phase::InDoubt {
            worker,
            incarnation,
            ask_at: now,
        };
    }
}

/// Begins one more attempt elsewhere, or gives up.
fn try_again(
    router: &mut Router,
    id: RequestId,
    reason: NotRunReason,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    if let Phase::Running { worker, .. } | Phase::Claiming { worker, .. } = &request.phase {
        let worker = worker.clone();
        request.avoid.push(worker);
    }
    let spent = request.attempts >= router.limits.attempts || request.deadline.is_past(now);
    if spent {
        give_up(router, id, reason, now, effects);
        return;
    }
    let request = &router.requests[&id];
    let phase = match choose_again(router, request, now, rng) {
        Ok(phase) => phase,
        Err(Outcome::NotRun { reason, .. }) => {
            give_up(router, id, reason, now, effects);
            return;
        }
        Err(outcome) => {
            conclude(router, id, outcome, now, effects);
            return;
        }
    };
    if !router.budget.spend() {
        give_up(router, id, reason, now, effects);
        return;
    }
    if let Some(request) = router.requests.get_mut(&id) {
        request.attempts += 1;
        request.phase = phase;
    }
    begin_attempt(router, id, now, effects);
}

/// Ends a request without an answer. "Not run" is only said when no attempt
/// can have reached a backend server.
fn give_up(
    router: &mut Router,
    id: RequestId,
    reason: NotRunReason,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get(&id) else {
        return;
    };
    let outcome = if !request.may_have_run {
        not_run(reason, now)
    } else if request.work.repeatable {
        let message = Arc::from(reason.to_string());
        Outcome::Failed { message }
    } else {
        Outcome::Unknown
    };
    conclude(router, id, outcome, now, effects);
}

/// Tells the caller, after the outcome of a claimed call has been recorded.
fn conclude(
    router: &mut Router,
    id: RequestId,
    outcome: Outcome,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    if request.work.repeatable {
        finish(router, id, outcome, effects);
        return;
    }
    let until = now + router.limits.record_wait;
    request.phase = Phase::Recording {
        outcome: outcome.clone(),
        until,
    };
    effects.push(Effect::RecordOutcome {
        request: id,
        outcome,
    });
}

fn finish(router: &mut Router, id: RequestId, outcome: Outcome, effects: &mut Vec<Effect>) {
    if let Some(request) = router.remove(id) {
        effects.push(Effect::Finish {
            request: id,
            outcome,
            attempts: request.attempts,
        });
    }
}

pub(crate) fn outcome_recorded(router: &mut Router, id: RequestId, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get(&id) else {
        return;
    };
    if let Phase::Recording { outcome, .. } = request.phase.clone() {
        finish(router, id, outcome, effects);
    }
}

pub(crate) fn verdict(
    router: &mut Router,
    attempt: AttemptId,
    verdict: AttemptVerdict,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = current(router, attempt) else {
        return;
    };
    let Phase::InDoubt { .. } = request.phase else {
        return;
    };
    match verdict {
        // Refused from now on: "not run" has become true.
        AttemptVerdict::NeverSeen => {
            request.may_have_run = false;
            let outcome = not_run(NotRunReason::Unreachable, now);
            conclude(router, attempt.request, outcome, now, effects);
        }
        AttemptVerdict::Running => {}
        AttemptVerdict::Ended(AttemptEnd::Broken { .. }) => {
            conclude(router, attempt.request, Outcome::Unknown, now, effects);
        }
        AttemptVerdict::Ended(end) => {
            request.may_have_run = !matches!(end, AttemptEnd::NotRun(_));
            settle(router, attempt.request, end, now, rng, effects);
        }
    }
}

pub(crate) fn caller_gone(router: &mut Router, id: RequestId, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get(&id) else {
        return;
    };
    // A call that may not be repeated goes on to its recorded outcome: the
    // caller will come back and read it.
    if !request.work.repeatable {
        return;
    }
    let attempt = request.attempt();
    if let Phase::Running { worker, .. } = request.phase.clone() {
        router.note_over(&worker);
        effects.push(Effect::Cancel { worker, attempt });
    }
    router.remove(id);
}

/// A worker's connection is gone: its attempts broke.
pub(crate) fn worker_lost(
    router: &mut Router,
    lost: &WorkerName,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    let Some(worker) = router.workers.get_mut(lost) else {
        return;
    };
    if worker.incarnation.take().is_none() {
        return;
    }
    let mut broken: Vec<AttemptId> = router
        .requests
        .values()
        .filter(|r| matches!(&r.phase, Phase::Running { worker, .. } if worker == lost))
        .map(Request::attempt)
        .collect();
    broken.sort_unstable();
    for attempt in broken {
        let end = AttemptEnd::Broken {
            reason: BrokenReason::SideLost,
            partial: Arc::from(""),
        };
        ended(router, lost, attempt, end, now, rng, effects);
    }
    if let Some(worker) = router.workers.get_mut(lost) {
        worker.in_flight = 0;
        worker.health.set_aside(now);
    }
}

pub(crate) fn tick(router: &mut Router, now: Moment, effects: &mut Vec<Effect>) {
    let mut due: Vec<RequestId> = router
        .requests
        .values()
        .filter(|r| is_due(r, now))
        .map(|r| r.id)
        .collect();
    due.sort_unstable();
    for id in due {
        run_due(router, id, now, effects);
    }
}

fn is_due(request: &Request, now: Moment) -> bool {
    match &request.phase {
        Phase::Claiming { .. } => false,
        Phase::Running { .. } => request.deadline.is_past(now),
        Phase::InDoubt { ask_at, .. } => ask_at.is_past(now) || request.deadline.is_past(now),
        Phase::Recording { until, .. } => until.is_past(now),
    }
}

fn run_due(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    let attempt = request.attempt();
    let late = request.deadline.is_past(now);
    match request.phase.clone() {
        Phase::Running { worker, .. } => {
            router.note_over(&worker);
            effects.push(Effect::Cancel { worker, attempt });
            expire(router, id, now, effects);
        }
        Phase::InDoubt { .. } if late => conclude(router, id, Outcome::Unknown, now, effects),
        Phase::InDoubt {
            worker,
            incarnation,
            ..
        } => {
            request.phase = Phase::InDoubt {
                worker: worker.clone(),
                incarnation,
                ask_at: now + ASK_PAUSE,
            };
            ask(router, id, worker, incarnation, now, effects);
        }
        Phase::Recording { outcome, .. } => finish(router, id, outcome, effects),
        Phase::Claiming { .. } => {}
    }
}

/// The deadline passed with an attempt out: it may have run.
fn expire(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    request.may_have_run = true;
    give_up(router, id, NotRunReason::Expired, now, effects);
}

fn ask(
    router: &mut Router,
    id: RequestId,
    worker: WorkerName,
    incarnation: bluebellreel_types::Incarnation,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let attempt = router.requests[&id].attempt();
    match router.workers.get(&worker).and_then(|w| w.incarnation) {
        Some(present) if present == incarnation => {
            effects.push(Effect::Cancel { worker, attempt });
        }
        // Another run of the side process knows nothing of its predecessor's
        // calls: whether this one ran cannot be told any more.
        Some(_) => conclude(router, id, Outcome::Unknown, now, effects),
        None => {}
    }
}
