//! Scheduling of the items of all jobs that a daemon owns.

use crate::{ItemLease, OwnedJob, TeamShares};
use bluebellreel_types::{
    AttemptEnd, AttemptId, Incarnation, JobId, ModelName, Moment, RequestId, TeamName, WorkerName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Limits over all owned jobs.
#[derive(Clone, Debug)]
pub struct SchedulerLimits {
    /// Maximum total size of unrecorded results. Beyond it no items are leased,
    /// so that memory stays bounded during an outage of the key-value service.
    pub unrecorded_bytes: usize,
    /// Maximum number of items leased per pull.
    pub max_pull_items: usize,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            unrecorded_bytes: 32 << 20,
            max_pull_items: 64,
        }
    }
}

/// Items of one job, leased together.
#[derive(Clone, Debug)]
pub struct JobLeases {
    /// The job.
    pub job: JobId,
    /// The leased items.
    pub leases: Vec<ItemLease>,
}

/// The owned jobs and the usage of their teams.
#[derive(Clone, Debug, Default)]
pub struct JobScheduler {
    /// The owned jobs, by id.
    pub jobs: BTreeMap<JobId, OwnedJob>,
    limits: SchedulerLimits,
    shares: TeamShares,
    job_by_request: HashMap<RequestId, JobId>,
}

impl JobScheduler {
    /// A scheduler without jobs.
    #[must_use]
    pub fn new(limits: SchedulerLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Number of items that wait for one of these models.
    #[must_use]
    pub fn waiting(&self, models: &BTreeSet<ModelName>) -> u32 {
        self.jobs
            .values()
            .filter(|job| models.contains(job.record.target.model()))
            .map(OwnedJob::waiting)
            .fold(0, u32::saturating_add)
    }

    /// The models of jobs with waiting items.
    #[must_use]
    pub fn waiting_models(&self) -> BTreeSet<ModelName> {
        let waiting = self.jobs.values().filter(|job| job.waiting() > 0);
        waiting
            .map(|job| job.record.target.model().clone())
            .collect()
    }

    /// The workers that hold leases.
    #[must_use]
    pub fn holders(&self) -> BTreeSet<WorkerName> {
        let holders = self.jobs.values().flat_map(OwnedJob::holders);
        holders.cloned().collect()
    }

    /// Total size of the results not yet recorded.
    #[must_use]
    pub fn unrecorded_bytes(&self) -> usize {
        self.jobs.values().map(OwnedJob::unrecorded_bytes).sum()
    }

    /// Leases items to a worker that pulls.
    ///
    /// The team that was served least goes first, and within a team the job with
    /// the earliest deadline. For a job close to its deadline, the tokens served
    /// to its team are divided by the job's urgency.
    pub fn pull(
        &mut self,
        room: usize,
        worker: &WorkerName,
        incarnation: Incarnation,
        models: &BTreeSet<ModelName>,
        now: Moment,
    ) -> Vec<JobLeases> {
        let mut leased_jobs = Vec::new();
        if self.unrecorded_bytes() >= self.limits.unrecorded_bytes {
            return leased_jobs;
        }
        let mut remaining = room.min(self.limits.max_pull_items);
        let mut exhausted = BTreeSet::new();
        let mut held = self.held_by(worker);
        while remaining > 0 {
            let Some(id) = self.next_job(models, &exhausted, now) else {
                break;
            };
            // Lease a quarter of the remaining room at a time, so that one pull serves
            // several teams.
            let share = remaining.div_ceil(4);
            let Some(job) = self.jobs.get_mut(&id) else {
                break;
            };
            let leases = job.lease_items(share, worker, incarnation, held, now);
            if leases.is_empty() {
                exhausted.insert(id);
                continue;
            }
            remaining = remaining.saturating_sub(leases.len());
            held += leases.len();
            let tokens = leases.iter().map(|lease| lease.work.tokens).sum();
            let team = job.record.team.clone();
            self.shares.add(&team, tokens, now);
            for lease in &leases {
                self.job_by_request
                    .insert(lease.attempt.request, id.clone());
            }
            leased_jobs.push(JobLeases { job: id, leases });
        }
        leased_jobs
    }

    fn held_by(&self, worker: &WorkerName) -> usize {
        self.jobs.values().map(|job| job.held_by(worker)).sum()
    }

    fn next_job(
        &self,
        models: &BTreeSet<ModelName>,
        exhausted: &BTreeSet<JobId>,
        now: Moment,
    ) -> Option<JobId> {
        let mut best: Option<(f64, Moment, &JobId)> = None;
        for (id, job) in &self.jobs {
            let ready = job.waiting() > 0 && models.contains(job.record.target.model());
            if !ready || exhausted.contains(id) {
                continue;
            }
            let weighted_usage = self.weighted_usage(&job.record.team, job, now);
            let rank = (weighted_usage, job.record.deadline, id);
            if best.is_none_or(|known| rank < known) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    fn weighted_usage(&self, team: &TeamName, job: &OwnedJob, now: Moment) -> f64 {
        self.shares.served(team, now) / f64::from(urgency(job, now))
    }

    /// Records how an attempt ended.
    pub fn report(&mut self, attempt: AttemptId, end: AttemptEnd, now: Moment) {
        let Some(id) = self.job_by_request.remove(&attempt.request) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.report(attempt, end, now);
        }
    }

    /// Removes the totals of idle teams and the requests that are no longer
    /// leased.
    pub fn remove_stale_entries(&mut self, now: Moment) {
        self.shares.remove_idle(now);
        let jobs = &self.jobs;
        self.job_by_request
            .retain(|request, id| jobs.get(id).is_some_and(|job| job.holds(*request)));
    }
}

/// Weight of a job: 4 if less than a tenth of its time is left, 2 if less than a
/// quarter, otherwise 1.
fn urgency(job: &OwnedJob, now: Moment) -> u32 {
    let whole = job.record.deadline.since(job.record.accepted_at);
    let remaining = job.record.deadline.since(now);
    if remaining * 10 < whole {
        4
    } else if remaining * 4 < whole {
        2
    } else {
        1
    }
}
