//! Jobs that their teams end during a simulation.

use super::{Simulation, worker_index};
use crate::BatchTeam;
use bluebellreel_admission as admission;
use bluebellreel_types::{Class, Dispatch};

impl Simulation<'_> {
    /// The job's owner receives the job's end: it withdraws the leased items and leases
    /// no more.
    pub(super) fn receive_job_end(&mut self, index: usize) {
        for (worker, attempts) in self.jobs.end(&self.scenario.teams[index]) {
            let withdrawn = admission::Event::Withdrawn(attempts);
            self.admit(worker_index(&worker), withdrawn);
        }
    }

    /// Counts an item that starts after the end of its job was acknowledged.
    pub(super) fn count_late_start(&mut self, dispatch: &Dispatch) {
        if dispatch.class != Class::Batch {
            return;
        }
        let job = dispatch.work.key.split('/').next().unwrap_or("");
        let mut teams = self.scenario.teams.iter();
        let team = teams.find(|t| t.job() == job);
        let Some(ended_at) = team.and_then(BatchTeam::ended_at) else {
            return;
        };
        if ended_at.is_past(self.now) {
            let batch = &mut self.outcome.batch;
            batch.started_late += 1;
            let late_ms = self.now.since(ended_at).as_secs_f64() * 1_000.0;
            batch.latest_start_ms = batch.latest_start_ms.max(late_ms);
        }
    }
}
