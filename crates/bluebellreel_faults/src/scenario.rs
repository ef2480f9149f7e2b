//! The workload during which faults are injected: the actions of callers and operators.

use crate::items::{TOKENS, bookings, chat, notes};
use crate::plan::{Fault, Plan, Step};
use crate::world::{DESK, World};
use bluebellreel_entry::bench::{CallEnd, ClaimQuery, HarnessCall};
use bluebellreel_job::JobState;
use bluebellreel_routing::Outcome;
use bluebellreel_types::{ChatBody, JobId, ModelName, Moment, TeamName, Work, WorkKind};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a caller resends a job.
const RESEND_PAUSE: Duration = Duration::from_secs(1);
/// Time for which an online caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A job from its caller's point of view.
#[derive(Clone, Debug)]
pub(crate) struct FollowedJob {
    pub(crate) key: &'static str,
    pub(crate) body: String,
    pub(crate) id: JobId,
    pub(crate) accepted: bool,
    pub(crate) resend_at: Moment,
}

/// An online call from its caller's point of view.
pub(crate) struct FollowedCall {
    pub(crate) key: Option<String>,
    pub(crate) work: Work,
    pub(crate) expected: String,
    pub(crate) call: Option<HarnessCall>,
    /// Number of runs of the key when the caller was told "not run".
    pub(crate) runs_when_refused: Option<u32>,
}

impl FollowedCall {
    /// Whether the call can no longer be answered because its daemon crashed.
    pub(crate) fn is_stranded(&self) -> bool {
        self.call.as_ref().is_none_or(HarnessCall::is_stranded)
    }
}

/// The simulation, its callers, and the violations found.
pub(crate) struct Scenario {
    pub(crate) world: World,
    pub(crate) team: TeamName,
    pub(crate) jobs: BTreeMap<&'static str, FollowedJob>,
    pub(crate) calls: Vec<FollowedCall>,
    queries: Vec<(usize, ClaimQuery)>,
    pub(crate) cancel_answer: Option<JobState>,
    pub(crate) ended_at_cancel: Option<usize>,
    pub(crate) generations: Vec<[u64; 3]>,
    pub(crate) accepted_generations: Vec<u64>,
    pub(crate) violations: Vec<String>,
}

impl Scenario {
    pub(crate) fn new(plan: &Plan) -> Self {
        Self {
            world: World::new(plan),
            team: TeamName::from("school"),
            jobs: BTreeMap::new(),
            calls: Vec::new(),
            queries: Vec::new(),
            cancel_answer: None,
            ended_at_cancel: None,
            generations: Vec::new(),
            accepted_generations: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub(crate) fn start_jobs(&mut self) {
        for (key, entry, body) in [
            ("notes", 0, notes("notes")),
            ("bookings", 0, bookings()),
            ("harps", 1, notes("harps")),
        ] {
            let id = JobId::derived(&self.team, key);
            let job = FollowedJob {
                key,
                body,
                id,
                accepted: false,
                resend_at: Moment(0),
            };
            self.jobs.insert(key, job);
            self.submit(key, entry);
        }
    }

    /// Submits a job through the first daemon that is up, from `from` on.
    fn submit(&mut self, key: &'static str, from: usize) {
        let now = self.world.now();
        let deadline = now + Duration::from_hours(1);
        let team = self.team.clone();
        let body = self.jobs[key].body.clone();
        let Some(index) = self.world.live_entry(from) else {
            return;
        };
        let Some(entry) = self.world.entry(index) else {
            return;
        };
        let answer = entry.submit(&team, key, body.as_bytes(), deadline);
        self.world.apply_injected();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        // A response of a daemon that crashed in the meantime does not reach the
        // caller.
        let acknowledged = answer.is_ok() && self.world.entry(index).is_some();
        if acknowledged {
            job.accepted = true;
            for injection in self.world.kv.with(|kv| kv.reach_step(Step::Acknowledge)) {
                self.world.inject(injection, index, 0);
            }
        } else {
            job.resend_at = self.world.now() + RESEND_PAUSE;
        }
    }

    pub(crate) fn start_calls(&mut self) {
        for (number, key) in [None, None, Some("answer-1")].into_iter().enumerate() {
            let prompt = format!("pass window {number}");
            let body = chat(&prompt).to_string();
            let chat = ChatBody::try_from(body.as_bytes()).expect("a valid body");
            let work = chat.into_work(self.team.clone(), key);
            let expected = bluebellreel_standins::expected_answer(&prompt, TOKENS);
            self.start_call(number, key, work, expected);
        }
        for number in 0..2 {
            let key = format!("slot-{number}");
            let work = self.slot(&key);
            self.start_call(number, Some(&key), work, String::new());
        }
    }

    fn slot(&self, key: &str) -> Work {
        Work {
            kind: WorkKind::Call {
                method: Arc::from("POST"),
                path: Arc::from("/bookings"),
            },
            model: ModelName::from(DESK),
            body: Arc::from(*b"{}"),
            tokens: 1,
            prefix: 0,
            repeatable: false,
            key: Arc::from(key),
            team: self.team.clone(),
        }
    }

    fn start_call(&mut self, from: usize, key: Option<&str>, work: Work, expected: String) {
        let deadline = self.world.now() + CALL_TIMEOUT;
        let call = self
            .world
            .live_entry(from)
            .and_then(|index| self.world.entry(index))
            .map(|entry| entry.call(work.clone(), deadline));
        self.calls.push(FollowedCall {
            key: key.map(str::to_owned),
            work,
            expected,
            call,
            runs_when_refused: None,
        });
    }

    /// Runs the actions of callers and operators that are due.
    pub(crate) fn react(&mut self) {
        let now = self.world.now();
        let unacknowledged: Vec<&'static str> = self
            .jobs
            .values()
            .filter(|job| !job.accepted && job.resend_at.is_past(now))
            .map(|job| job.key)
            .collect();
        for key in unacknowledged {
            self.submit(key, 1);
        }
        for call in &mut self.calls {
            if let Some(call) = &mut call.call {
                call.poll();
            }
        }
        self.record_refusals();
        self.settle_queries();
        for fault in std::mem::take(&mut self.world.user_faults) {
            match fault {
                Fault::CallerResends => self.resend_all(),
                _ => self.race_operators(),
            }
        }
    }

    /// Records how often a key had run when its caller was told "not run".
    fn record_refusals(&mut self) {
        let runs = self.world.service().runs.clone();
        for followed in &mut self.calls {
            let refused = matches!(
                followed.call.as_ref().and_then(|call| call.end.as_ref()),
                Some(CallEnd::Outcome(Outcome::NotRun { .. }))
            );
            if let (true, None, Some(key)) = (refused, followed.runs_when_refused, &followed.key) {
                followed.runs_when_refused = Some(runs.get(key).copied().unwrap_or(0));
            }
        }
    }

    /// Callers query the outcome of their calls through another daemon.
    pub(crate) fn ask_outcomes(&mut self) {
        let keys: Vec<String> = self.calls.iter().filter_map(|c| c.key.clone()).collect();
        let team = self.team.clone();
        for key in keys {
            let Some(index) = self.world.live_entry(2) else {
                return;
            };
            let entry = self.world.entry(index);
            if let Some(query) = entry.and_then(|entry| entry.query_claim(&team, &key)) {
                self.queries.push((index, query));
            }
        }
    }

    fn settle_queries(&mut self) {
        for (index, query) in std::mem::take(&mut self.queries) {
            let settled = match self.world.entry(index) {
                Some(entry) => entry.settle(&query),
                None => true,
            };
            if !settled {
                self.queries.push((index, query));
            }
        }
    }

    /// The caller considers all jobs and calls lost and resends them through another
    /// daemon.
    fn resend_all(&mut self) {
        for key in ["notes", "bookings", "harps"] {
            if self.jobs.contains_key(key) {
                self.submit(key, 2);
            }
        }
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            if let Some(key) = call.key.clone() {
                let (work, expected) = (call.work.clone(), call.expected.clone());
                self.start_call(2, Some(&key), work, expected);
            }
        }
    }

    /// Two operators cancel the same job and replace the same manifest at the same
    /// time.
    fn race_operators(&mut self) {
        self.cancel_harps(2);
        self.cancel_harps(1);
        let seen = self.accepted_generations.iter().max().copied();
        self.put_manifest(1, seen.unwrap_or(0));
        self.put_manifest(2, seen.unwrap_or(0));
    }

    pub(crate) fn put_manifest(&mut self, from: usize, seen: u64) {
        let manifest = "[[services]]\nname = \"desk\"\n";
        let put = self
            .world
            .live_entry(from)
            .and_then(|index| self.world.entry(index))
            .map(|entry| entry.put_manifest(seen, manifest));
        self.world.apply_injected();
        if let Some(Ok(generation)) = put {
            if self.accepted_generations.contains(&generation) {
                self.violations
                    .push(format!("generation {generation} was accepted twice"));
            }
            self.accepted_generations.push(generation);
        }
    }

    /// Cancels the job "harps" unless an earlier cancellation was answered.
    pub(crate) fn cancel_harps(&mut self, from: usize) {
        let (Some(job), None) = (self.jobs.get("harps"), &self.cancel_answer) else {
            return;
        };
        if !job.accepted {
            return;
        }
        let id = job.id.clone();
        let Some(index) = self.world.live_entry(from) else {
            return;
        };
        let answer = self.world.entry(index).map(|entry| entry.cancel(&id));
        self.world.apply_injected();
        if let (Some(Ok(state)), true) = (answer, self.world.entry(index).is_some()) {
            self.cancel_answer = Some(state);
            self.ended_at_cancel = self.recorded("harps");
        }
    }

    /// Number of items of a job whose result is recorded as succeeded or failed.
    pub(crate) fn recorded(&mut self, key: &str) -> Option<usize> {
        let id = self.jobs[key].id.clone();
        let index = self.world.live_entry(0)?;
        let lines = self.world.entry(index)?.results(&id);
        self.world.apply_injected();
        let ended = |line: &&bluebellreel_entry::bench::HarnessResult| line.status != "cancelled";
        Some(lines?.iter().filter(ended).count())
    }

    pub(crate) fn record_generations(&mut self) {
        let mut all = self.generations.last().copied().unwrap_or_default();
        for (index, known) in all.iter_mut().enumerate() {
            if let Some(entry) = self.world.entry(index) {
                *known = entry.generation();
            }
        }
        if self.generations.last() != Some(&all) {
            self.generations.push(all);
        }
    }

    pub(crate) fn is_finished(&mut self) -> bool {
        if self.calls.iter().any(|c| {
            let waiting = c.call.as_ref().is_some_and(|call| call.end.is_none());
            waiting && !c.is_stranded()
        }) {
            return false;
        }
        if self.cancel_answer.is_none() {
            return false;
        }
        let ids: Vec<JobId> = self.jobs.values().map(|job| job.id.clone()).collect();
        let Some(index) = self.world.live_entry(0) else {
            return false;
        };
        ids.iter().all(|id| {
            self.world
                .entry(index)
                .and_then(|entry| entry.job_state(id))
                .is_some_and(|state| state != JobState::Running)
        })
    }

    /// Queries the outcome of a key until its claim is no longer pending, 40 times at
    /// most.
    pub(crate) fn settle(&mut self, key: &str) {
        for _ in 0..40 {
            let Some(index) = self.world.live_entry(0) else {
                return;
            };
            let team = self.team.clone();
            let query: Option<ClaimQuery> = self
                .world
                .entry(index)
                .and_then(|entry| entry.query_claim(&team, key));
            self.world.run_for(Duration::from_millis(500));
            let (Some(query), Some(entry)) = (query, self.world.entry(index)) else {
                continue;
            };
            entry.settle(&query);
            let claim = entry.claim(&team, key);
            let open = claim.is_none_or(|c| c.state == bluebellreel_claim::ClaimState::Pending);
            if !open {
                return;
            }
        }
    }
}
