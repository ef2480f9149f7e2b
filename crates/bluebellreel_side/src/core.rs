//! The side process's state: handles messages and executes their effects.

use crate::drain_tracker::DrainTracker;
use crate::fence::Fence;
use crate::handles::{BackendOrder, Handles};
use crate::message::{LoadResultSender, Message};
use bluebellreel_admission::{Admission, Effect, Event, step};
use bluebellreel_rpc::{SideCommand, SideNotice};
use bluebellreel_telemetry::{OutcomeLabel, Span};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, BrokenReason, Dispatch, EntryName,
    ModelVersion, Moment, TraceContext,
};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// Owns the admission state and executes its effects.
pub(crate) struct SideCore {
    state: Admission,
    handles: Handles,
    verdicts: HashMap<AttemptId, oneshot::Sender<AttemptVerdict>>,
    spans: HashMap<AttemptId, Span>,
    reports: BTreeMap<EntryName, Vec<BatchReport>>,
    generation: u64,
    fence: Fence,
    pending_loads: HashMap<ModelVersion, Vec<LoadResultSender>>,
    drain: DrainTracker,
}

impl SideCore {
    pub(crate) fn new(state: Admission, handles: Handles) -> Self {
        Self {
            state,
            handles,
            verdicts: HashMap::new(),
            spans: HashMap::new(),
            reports: BTreeMap::new(),
            generation: 0,
            fence: Fence::default(),
            pending_loads: HashMap::new(),
            drain: DrainTracker::default(),
        }
    }

    /// Checks deadlines and updates the load gauges.
    pub(crate) fn tick(&mut self) {
        self.apply(Event::Ticked);
        self.handles
            .metrics
            .online
            .set(i64::from(self.state.online()));
        let batch = self.state.count(bluebellreel_types::Class::Batch);
        self.handles.metrics.batch.set(i64::from(batch));
    }

    pub(crate) fn on_message(&mut self, message: Message) {
        match message {
            Message::Rpc(notice) => self.on_notice(notice),
            Message::Text {
                attempt,
                text,
                tokens,
            } => self.apply(Event::EngineText {
                attempt,
                text,
                tokens,
            }),
            Message::Ended { attempt, end } => self.apply(Event::EngineEnded { attempt, end }),
            Message::Models(models) => self.apply(Event::ModelsChanged(models)),
            Message::LoadEnded { model, loaded } => {
                for answer in self.pending_loads.remove(&model).unwrap_or_default() {
                    answer.send(loaded).ok();
                }
            }
            Message::MetricsRequested(answer) => {
                answer.send(self.handles.metrics.text()).ok();
            }
            Message::StopRequested => self.apply(Event::DrainAsked),
        }
    }

    /// Whether the process could end now without interrupting an attempt or
    /// losing a report.
    pub(crate) fn is_idle(&self) -> bool {
        self.state.is_idle() && self.reports.is_empty()
    }

    /// Whether no message to or from an entry daemon is in transit and all
    /// connected entry daemons have been notified of the stop.
    pub(crate) fn is_settled(&self) -> bool {
        self.drain.is_settled()
    }

    fn on_notice(&mut self, notice: SideNotice) {
        match notice {
            SideNotice::Connected(entry) => {
                log::info!(target: "side", entry:% = entry; "Entry daemon connected.");
                self.drain.record_connected(entry);
            }
            SideNotice::Lost(entry) => {
                log::warn!(target: "side", entry:% = entry; "Connection to entry daemon lost.");
                self.drain.record_lost(&entry);
                self.apply(Event::EntryLost(entry));
            }
            SideNotice::Submitted { entry, dispatch } => {
                self.begin_span(&dispatch);
                self.apply(Event::Arrived { entry, dispatch });
            }
            SideNotice::CancelRequested { attempt, answer } => {
                self.verdicts.insert(attempt, answer);
                self.apply(Event::CancelAsked { attempt });
            }
            SideNotice::Withdrawn(attempts) => self.apply(Event::Withdrawn(attempts)),
            SideNotice::Offered { entry, waiting } => {
                self.apply(Event::Offered { entry, waiting });
            }
            SideNotice::Pulled { entry, items } => {
                self.drain.record_pull_answered();
                for item in &items {
                    self.begin_span(item);
                }
                self.apply(Event::Pulled { entry, items });
            }
            SideNotice::ReportLost { entry } => {
                log::warn!(target: "side", entry:% = entry; "Batch results could not be reported to the entry daemon.");
            }
            SideNotice::LoadRequested(answer) => {
                answer.send(self.state.load(self.now())).ok();
            }
            SideNotice::LoadDelivered { entry, leaving } => self.drain.record_load(entry, leaving),
            SideNotice::Delivered => self.drain.record_delivered(),
            SideNotice::Configured {
                generation, answer, ..
            } => {
                self.generation = self.generation.max(generation);
                answer.send(self.generation).ok();
            }
            SideNotice::DrainRequested => self.apply(Event::DrainAsked),
            SideNotice::FenceAnnounced(fence) => self.fence.observe(fence),
            SideNotice::Ordered {
                fence,
                model,
                answer,
            } => self.order(fence, model, answer),
        }
    }

    /// Sends a load order to the backend server, unless a matcher with a higher
    /// fencing number has been seen. An order for a model that is already being
    /// loaded waits for that load's result instead of starting a second one.
    fn order(&mut self, fence: u64, model: ModelVersion, answer: LoadResultSender) {
        if !self.fence.admits(fence) {
            log::warn!(target: "side", fence; "Load order refused: its fencing number is stale.");
            answer.send(false).ok();
            return;
        }
        let waiting = self.pending_loads.entry(model.clone()).or_default();
        waiting.push(answer);
        if waiting.len() == 1 {
            (self.handles.backend)(BackendOrder::Load(fence, model));
        }
    }

    fn now(&self) -> Moment {
        self.handles.clock.now()
    }

    fn begin_span(&mut self, dispatch: &Dispatch) {
        let span = Span::begin(dispatch.trace, "side admission", self.now());
        self.spans.insert(dispatch.attempt, span);
    }

    fn end_span(&mut self, attempt: AttemptId, end: &AttemptEnd) {
        let label = end_label(end);
        let outcome = OutcomeLabel { outcome: label };
        self.handles.metrics.attempts.get_or_create(&outcome).inc();
        if let Some(span) = self.spans.remove(&attempt) {
            let span = span.with("end", label);
            self.handles.tracer.finish(span, self.handles.clock.now());
        }
    }

    fn child_context(&self, dispatch: &Dispatch) -> TraceContext {
        self.spans
            .get(&dispatch.attempt)
            .map_or(dispatch.trace, Span::child_context)
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        for effect in step(&mut self.state, event, now) {
            self.execute(effect, now);
        }
        for (entry, reports) in std::mem::take(&mut self.reports) {
            self.drain.record_sent();
            self.send(SideCommand::Report { entry, reports });
        }
    }

    fn execute(&mut self, effect: Effect, now: Moment) {
        match effect {
            Effect::StartEngine(mut dispatch) => {
                dispatch.trace = self.child_context(&dispatch);
                (self.handles.backend)(BackendOrder::Start(dispatch));
            }
            Effect::CancelEngine(attempt) => {
                (self.handles.backend)(BackendOrder::Cancel(attempt));
            }
            Effect::SendPart { attempt, text } => self.send(SideCommand::Part { attempt, text }),
            Effect::SendEnd { attempt, end } => {
                self.end_span(attempt, &end);
                let load = self.state.load(now);
                self.drain.record_sent();
                self.send(SideCommand::End { attempt, end, load });
            }
            Effect::Pull { entry, room } => {
                self.drain.record_pull();
                self.send(SideCommand::Pull { entry, room });
            }
            Effect::Report { entry, report } => {
                self.end_span(report.attempt, &report.end);
                if is_preempted(&report.end) {
                    self.handles.metrics.preemptions.inc();
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
        // Sending cannot fail: the RPC thread runs as long as the process.
        self.handles.rpc.send(command).ok();
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
