//! Events of a request other than those of its attempts: lost workers, verdicts,
//! deadlines and disconnected callers.

use crate::arrival::not_run;
use crate::attempt::{apply_end, attempt_ended, conclude, current, finish, give_up};
use crate::{Effect, Outcome, Phase, Request, Router};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Moment, NotRunReason, RequestId,
    WorkerName,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two queries about an attempt in doubt.
const VERDICT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Handles the loss of a worker's connection, which interrupts its attempts.
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
        attempt_ended(router, lost, attempt, end, now, rng, effects);
    }
    if let Some(worker) = router.workers.get_mut(lost) {
        worker.in_flight = 0;
        worker.health.eject(now);
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

pub(crate) fn is_due(request: &Request, now: Moment) -> bool {
    match &request.phase {
        Phase::Claiming { .. } => false,
        Phase::Running { .. } => request.deadline.is_past(now),
        Phase::InDoubt { next_query_at, .. } => {
            next_query_at.is_past(now) || request.deadline.is_past(now)
        }
        Phase::Recording { until, .. } => until.is_past(now),
    }
}

pub(crate) fn run_due(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    let attempt = request.attempt();
    let expired = request.deadline.is_past(now);
    match request.phase.clone() {
        Phase::Running { worker, .. } => {
            router.note_ended(&worker);
            effects.push(Effect::Cancel { worker, attempt });
            expire(router, id, now, effects);
        }
        Phase::InDoubt { .. } if expired => conclude(router, id, Outcome::Unknown, now, effects),
        Phase::InDoubt {
            worker,
            incarnation,
            ..
        } => {
            request.phase = Phase::InDoubt {
                worker: worker.clone(),
                incarnation,
                next_query_at: now + VERDICT_RETRY_INTERVAL,
            };
            request_verdict(router, id, worker, incarnation, now, effects);
        }
        Phase::Recording { outcome, .. } => finish(router, id, outcome, effects),
        Phase::Claiming { .. } => {}
    }
}

/// Ends a request whose deadline passed during an attempt: the attempt may have run.
pub(crate) fn expire(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    request.may_have_run = true;
    give_up(router, id, NotRunReason::Expired, now, effects);
}

pub(crate) fn request_verdict(
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
        // Another incarnation of the side process has no record of the calls of
        // the previous one: whether this call ran can no longer be determined.
        Some(_) => conclude(router, id, Outcome::Unknown, now, effects),
        None => {}
    }
}

pub(crate) fn verdict_arrived(
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
        // The side process will refuse the attempt from now on, so "not run" is certain.
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
            apply_end(router, attempt.request, end, now, rng, effects);
        }
    }
}

pub(crate) fn caller_gone(router: &mut Router, id: RequestId, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get(&id) else {
        return;
    };
    // A call that is not repeatable continues until its outcome is recorded: the caller
    // can read it later.
    if !request.work.repeatable {
        return;
    }
    let attempt = request.attempt();
    if let Phase::Running { worker, .. } = request.phase.clone() {
        router.note_ended(&worker);
        effects.push(Effect::Cancel { worker, attempt });
    }
    router.remove(id);
}
