//! Processing of an attempt: partial answers, ends, retries and in-doubt outcomes.

use crate::arrival::{begin_attempt, choose_again, not_run, send};
use crate::{Effect, Outcome, Phase, Request, Router};
use bluebellreel_types::{
    AttemptEnd, AttemptId, BrokenReason, Moment, NotRunReason, RequestId, WorkerName,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The request whose current attempt this is. An answer to an earlier attempt or to a
/// finished request has no recipient: accepting it would mix two answers or deliver one
/// to another caller.
pub(crate) fn current(router: &mut Router, attempt: AttemptId) -> Option<&mut Request> {
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
    // Time has passed since the worker was chosen: the write may take long if the
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
    let is_available = router
        .workers
        .get(&worker)
        .is_some_and(|w| w.incarnation == Some(incarnation) && !w.is_leaving());
    if is_available {
        send(router, id, worker, incarnation, now, effects);
    } else {
        retry(router, id, NotRunReason::NoWorker, now, rng, effects);
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

/// Drops a request whose idempotency key is already claimed by an earlier request;
/// nothing was sent.
pub(crate) fn claim_taken(router: &mut Router, attempt: AttemptId) {
    let claiming = current(router, attempt)
        .is_some_and(|request| matches!(request.phase, Phase::Claiming { .. }));
    if claiming {
        router.remove(attempt.request);
    }
}

pub(crate) fn part_arrived(
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

pub(crate) fn attempt_ended(
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
    router.note_ended(worker);
    note_health(router, worker, &end, now);
    apply_end(router, attempt.request, end, now, rng, effects);
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

/// Ends or retries a request whose attempt has ended.
pub(crate) fn apply_end(
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
            retry(router, id, reason, now, rng, effects);
        }
        AttemptEnd::NotRun(reason) => give_up(router, id, reason, now, effects),
        AttemptEnd::Broken { reason, .. } => {
            request.may_have_run = true;
            if request.work.repeatable {
                retry(router, id, NotRunReason::NoWorker, now, rng, effects);
            } else if reason == BrokenReason::SideLost {
                mark_in_doubt(request, now);
            } else {
                conclude(router, id, Outcome::Unknown, now, effects);
            }
        }
    }
}

/// Marks a request as in doubt after its side process was lost during a non-repeatable
/// attempt: only the same incarnation of the side process knows whether the call ran.
fn mark_in_doubt(request: &mut Request, now: Moment) {
    if let Phase::Running {
        worker,
        incarnation,
        ..
    } = request.phase.clone()
    {
        request.phase = Phase::InDoubt {
            worker,
            incarnation,
            next_query_at: now,
        };
    }
}

/// Starts another attempt at a different worker, or gives up.
fn retry(
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
    let exhausted = request.attempts >= router.limits.attempts || request.deadline.is_past(now);
    if exhausted {
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
    if !router.budget.withdraw() {
        give_up(router, id, reason, now, effects);
        return;
    }
    if let Some(request) = router.requests.get_mut(&id) {
        request.attempts += 1;
        request.phase = phase;
    }
    begin_attempt(router, id, now, effects);
}

/// Ends a request without an answer. "Not run" is only reported if no attempt can have
/// reached a backend server.
pub(crate) fn give_up(
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

/// Reports the outcome to the caller; the outcome of a claimed call is recorded first.
pub(crate) fn conclude(
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
    let until = now + router.limits.record_timeout;
    request.phase = Phase::Recording {
        outcome: outcome.clone(),
        until,
    };
    effects.push(Effect::RecordOutcome {
        request: id,
        outcome,
    });
}

pub(crate) fn finish(
    router: &mut Router,
    id: RequestId,
    outcome: Outcome,
    effects: &mut Vec<Effect>,
) {
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
