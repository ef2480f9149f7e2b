//! State of one entry daemon's router.

use crate::{Request, RetryBudget, RouterLimits, Worker};
use bluebellreel_types::{DataCentre, Moment, RequestId, TeamName, WorkerName};
use std::collections::{BTreeMap, HashMap};

/// Requests in progress and known workers.
#[derive(Clone, Debug)]
pub struct Router {
    /// Limits of the router.
    pub limits: RouterLimits,
    /// Data centre of this daemon.
    pub data_centre: DataCentre,
    /// Workers by name.
    pub workers: BTreeMap<WorkerName, Worker>,
    /// Requests in progress.
    pub requests: HashMap<RequestId, Request>,
    /// Requests in progress by team.
    pub team_counts: HashMap<TeamName, usize>,
    /// Limits of teams that differ from the default, from the manifest.
    pub team_limits: HashMap<TeamName, usize>,
    /// Bytes of the requests in progress.
    pub bytes: usize,
    /// Budget for retries.
    pub budget: RetryBudget,
    /// Whether the daemon accepts no new requests.
    pub stopping: bool,
    /// When the daemon ends, if it has been asked to stop. Requests with a later deadline
    /// are not accepted.
    pub ends_at: Option<Moment>,
}

impl Router {
    /// A router without workers.
    #[must_use]
    pub fn new(limits: RouterLimits, data_centre: DataCentre) -> Self {
        Self {
            budget: RetryBudget::new(limits.retry_percent),
            limits,
            data_centre,
            workers: BTreeMap::new(),
            requests: HashMap::new(),
            team_counts: HashMap::new(),
            team_limits: HashMap::new(),
            bytes: 0,
            stopping: false,
            ends_at: None,
        }
    }

    /// Maximum number of requests that a team may have in progress.
    #[must_use]
    pub fn team_limit(&self, team: &TeamName) -> usize {
        self.team_limits
            .get(team)
            .copied()
            .unwrap_or(self.limits.team_requests)
    }

    /// Mean first-token time of the other workers, in µs; zero if there is none.
    #[must_use]
    pub fn typical_first_token(&self, except: &WorkerName) -> u64 {
        let times = self
            .workers
            .values()
            .filter(|w| w.name != *except && w.health.first_token_micros() > 0)
            .map(|w| w.health.first_token_micros());
        let (sum, count) = times.fold((0_u64, 0_u64), |(s, c), t| (s + t, c + 1));
        sum.checked_div(count).unwrap_or(0)
    }

    /// Adds a request and counts it.
    pub(crate) fn insert(&mut self, request: Request) {
        self.bytes += request.work.body.len();
        *self
            .team_counts
            .entry(request.work.team.clone())
            .or_default() += 1;
        self.requests.insert(request.id, request);
    }

    /// Removes a request and its counts.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.bytes -= request.work.body.len();
        if let Some(count) = self.team_counts.get_mut(&request.work.team) {
            *count -= 1;
            if *count == 0 {
                self.team_counts.remove(&request.work.team);
            }
        }
        Some(request)
    }

    /// Records that an attempt was sent to a worker.
    pub(crate) fn note_sent(&mut self, worker: &WorkerName, tokens: u32) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.in_flight += 1;
            worker.tokens_since_report += u64::from(tokens);
        }
    }

    /// Records that an attempt at a worker has ended.
    pub(crate) fn note_ended(&mut self, worker: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
    }

    /// Records a worker's failure.
    pub(crate) fn note_failure(&mut self, worker: &WorkerName, now: Moment) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.health.note_failure(now);
        }
    }
}
