//! The component that drives the router.

mod claiming;

use crate::handles::DaemonHandles;
use crate::online::caller::{CallerEvent, ClaimQueryResult, NewCall, OnlineMessage};
use crate::online::claims::{ClaimAnswer, ClaimContext};
use crate::platform::{ListedState, ListedWorker};
use bluebellreel_fleet::Manifest;
use bluebellreel_routing::{ClaimIntent, Effect, Event, Outcome, Router, RouterLimits, step};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_telemetry::{OutcomeLabel, Span, Tracer};
use bluebellreel_types::{
    AttemptId, AttemptVerdict, EntryName, Incarnation, Moment, RequestId, WorkerName,
};
use crossbeam_channel::Sender;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// A caller waiting for its answer.
struct Caller {
    tx: Sender<CallerEvent>,
    arrived_at: Moment,
    deadline: Moment,
    first_text_at: Option<Moment>,
    span: Span,
    /// Span of the attempt in flight.
    rpc: Option<Span>,
    claim: Option<Claim>,
}

/// The claim of a caller's non-repeatable call.
struct Claim {
    cx: ClaimContext,
    intent: Option<ClaimIntent>,
}

/// A query waiting for a side process's verdict on an attempt.
struct VerdictWaiter {
    until: Moment,
    answer: Sender<ClaimQueryResult>,
}

/// Drives the router: feeds it events and executes its effects.
pub(crate) struct OnlineComponent {
    router: Router,
    rng: SmallRng,
    handles: DaemonHandles,
    callers: HashMap<RequestId, Caller>,
    verdict_waiters: HashMap<AttemptId, Vec<VerdictWaiter>>,
    links: BTreeMap<WorkerName, ListedWorker>,
    /// Live entry daemons, including this one.
    entries: HashMap<EntryName, Incarnation>,
    /// Workers of the first connection targets whose first connection attempt has
    /// not ended; `None` before these targets are known.
    unattempted: Option<HashSet<WorkerName>>,
    /// Whether some model lacks workers that may still be found.
    is_short: bool,
    started_at: Moment,
}

impl OnlineComponent {
    pub(crate) fn new(handles: DaemonHandles) -> Self {
        let limits = RouterLimits {
            requests: handles.settings.limits.requests,
            team_requests: handles.settings.limits.team_requests,
            online_per_worker: handles.settings.limits.online_per_worker,
            ..RouterLimits::default()
        };
        let started_at = handles.clock.now();
        Self {
            unattempted: None,
            is_short: false,
            started_at,
            router: Router::new(limits, handles.settings.data_centre.clone()),
            rng: SmallRng::seed_from_u64(handles.run.0),
            handles,
            callers: HashMap::new(),
            verdict_waiters: HashMap::new(),
            links: BTreeMap::new(),
            entries: HashMap::new(),
        }
    }

    /// Processes expired deadlines and updates metrics and readiness.
    pub(crate) fn tick(&mut self) {
        self.handle_event(Event::Ticked);
        let now = self.now();
        self.verdict_waiters.retain(|_, verdict_waiters| {
            for waiter in verdict_waiters
                .iter()
                .filter(|waiter| waiter.until.is_past(now))
            {
                waiter.answer.send(ClaimQueryResult::Unreachable).ok();
            }
            verdict_waiters.retain(|waiter| !waiter.until.is_past(now));
            !verdict_waiters.is_empty()
        });
        let in_progress = i64::try_from(self.router.requests.len()).unwrap_or(i64::MAX);
        self.handles.metrics.in_progress.set(in_progress);
        let all_tried = self.unattempted.as_ref().is_some_and(HashSet::is_empty) && !self.is_short;
        let now = self.now();
        let readiness = &self.handles.readiness;
        readiness.update(all_tried, self.started_at, now);
    }

    fn now(&self) -> Moment {
        self.handles.clock.now()
    }

    /// Whether no request is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.router.requests.is_empty()
    }

    /// Makes the router refuse requests that could outlast the end of the daemon.
    pub(crate) fn begin_drain(&mut self, ends_at: Moment) {
        self.router.ends_at = Some(ends_at);
    }

    /// Makes the router refuse new requests from now on.
    pub(crate) fn stop(&mut self) {
        self.router.stopping = true;
    }

    /// Applies the teams' request limits of the manifest in force.
    pub(crate) fn apply_manifest(&mut self, manifest: &Manifest) {
        self.router.team_limits = manifest
            .teams
            .iter()
            .filter_map(|team| Some((team.name.clone(), team.online_requests?)))
            .collect();
    }

    pub(crate) fn on_message(&mut self, message: OnlineMessage) {
        match message {
            OnlineMessage::Call(call) => self.begin(*call),
            OnlineMessage::CallerGone(id) => {
                self.handle_event(Event::CallerGone(id));
                if !self.router.requests.contains_key(&id) {
                    self.callers.remove(&id);
                }
            }
            OnlineMessage::Claim { attempt, answer } => self.note_claim(attempt, answer),
            OnlineMessage::OutcomeRecorded(id) => self.handle_event(Event::OutcomeRecorded(id)),
            OnlineMessage::QueryClaim { record, answer } => self.query_claim(&record, answer),
        }
    }

    fn begin(&mut self, call: NewCall) {
        let now = self.now();
        let request = call.request;
        let span = Span::begin(request.trace, "entry decision", now);
        let claim = (!request.work.repeatable).then(|| Claim {
            cx: ClaimContext {
                team: request.work.team.clone(),
                key: request.work.key.clone(),
                digest: call.digest,
                entry: self.handles.settings.name.clone(),
                entry_run: self.handles.run,
                deadline: request.deadline,
                revision: 0,
            },
            intent: None,
        });
        let caller = Caller {
            tx: call.caller,
            arrived_at: now,
            deadline: request.deadline,
            first_text_at: None,
            span,
            rpc: None,
            claim,
        };
        self.callers.insert(request.id, caller);
        self.handle_event(Event::Arrived(request));
    }

    pub(crate) fn on_notice(&mut self, notice: EntryNotice) {
        match notice {
            EntryNotice::Connected(hello) => {
                log::info!(target: "router", worker:% = hello.worker; "Worker connected.");
                self.on_connect_attempted(&hello.worker);
                self.handle_event(Event::WorkerConnected(hello));
            }
            EntryNotice::Lost(worker) => {
                self.on_connect_attempted(&worker);
                let known = self.router.workers.get(&worker);
                if known.is_some_and(|w| w.incarnation.is_some()) {
                    log::warn!(target: "router", worker:% = worker; "Worker lost.");
                }
                self.handle_event(Event::WorkerLost(worker));
            }
            EntryNotice::Part { attempt, text } => {
                self.handle_event(Event::PartArrived { attempt, text });
            }
            EntryNotice::Ended {
                worker,
                attempt,
                end,
                load,
            } => self.handle_event(Event::AttemptEnded {
                worker,
                attempt,
                end,
                load,
            }),
            EntryNotice::Verdict { attempt, verdict } => self.note_verdict(attempt, verdict),
            EntryNotice::Load { worker, load } => {
                self.handle_event(Event::LoadArrived { worker, load });
            }
            EntryNotice::Pull { .. }
            | EntryNotice::Reports { .. }
            | EntryNotice::Applied { .. }
            | EntryNotice::OrderEnded { .. } => {}
        }
    }

    fn note_verdict(&mut self, attempt: AttemptId, verdict: AttemptVerdict) {
        for waiter in self.verdict_waiters.remove(&attempt).unwrap_or_default() {
            waiter
                .answer
                .send(ClaimQueryResult::Verdict(verdict.clone()))
                .ok();
        }
        self.handle_event(Event::VerdictArrived { attempt, verdict });
    }

    fn on_connect_attempted(&mut self, worker: &WorkerName) {
        if let Some(unattempted) = &mut self.unattempted {
            unattempted.remove(worker);
        }
    }

    /// Workers that hold requests of this daemon.
    pub(crate) fn busy_workers(&self) -> BTreeSet<WorkerName> {
        let busy = self.router.workers.values().filter(|w| w.in_flight > 0);
        busy.map(|w| w.name.clone()).collect()
    }

    /// Connects to the given workers and closes all other connections. Returns the
    /// workers whose connections were closed.
    pub(crate) fn set_connections(
        &mut self,
        list: Vec<ListedWorker>,
        is_short: bool,
    ) -> Vec<WorkerName> {
        self.is_short = is_short;
        self.unattempted
            .get_or_insert_with(|| list.iter().map(|w| w.name.clone()).collect());
        let listed: HashSet<&WorkerName> = list.iter().map(|w| &w.name).collect();
        let gone: Vec<WorkerName> = self
            .links
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for worker in &gone {
            self.links.remove(worker);
            self.handles
                .send_command(EntryCommand::Disconnect(worker.clone()));
            self.handle_event(Event::WorkerUnlisted(worker.clone()));
        }
        for listed in list {
            self.note_listed(listed);
        }
        gone
    }

    fn note_listed(&mut self, listed: ListedWorker) {
        let leaving = listed.state == ListedState::Leaving;
        self.handle_event(Event::WorkerListed {
            worker: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
            leaving,
        });
        let known = self.links.get(&listed.name);
        if known.is_none_or(|before| before.side != listed.side) {
            if known.is_some() {
                let worker = listed.name.clone();
                self.handles.send_command(EntryCommand::Disconnect(worker));
            }
            self.handles.send_command(EntryCommand::Connect {
                worker: listed.name.clone(),
                address: listed.side,
            });
        }
        self.links.insert(listed.name.clone(), listed);
    }

    fn note_claim(&mut self, attempt: AttemptId, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Recorded(revision) => {
                if let Some(claim) = self.claim_of(attempt.request) {
                    claim.cx.revision = revision;
                }
                self.handle_event(Event::ClaimRecorded(attempt));
            }
            ClaimAnswer::Taken(record) => {
                self.handle_event(Event::ClaimTaken(attempt));
                if let Some(caller) = self.callers.remove(&attempt.request) {
                    caller.tx.send(CallerEvent::Claimed(record)).ok();
                }
            }
            ClaimAnswer::Unavailable => self.handle_event(Event::ClaimFailed(attempt)),
        }
    }

    fn claim_of(&mut self, request: RequestId) -> Option<&mut Claim> {
        self.callers.get_mut(&request)?.claim.as_mut()
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        for effect in step(&mut self.router, event, now, &mut self.rng) {
            self.execute(effect, now);
        }
    }

    fn execute(&mut self, effect: Effect, now: Moment) {
        match effect {
            Effect::Claim(intent) => self.write_claim(intent, now),
            Effect::RecordOutcome { request, outcome } => self.record(request, &outcome),
            Effect::Dispatch {
                worker,
                mut dispatch,
            } => {
                if let Some(caller) = self.callers.get_mut(&dispatch.attempt.request) {
                    let rpc_span = Span::begin(caller.span.child_context(), "rpc", now);
                    dispatch.trace = rpc_span.child_context();
                    let before = caller.rpc.replace(rpc_span.with("worker", worker.as_str()));
                    finish_rpc_span(&self.handles.tracer, before, now);
                }
                if dispatch.attempt.number > 1 {
                    self.handles.metrics.retries.inc();
                }
                self.handles
                    .send_command(EntryCommand::Submit { worker, dispatch });
            }
            Effect::Cancel { worker, attempt } => {
                self.handles
                    .send_command(EntryCommand::Cancel { worker, attempt });
            }
            Effect::Deliver { request, text } => self.deliver(request, text, now),
            Effect::Finish {
                request,
                outcome,
                attempts,
            } => self.finish(request, outcome, attempts, now),
        }
    }

    fn deliver(&mut self, request: RequestId, text: Arc<str>, now: Moment) {
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        if caller.first_text_at.is_none() {
            caller.first_text_at = Some(now);
            let waited = now.since(caller.arrived_at).as_secs_f64();
            self.handles.metrics.first_token.observe(waited);
        }
        caller.tx.send(CallerEvent::Text(text)).ok();
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome, attempts: u32, now: Moment) {
        let Some(caller) = self.callers.remove(&request) else {
            return;
        };
        let label = outcome_label(&outcome);
        let metrics = &self.handles.metrics;
        let counted = OutcomeLabel { outcome: label };
        metrics.requests.get_or_create(&counted).inc();
        let answered = matches!(
            outcome,
            Outcome::Completed { .. } | Outcome::Rejected { .. }
        );
        if answered && !caller.deadline.is_past(now) {
            metrics.in_time.inc();
        } else {
            metrics.late.inc();
        }
        finish_rpc_span(&self.handles.tracer, caller.rpc, now);
        let span = caller.span.with("outcome", label);
        let span = span.with("attempts", attempts.to_string());
        self.handles.tracer.finish(span, now);
        caller.tx.send(CallerEvent::Finished(outcome)).ok();
    }
}

fn finish_rpc_span(tracer: &Tracer, rpc_span: Option<Span>, now: Moment) {
    if let Some(rpc_span) = rpc_span {
        tracer.finish(rpc_span, now);
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Completed { .. } => "completed",
        Outcome::Rejected { .. } => "rejected",
        Outcome::NotRun { .. } => "not_run",
        Outcome::Failed { .. } => "failed",
        Outcome::Unknown => "unknown",
    }
}
