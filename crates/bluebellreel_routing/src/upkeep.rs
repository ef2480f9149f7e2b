//! What comes to requests from outside their attempts: lost workers, verdicts,
//! deadlines, callers that go away.

use crate::arrival::not_run;
use crate::attempt::{conclude, current, ended, finish, give_up, settle};
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

pub(crate) fn is_due(request: &Request, now: Moment) -> bool {
    match &request.phase {
        Phase::Claiming { .. } => false,
        Phase::Running { .. } => request.deadline.is_past(now),
        Phase::InDoubt { ask_at, .. } => ask_at.is_past(now) || request.deadline.is_past(now),
        Phase::Recording { until, .. } => until.is_past(now),
    }
}

pub(crate) fn run_due(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
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
pub(crate) fn expire(router: &mut Router, id: RequestId, now: Moment, effects: &mut Vec<Effect>) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    request.may_have_run = true;
    give_up(router, id, NotRunReason::Expired, now, effects);
}

pub(crate) fn ask(
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
