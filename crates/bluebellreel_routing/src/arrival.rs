//! Arrival of a request: limits, choice of a worker, first attempt.

use crate::{
    Choice, ChoiceQuery, ClaimIntent, Effect, NewRequest, Outcome, Phase, Request, Router, Worker,
    choose,
};
use bluebellreel_types::{Moment, NotRunReason, RequestId, WorkerName};
use rand::Rng;
use std::time::Duration;

/// Minimum pause that a refused caller is asked to wait before it retries.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

pub(crate) fn arrive(
    router: &mut Router,
    new: NewRequest,
    now: Moment,
    rng: &mut impl Rng,
    effects: &mut Vec<Effect>,
) {
    if router.requests.contains_key(&new.id) {
        return;
    }
    let chosen =
        refusal(router, &new, now).map_or_else(|| choose_worker(router, &new, &[], now, rng), Err);
    match chosen {
        Ok(phase) => {
            router.budget.deposit();
            let request = Request::new(new, phase);
            let id = request.id;
            router.insert(request);
            begin_attempt(router, id, now, effects);
        }
        Err(outcome) => effects.push(Effect::Finish {
            request: new.id,
            outcome,
            attempts: 0,
        }),
    }
}

/// The outcome of a request that is refused because of a limit.
fn refusal(router: &Router, new: &NewRequest, now: Moment) -> Option<Outcome> {
    let team = &new.work.team;
    let team_count = router.team_counts.get(team).copied().unwrap_or(0);
    let bytes = router.bytes + new.work.body.len();
    let outlasts_stop = router.ends_at.is_some_and(|end| new.deadline > end);
    let reason = if router.stopping || outlasts_stop {
        NotRunReason::Leaving
    } else if new.deadline.is_past(now) {
        NotRunReason::Expired
    } else if router.requests.len() >= router.limits.requests
        || bytes > router.limits.request_bytes
        || team_count >= router.team_limit(team)
    {
        NotRunReason::Overloaded
    } else {
        return None;
    };
    Some(not_run(reason, now))
}

pub(crate) fn not_run(reason: NotRunReason, now: Moment) -> Outcome {
    let retry_at = now + RETRY_PAUSE;
    Outcome::NotRun { reason, retry_at }
}

fn choose_worker(
    router: &Router,
    new: &NewRequest,
    avoid: &[WorkerName],
    now: Moment,
    rng: &mut impl Rng,
) -> Result<Phase, Outcome> {
    let query = ChoiceQuery {
        work: &new.work,
        deadline: new.deadline,
        avoid,
        local: &router.data_centre,
        now,
    };
    match choose(router.workers.values(), query, &router.limits, rng) {
        Choice::Worker(name) => Ok(first_phase(
            &router.workers[&name],
            new.work.repeatable,
            now,
        )),
        Choice::NoWorker => Err(not_run(NotRunReason::NoWorker, now)),
        Choice::TooLate(soonest) => {
            let wait = soonest.since(new.deadline).max(RETRY_PAUSE);
            Err(Outcome::NotRun {
                reason: NotRunReason::TooLate,
                retry_at: now + wait,
            })
        }
    }
}

/// A call that is not repeatable is claimed before it is sent, so that a retry through
/// another entry daemon, at the same moment or after a crash, cannot run it a second
/// time.
fn first_phase(worker: &Worker, repeatable: bool, now: Moment) -> Phase {
    let incarnation = worker.incarnation.expect("a chosen worker is connected");
    let worker = worker.name.clone();
    if repeatable {
        Phase::Running {
            worker,
            incarnation,
            sent_at: now,
        }
    } else {
        Phase::Claiming {
            worker,
            incarnation,
        }
    }
}

/// Starts the attempt described by the request's phase.
pub(crate) fn begin_attempt(
    router: &mut Router,
    id: RequestId,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    match request.phase.clone() {
        Phase::Claiming {
            worker,
            incarnation,
        } => effects.push(Effect::Claim(ClaimIntent {
            request: id,
            attempt: request.attempt(),
            worker,
            incarnation,
        })),
        Phase::Running {
            worker,
            incarnation,
            ..
        } => send(router, id, worker, incarnation, now, effects),
        Phase::InDoubt { .. } | Phase::Recording { .. } => {}
    }
}

pub(crate) fn send(
    router: &mut Router,
    id: RequestId,
    worker: WorkerName,
    incarnation: bluebellreel_types::Incarnation,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = router.requests.get_mut(&id) else {
        return;
    };
    request.phase = Phase::Running {
        worker: worker.clone(),
        incarnation,
        sent_at: now,
    };
    let dispatch = request.dispatch(incarnation);
    let tokens = request.work.tokens;
    router.note_sent(&worker, tokens);
    effects.push(Effect::Dispatch { worker, dispatch });
}

/// Chooses a worker for another attempt; returns the phase to enter, or the outcome if
/// no worker can be chosen.
pub(crate) fn choose_again(
    router: &Router,
    request: &Request,
    now: Moment,
    rng: &mut impl Rng,
) -> Result<Phase, Outcome> {
    let new = NewRequest {
        id: request.id,
        work: request.work.clone(),
        deadline: request.deadline,
        trace: request.trace,
    };
    choose_worker(router, &new, &request.avoid, now, rng)
}
