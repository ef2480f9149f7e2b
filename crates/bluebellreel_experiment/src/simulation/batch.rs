//! Batch work of a simulation.

use super::{FIRST_COME_DEPTH, Simulation, entry, worker_name};
use crate::Mode;
use bluebellreel_admission as admission;
use bluebellreel_job::ItemLease;
use bluebellreel_types::{
    AttemptEnd, AttemptId, BrokenReason, Class, Dispatch, EntryName, Incarnation, TraceContext,
};

impl Simulation<'_> {
    pub(super) fn record_report(&mut self, end: &AttemptEnd, attempt: AttemptId) {
        if let AttemptEnd::Broken { reason, partial } = end {
            if *reason == BrokenReason::Preempted {
                self.outcome.batch.preemptions += 1;
            } else {
                let lost = partial.split_whitespace().count() as u64;
                self.batch_wasted += lost;
            }
        }
        self.jobs.scheduler.report(attempt, end.clone(), self.now);
    }

    pub(super) fn pull(&mut self, index: usize, entry: EntryName, room: u32) {
        let incarnation = self.sides[index].admission.incarnation;
        let leased_jobs = self.jobs.scheduler.pull(
            room as usize,
            &worker_name(index),
            incarnation,
            &self.models,
            self.now,
        );
        self.jobs.poll(self.now);
        let mut items = Vec::new();
        for handout in leased_jobs {
            let team = self.jobs.scheduler.jobs[&handout.job]
                .record
                .team
                .to_string();
            for lease in handout.leases {
                if self.all_teams_have_work() {
                    let served = self.outcome.batch.served.entry(team.clone()).or_default();
                    *served += u64::from(lease.work.tokens);
                }
                items.push(dispatch_of(lease, incarnation));
            }
        }
        self.admit(index, admission::Event::Pulled { entry, items });
    }

    pub(super) fn all_teams_have_work(&self) -> bool {
        let with_work = self
            .jobs
            .scheduler
            .jobs
            .values()
            .filter(|j| j.waiting() > 0);
        with_work.count() == self.scenario.teams.len()
    }

    /// Offers batch work to all side processes, or fills the engines directly in
    /// first-come mode.
    pub(super) fn offer_batch(&mut self) {
        let waiting = self.jobs.scheduler.waiting(&self.models);
        for index in 0..self.sides.len() {
            if self.mode == Mode::FirstCome {
                self.fill_engine(index);
            } else {
                let entry = entry();
                self.admit(index, admission::Event::Offered { entry, waiting });
            }
        }
    }

    pub(super) fn fill_engine(&mut self, index: usize) {
        if self.sides[index].engine.dead {
            return;
        }
        let room = FIRST_COME_DEPTH.saturating_sub(self.sides[index].engine.load());
        let incarnation = self.sides[index].admission.incarnation;
        let worker = worker_name(index);
        let scheduler = &mut self.jobs.scheduler;
        let leased_jobs = scheduler.pull(room, &worker, incarnation, &self.models, self.now);
        let leases = leased_jobs.into_iter().flat_map(|handout| handout.leases);
        for lease in leases.collect::<Vec<_>>() {
            let attempt = lease.attempt;
            let dispatch = Box::new(dispatch_of(lease, incarnation));
            self.start(index, &dispatch);
            self.track(index, attempt, dispatch);
        }
    }

    pub(super) fn is_poison(&self, dispatch: &Dispatch) -> bool {
        let every = self.scenario.poison_every;
        if every == 0 {
            return false;
        }
        let key = dispatch.work.key.rsplit('n').next();
        let number: u32 = key.and_then(|k| k.parse().ok()).unwrap_or(1);
        number % every == every - 1
    }
}

/// The message that sends a leased item to a side process.
fn dispatch_of(lease: ItemLease, side: Incarnation) -> Dispatch {
    Dispatch {
        attempt: lease.attempt,
        side,
        class: Class::Batch,
        work: lease.work,
        deadline: lease.deadline,
        resume: lease.resume,
        trace: TraceContext {
            trace: 1,
            parent: 1,
        },
    }
}
