//! The part that drives the router.

mod claiming;

use crate::online::caller::{AskAnswer, CallerEvent, NewCall, OnlineMessage};
use crate::online::claims::{ClaimAnswer, ClaimContext};
use crate::parts::Parts;
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

/// A caller that waits.
struct Caller {
    tx: Sender<CallerEvent>,
    arrived_at: Moment,
    deadline: Moment,
    heard_at: Option<Moment>,
    span: Span,
    /// The attempt that is out, as a hop of its own.
    rpc: Option<Span>,
    claim: Option<Claim>,
}

/// The claim of a caller's call.
struct Claim {
    cx: ClaimContext,
    intent: Option<ClaimIntent>,
}

/// Somebody who waits for a side process to tell about an attempt.
struct Asker {
    until: Moment,
    answer: Sender<AskAnswer>,
}

/// Drives the router.
pub(crate) struct OnlinePart {
    router: Router,
    rng: SmallRng,
    parts: Parts,
    callers: HashMap<RequestId, Caller>,
    askers: HashMap<AttemptId, Vec<Asker>>,
    links: BTreeMap<WorkerName, ListedWorker>,
    /// Daemons that are there, this one among them.
    entries: HashMap<EntryName, Incarnation>,
    /// Listed workers whose first try to connect is still out; none before the
    /// first list.
    untried: Option<HashSet<WorkerName>>,
    /// Whether workers of some model are still looked for.
    is_short: bool,
    started_at: Moment,
}

impl OnlinePart {
    pub(crate) fn new(parts: Parts) -> Self {
        let limits = RouterLimits {
            requests: parts.settings.limits.requests,
            team_requests: parts.settings.limits.team_requests,
            online_per_worker: parts.settings.limits.online_per_worker,
            ..RouterLimits::default()
        };
        let started_at = parts.clock.now();
        Self {
            untried: None,
            is_short: false,
            started_at,
            router: Router::new(limits, parts.settings.data_centre.clone()),
            rng: SmallRng::seed_from_u64(parts.run.0),
            parts,
            callers: HashMap::new(),
            askers: HashMap::new(),
            links: BTreeMap::new(),
            entries: HashMap::new(),
        }
    }

    /// Looks at deadlines.
    pub(crate) fn tick(&mut self) {
        self.decide(Event::Ticked);
        let now = self.now();
        self.askers.retain(|_, askers| {
            for asker in askers.iter().filter(|asker| asker.until.is_past(now)) {
                asker.answer.send(AskAnswer::Unreachable).ok();
            }
            askers.retain(|asker| !asker.until.is_past(now));
            !askers.is_empty()
        });
        let in_progress = i64::try_from(self.router.requests.len()).unwrap_or(i64::MAX);
        self.parts.metrics.in_progress.set(in_progress);
        let all_tried = self.untried.as_ref().is_some_and(HashSet::is_empty) && !self.is_short;
        let now = self.now();
        let readiness = &self.parts.readiness;
        readiness.note_workers(all_tried, self.started_at, now);
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Whether no caller waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.router.requests.is_empty()
    }

    /// Takes nothing new from now on.
    pub(crate) fn stop(&mut self) {
        self.router.stopping = true;
    }

    /// Takes in the manifest in force.
    pub(crate) fn apply(&mut self, manifest: &Manifest) {
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
                self.decide(Event::CallerGone(id));
                if !self.router.requests.contains_key(&id) {
                    self.callers.remove(&id);
                }
            }
            OnlineMessage::Claim { attempt, answer } => self.note_claim(attempt, answer),
            OnlineMessage::OutcomeRecorded(id) => self.decide(Event::OutcomeRecorded(id)),
            OnlineMessage::AskClaim { record, answer } => self.ask(&record, answer),
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
                entry: self.parts.settings.name.clone(),
                entry_run: self.parts.run,
                deadline: request.deadline,
                revision: 0,
            },
            intent: None,
        });
        let caller = Caller {
            tx: call.caller,
            arrived_at: now,
            deadline: request.deadline,
            heard_at: None,
            span,
            rpc: None,
            claim,
        };
        self.callers.insert(request.id, caller);
        self.decide(Event::Arrived(request));
    }

    pub(crate) fn on_notice(&mut self, notice: EntryNotice) {
        match notice {
            EntryNotice::Connected(hello) => {
                log::info!(target: "router", worker:% = hello.worker; "Worker connected.");
                self.note_tried(&hello.worker);
                self.decide(Event::WorkerConnected(hello));
            }
            EntryNotice::Lost(worker) => {
                self.note_tried(&worker);
                let known = self.router.workers.get(&worker);
                if known.is_some_and(|w| w.incarnation.is_some()) {
                    log::warn!(target: "router", worker:% = worker; "Worker lost.");
                }
                self.decide(Event::WorkerLost(worker));
            }
            EntryNotice::Part { attempt, text } => {
                self.decide(Event::PartArrived { attempt, text });
            }
            EntryNotice::Ended {
                worker,
                attempt,
                end,
                load,
            } => self.decide(Event::AttemptEnded {
                worker,
                attempt,
                end,
                load,
            }),
            EntryNotice::Verdict { attempt, verdict } => self.note_verdict(attempt, verdict),
            EntryNotice::Load { worker, load } => {
                self.decide(Event::LoadArrived { worker, load });
            }
            EntryNotice::Pull { .. }
            | EntryNotice::Reports { .. }
            | EntryNotice::Applied { .. }
            | EntryNotice::OrderEnded { .. } => {}
        }
    }

    fn note_verdict(&mut self, attempt: AttemptId, verdict: AttemptVerdict) {
        for asker in self.askers.remove(&attempt).unwrap_or_default() {
            asker.answer.send(AskAnswer::Verdict(verdict.clone())).ok();
        }
        self.decide(Event::VerdictArrived { attempt, verdict });
    }

    fn note_tried(&mut self, worker: &WorkerName) {
        if let Some(untried) = &mut self.untried {
            untried.remove(worker);
        }
    }

    /// Workers that hold requests of this daemon.
    pub(crate) fn busy_workers(&self) -> BTreeSet<WorkerName> {
        let busy = self.router.workers.values().filter(|w| w.in_flight > 0);
        busy.map(|w| w.name.clone()).collect()
    }

    /// Holds connections to these workers and closes the others; those closed.
    pub(crate) fn hold(&mut self, list: Vec<ListedWorker>, is_short: bool) -> Vec<WorkerName> {
        self.is_short = is_short;
        self.untried
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
            self.parts.send(EntryCommand::Disconnect(worker.clone()));
            self.decide(Event::WorkerUnlisted(worker.clone()));
        }
        for listed in list {
            self.note_listed(listed);
        }
        gone
    }

    fn note_listed(&mut self, listed: ListedWorker) {
        let leaving = listed.state == ListedState::Leaving;
        self.decide(Event::WorkerListed {
            worker: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
            leaving,
        });
        let known = self.links.get(&listed.name);
        if known.is_none_or(|before| before.side != listed.side) {
            if known.is_some() {
                let worker = listed.name.clone();
                self.parts.send(EntryCommand::Disconnect(worker));
            }
            self.parts.send(EntryCommand::Connect {
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
                self.decide(Event::ClaimRecorded(attempt));
            }
            ClaimAnswer::Taken(record) => {
                self.decide(Event::ClaimTaken(attempt));
                if let Some(caller) = self.callers.remove(&attempt.request) {
                    caller.tx.send(CallerEvent::Claimed(record)).ok();
                }
            }
            ClaimAnswer::Unavailable => self.decide(Event::ClaimFailed(attempt)),
        }
    }

    fn claim_of(&mut self, request: RequestId) -> Option<&mut Claim> {
        self.callers.get_mut(&request)?.claim.as_mut()
    }

    fn decide(&mut self, event: Event) {
        let now = self.now();
        for effect in step(&mut self.router, event, now, &mut self.rng) {
            self.carry_out(effect, now);
        }
    }

    fn carry_out(&mut self, effect: Effect, now: Moment) {
        match effect {
            Effect::Claim(intent) => self.write_claim(intent, now),
            Effect::RecordOutcome { request, outcome } => self.record(request, &outcome),
            Effect::Dispatch {
                worker,
                mut dispatch,
            } => {
                if let Some(caller) = self.callers.get_mut(&dispatch.attempt.request) {
                    let hop = Span::begin(caller.span.below(), "rpc", now);
                    dispatch.trace = hop.below();
                    let before = caller.rpc.replace(hop.with("worker", worker.as_str()));
                    end_hop(&self.parts.tracer, before, now);
                }
                if dispatch.attempt.number > 1 {
                    self.parts.metrics.retries.inc();
                }
                self.parts.send(EntryCommand::Submit { worker, dispatch });
            }
            Effect::Cancel { worker, attempt } => {
                self.parts.send(EntryCommand::Cancel { worker, attempt });
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
        if caller.heard_at.is_none() {
            caller.heard_at = Some(now);
            let waited = now.since(caller.arrived_at).as_secs_f64();
            self.parts.metrics.first_token.observe(waited);
        }
        caller.tx.send(CallerEvent::Text(text)).ok();
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome, attempts: u32, now: Moment) {
        let Some(caller) = self.callers.remove(&request) else {
            return;
        };
        let label = outcome_label(&outcome);
        let metrics = &self.parts.metrics;
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
        end_hop(&self.parts.tracer, caller.rpc, now);
        let span = caller.span.with("outcome", label);
        let span = span.with("attempts", attempts.to_string());
        self.parts.tracer.finish(span, now);
        caller.tx.send(CallerEvent::Finished(outcome)).ok();
    }
}

fn end_hop(tracer: &Tracer, hop: Option<Span>, now: Moment) {
    if let Some(hop) = hop {
        tracer.finish(hop, now);
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
