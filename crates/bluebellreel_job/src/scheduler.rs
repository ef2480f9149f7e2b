//! All jobs that a daemon owns, and whose items go out next.

use crate::{ItemLease, OwnedJob, TeamShares};
use bluebellreel_types::{
    AttemptEnd, AttemptId, Incarnation, JobId, ModelName, Moment, RequestId, TeamName, WorkerName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Bounds over all owned jobs.
#[derive(Clone, Debug)]
pub struct SchedulerLimits {
    /// Bytes of results that may wait to be recorded; past it no item goes
    /// out, so that an outage of the key-value service fills no memory.
    pub unrecorded_bytes: usize,
    /// Items that one pull hands out at the most.
    pub pull: usize,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            unrecorded_bytes: 32 << 20,
            pull: 64,
        }
    }
}

/// One job's items handed out together.
#[derive(Clone, Debug)]
pub struct JobLeases {
    /// The job.
    pub job: JobId,
    /// The items.
    pub leases: Vec<ItemLease>,
}

/// The owned jobs.
#[derive(Clone, Debug, Default)]
pub struct JobScheduler {
    /// By id.
    pub jobs: BTreeMap<JobId, OwnedJob>,
    limits: SchedulerLimits,
    shares: TeamShares,
    holder_of: HashMap<RequestId, JobId>,
}

impl JobScheduler {
    /// An empty board.
    #[must_use]
    pub fn new(limits: SchedulerLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Items that wait for one of these models.
    #[must_use]
    pub fn waiting(&self, models: &BTreeSet<ModelName>) -> u32 {
        self.jobs
            .values()
            .filter(|job| models.contains(job.record.target.model()))
            .map(OwnedJob::waiting)
            .fold(0, u32::saturating_add)
    }

    /// Models that items wait for.
    #[must_use]
    pub fn waiting_models(&self) -> BTreeSet<ModelName> {
        let waiting = self.jobs.values().filter(|job| job.waiting() > 0);
        waiting
            .map(|job| job.record.target.model().clone())
            .collect()
    }

    /// Workers that hold items.
    #[must_use]
    pub fn holders(&self) -> BTreeSet<WorkerName> {
        let holders = self.jobs.values().flat_map(OwnedJob::holders);
        holders.cloned().collect()
    }

    /// Bytes of results that wait to be recorded.
    #[must_use]
    pub fn unrecorded_bytes(&self) -> usize {
        self.jobs.values().map(OwnedJob::unrecorded_bytes).sum()
    }

    /// Hands out items to a worker that pulls.
    ///
    /// The team that was served least goes first, and within it the job that
    /// is due first. A job whose time runs short counts its team's account for
    /// less.
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
        let mut left = room.min(self.limits.pull);
        let mut exhausted = BTreeSet::new();
        let mut held = self.held_by(worker);
        while left > 0 {
            let Some(id) = self.next_job(models, &exhausted, now) else {
                break;
            };
            // One share at a time, so that several teams meet in one pull.
            let share = left.div_ceil(4);
            let Some(job) = self.jobs.get_mut(&id) else {
                break;
            };
            let leases = job.take(share, worker, incarnation, held, now);
            if leases.is_empty() {
                exhausted.insert(id);
                continue;
            }
            left = left.saturating_sub(leases.len());
            held += leases.len();
            let tokens = leases.iter().map(|lease| lease.work.tokens).sum();
            let team = job.record.team.clone();
            self.shares.add(&team, tokens, now);
            for lease in &leases {
                self.holder_of.insert(lease.attempt.request, id.clone());
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
            let account = self.account(&job.record.team, job, now);
            let rank = (account, job.record.deadline, id);
            if best.is_none_or(|known| rank < known) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    fn account(&self, team: &TeamName, job: &OwnedJob, now: Moment) -> f64 {
        self.shares.served(team, now) / f64::from(urgency(job, now))
    }

    /// Takes in how an attempt ended.
    pub fn report(&mut self, attempt: AttemptId, end: AttemptEnd, now: Moment) {
        let Some(id) = self.holder_of.remove(&attempt.request) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.report(attempt, end, now);
        }
    }

    /// Forgets what is no longer needed.
    pub fn remove_stale_entries(&mut self, now: Moment) {
        self.shares.forget_idle(now);
        let jobs = &self.jobs;
        self.holder_of
            .retain(|request, id| jobs.get(id).is_some_and(|job| job.holds(*request)));
    }
}

/// Weight of a job by the share of its time that is left.
fn urgency(job: &OwnedJob, now: Moment) -> u32 {
    let whole = job.record.deadline.since(job.record.accepted_at);
    let left = job.record.deadline.since(now);
    if left * 10 < whole {
        4
    } else if left * 4 < whole {
        2
    } else {
        1
    }
}
