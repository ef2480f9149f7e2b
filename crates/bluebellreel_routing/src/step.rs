//! The router as a function from one event to its effects.

use crate::{Effect, Event, Health, Router, Worker, arrival, attempt, lifecycle};
use bluebellreel_types::{Moment, SideHello};
use rand::Rng;

/// Applies one event and returns the resulting effects.
#[must_use]
pub fn step(router: &mut Router, event: Event, now: Moment, rng: &mut impl Rng) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Arrived(new) => arrival::arrive(router, new, now, rng, &mut effects),
        Event::ClaimRecorded(id) => attempt::claim_recorded(router, id, now, rng, &mut effects),
        Event::ClaimFailed(id) => attempt::claim_failed(router, id, now, &mut effects),
        Event::ClaimTaken(id) => attempt::claim_taken(router, id),
        Event::OutcomeRecorded(id) => attempt::outcome_recorded(router, id, &mut effects),
        Event::CallerGone(id) => lifecycle::caller_gone(router, id, &mut effects),
        Event::PartArrived { attempt, text } => {
            attempt::part_arrived(router, attempt, text, now, &mut effects);
        }
        Event::AttemptEnded {
            worker,
            attempt,
            end,
            load,
        } => {
            if let (Some(load), Some(worker)) = (load, router.workers.get_mut(&worker)) {
                worker.note_load(load, now);
            }
            attempt::attempt_ended(router, &worker, attempt, end, now, rng, &mut effects);
        }
        Event::VerdictArrived { attempt, verdict } => {
            lifecycle::verdict_arrived(router, attempt, verdict, now, rng, &mut effects);
        }
        Event::WorkerListed {
            worker,
            data_centre,
            leaving,
        } => {
            router
                .workers
                .entry(worker.clone())
                .or_insert_with(|| Worker::new(worker, data_centre))
                .ordered_leaving = leaving;
        }
        Event::WorkerUnlisted(worker) => {
            lifecycle::worker_lost(router, &worker, now, rng, &mut effects);
            router.workers.remove(&worker);
        }
        Event::WorkerConnected(hello) => connect(router, hello, now),
        Event::WorkerLost(worker) => {
            lifecycle::worker_lost(router, &worker, now, rng, &mut effects);
        }
        Event::LoadArrived { worker, load } => {
            if let Some(worker) = router.workers.get_mut(&worker) {
                worker.note_load(load, now);
            }
        }
        Event::Ticked => lifecycle::tick(router, now, &mut effects),
    }
    effects
}

fn connect(router: &mut Router, hello: SideHello, now: Moment) {
    let worker = router
        .workers
        .entry(hello.worker.clone())
        .or_insert_with(|| Worker::new(hello.worker, hello.data_centre.clone()));
    if worker.incarnation != Some(hello.incarnation) {
        worker.in_flight = 0;
    }
    // The previous incarnation left as planned, which is no sign of a fault in the new
    // one.
    if worker.side_leaving {
        worker.health = Health::default();
    }
    worker.data_centre = hello.data_centre;
    worker.incarnation = Some(hello.incarnation);
    worker.models = hello.models.into_iter().collect();
    worker.side_leaving = false;
    worker.tokens_since_report = 0;
    worker.load_at = now;
}
