//! The side process's state: it takes messages in and carries out effects.

use crate::farewell::Farewell;
use crate::fence::Fence;
use crate::message::{Message, OrderAnswer};
use crate::parts::{BackendOrder, Parts};
use bluebellreel_admission::{Admission, Effect, Event, step};
use bluebellreel_rpc::{SideCommand, SideNotice};
use bluebellreel_telemetry::{OutcomeLabel, Span};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, BrokenReason, Dispatch, EntryName,
    ModelVersion, Moment, TraceContext,
};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// Holds the admission state and carries out its effects.
pub(crate) struct SideCore {
    state: Admission,
    parts: Parts,
    verdicts: HashMap<AttemptId, oneshot::Sender<AttemptVerdict>>,
    spans: HashMap<AttemptId, Span>,
    reports: BTreeMap<EntryName, Vec<BatchReport>>,
    generation: u64,
    fence: Fence,
    orders: HashMap<ModelVersion, Vec<OrderAnswer>>,
    farewell: Farewell,
}

impl SideCore {
    pub(crate) fn new(state: Admission, parts: Parts) -> Self {
        Self {
            state,
            parts,
            verdicts: HashMap::new(),
            spans: HashMap::new(),
            reports: BTreeMap::new(),
            generation: 0,
            fence: Fence::default(),
            orders: HashMap::new(),
            farewell: Farewell::default(),
        }
    }

    /// Looks at deadlines.
    pub(crate) fn tick(&mut self) {
        self.decide(Event::Ticked);
        self.parts
            .metrics
            .online
            .set(i64::from(self.state.online()));
        let batch = self.state.count(bluebellreel_types::Class::Batch);
        self.parts.metrics.batch.set(i64::from(batch));
    }

    pub(crate) fn on_message(&mut self, message: Message) {
        match message {
            Message::Rpc(notice) => self.on_notice(notice),
            Message::Text {
                attempt,
                text,
                tokens,
            } => self.decide(Event::EngineText {
                attempt,
                text,
                tokens,
            }),
            Message::Ended { attempt, end } => self.decide(Event::EngineEnded { attempt, end }),
            Message::Models(models) => self.decide(Event::ModelsChanged(models)),
            Message::OrderEnded { model, loaded } => {
                for answer in self.orders.remove(&model).unwrap_or_default() {
                    answer.send(loaded).ok();
                }
            }
            Message::MetricsAsked(answer) => {
                answer.send(self.parts.metrics.text()).ok();
            }
            Message::StopAsked => self.decide(Event::DrainAsked),
        }
    }

    /// Whether a graceful stop would cut nothing now.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.is_idle() && self.reports.is_empty()
    }

    /// Whether nothing is under way to or from the entries, and all of them
    /// know of the stop.
    pub(crate) fn is_settled(&self) -> bool {
        self.farewell.is_settled()
    }

    fn on_notice(&mut self, notice: SideNotice) {
        match notice {
            SideNotice::Connected(entry) => {
                log::info!(target: "side", entry:% = entry; "Entry connected.");
                self.farewell.note_connected(entry);
            }
            SideNotice::Lost(entry) => {
                log::warn!(target: "side", entry:% = entry; "Entry lost.");
                self.farewell.note_lost(&entry);
                self.decide(Event::EntryLost(entry));
            }
            SideNotice::Submitted { entry, dispatch } => {
                self.begin_span(&dispatch);
                self.decide(Event::Arrived { entry, dispatch });
            }
            SideNotice::CancelRequested { attempt, answer } => {
                self.verdicts.insert(attempt, answer);
                self.decide(Event::CancelAsked { attempt });
            }
            SideNotice::Withdrawn(attempts) => self.decide(Event::Withdrawn(attempts)),
            SideNotice::Offered { entry, waiting } => {
                self.decide(Event::Offered { entry, waiting });
            }
            SideNotice::Pulled { entry, items } => {
                self.farewell.note_pulled();
                for item in &items {
                    self.begin_span(item);
                }
                self.decide(Event::Pulled { entry, items });
            }
            SideNotice::ReportLost { entry } => {
                log::warn!(target: "side", entry:% = entry; "Batch results could not be reported.");
            }
            SideNotice::LoadRequested(answer) => {
                answer.send(self.state.load(self.now())).ok();
            }
            SideNotice::LoadDelivered { entry, leaving } => self.farewell.note_told(entry, leaving),
            SideNotice::Delivered => self.farewell.note_delivered(),
            SideNotice::Configured {
                generation, answer, ..
            } => {
                self.generation = self.generation.max(generation);
                answer.send(self.generation).ok();
            }
            SideNotice::DrainRequested => self.decide(Event::DrainAsked),
            SideNotice::FenceAnnounced(fence) => self.fence.learn(fence),
            SideNotice::Ordered {
                fence,
                model,
                answer,
            } => self.order(fence, model, answer),
        }
    }

    /// Passes an order on, unless a later matcher has spoken. A load that is
    /// under way is not ordered twice.
    fn order(&mut self, fence: u64, model: ModelVersion, answer: OrderAnswer) {
        if !self.fence.admits(fence) {
            log::warn!(target: "side", fence; "An outdated order was refused.");
            answer.send(false).ok();
            return;
        }
        let waiting = self.orders.entry(model.clone()).or_default();
        waiting.push(answer);
        if waiting.len() == 1 {
            (self.parts.backend)(BackendOrder::Load(fence, model));
        }
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    fn begin_span(&mut self, dispatch: &Dispatch) {
        let span = Span::begin(dispatch.trace, "side admission", self.now());
        self.spans.insert(dispatch.attempt, span);
    }

    fn end_span(&mut self, attempt: AttemptId, end: &AttemptEnd) {
        let label = end_label(end);
        let outcome = OutcomeLabel { outcome: label };
        self.parts.metrics.attempts.get_or_create(&outcome).inc();
        if let Some(span) = self.spans.remove(&attempt) {
            let worker = span.with("end", label);
            self.parts.tracer.finish(worker, self.parts.clock.now());
        }
    }

    fn below_span(&self, dispatch: &Dispatch) -> TraceContext {
        self.spans
            .get(&dispatch.attempt)
            .map_or(dispatch.trace, Span::below)
    }

    fn decide(&mut self, event: Event) {
        let now = self.now();
        for effect in step(&mut self.state, event, now) {
            self.carry_out(effect, now);
        }
        for (entry, reports) in std::mem::take(&mut self.reports) {
            self.farewell.note_sent();
            self.send(SideCommand::Report { entry, reports });
        }
    }

    fn carry_out(&mut self, effect: Effect, now: Moment) {
        match effect {
            Effect::StartEngine(mut dispatch) => {
                dispatch.trace = self.below_span(&dispatch);
                (self.parts.backend)(BackendOrder::Start(dispatch));
            }
            Effect::CancelEngine(attempt) => {
                (self.parts.backend)(BackendOrder::Cancel(attempt));
            }
            Effect::SendPart { attempt, text } => self.send(SideCommand::Part { attempt, text }),
            Effect::SendEnd { attempt, end } => {
                self.end_span(attempt, &end);
                let load = self.state.load(now);
                self.farewell.note_sent();
                self.send(SideCommand::End { attempt, end, load });
            }
            Effect::Pull { entry, room } => {
                self.farewell.note_pull();
                self.send(SideCommand::Pull { entry, room });
            }
            Effect::Report { entry, report } => {
                self.end_span(report.attempt, &report.end);
                if is_preempted(&report.end) {
                    self.parts.metrics.preemptions.inc();
                }
                self.reports.entry(entry).or_default().push(report);
            }
            Effect::SendVerdict { attempt, verdict } => {
                if let Some(answer) = self.verdicts.remove(&attempt) {
                    answer.send(verdict).ok();
                }
            }
        }
    }

    fn send(&self, command: SideCommand) {
        // The RPC thread ends only with the process.
        self.parts.rpc.send(command).ok();
    }
}

fn is_preempted(end: &AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Broken {
            reason: BrokenReason::Preempted,
            ..
        }
    )
}

fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed { .. } => "completed",
        AttemptEnd::NotRun(_) => "not_run",
        AttemptEnd::Broken { .. } => "broken",
        AttemptEnd::Rejected { .. } => "rejected",
    }
}
