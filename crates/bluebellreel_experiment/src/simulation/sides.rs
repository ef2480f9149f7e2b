//! Side processes of a simulation and the steps of their engines.

use super::{SimEvent, Simulation, UNLIMITED_WINDOW, entry, worker_name};
use crate::Mode;
use bluebellreel_admission::{self as admission, BatchWindow, EngineEnd};
use bluebellreel_routing as routing;
use bluebellreel_types::{AttemptEnd, AttemptId, Class, Dispatch, Moment, NotRunReason};
use std::sync::Arc;

impl Simulation<'_> {
    pub(super) fn admit(&mut self, index: usize, event: admission::Event) {
        if self.mode == Mode::FirstCome
            && let admission::Event::Arrived { dispatch, .. } = event
        {
            let attempt = dispatch.attempt;
            if self.sides[index].engine.dead {
                self.route(routing::Event::AttemptEnded {
                    worker: worker_name(index),
                    attempt,
                    end: AttemptEnd::NotRun(NotRunReason::Unreachable),
                    load: None,
                });
                return;
            }
            self.start(index, &dispatch);
            self.track(index, attempt, dispatch);
            return;
        }
        if self.mode == Mode::FirstCome {
            let open = BatchWindow::new(UNLIMITED_WINDOW, self.scenario.priority);
            self.sides[index].admission.batch_window = open;
        }
        let effects = admission::step(&mut self.sides[index].admission, event, self.now);
        for effect in effects {
            self.apply_admission_effect(index, effect);
        }
    }

    /// First-come mode bypasses admission, so the attempt is entered into the side
    /// process's running attempts directly.
    pub(super) fn track(&mut self, index: usize, attempt: AttemptId, dispatch: Box<Dispatch>) {
        let running = admission::Running {
            entry: entry(),
            dispatch,
            started_at: self.now,
            last_token_at: None,
            tokens: 0,
            text: String::new(),
            stopping: None,
            unreported: false,
        };
        self.sides[index].admission.running.insert(attempt, running);
    }

    fn apply_admission_effect(&mut self, index: usize, effect: admission::Effect) {
        match effect {
            admission::Effect::StartEngine(dispatch) => self.start(index, &dispatch),
            admission::Effect::CancelEngine(attempt) => {
                self.sides[index].engine.cancel(attempt);
                self.cancelled_at.insert(attempt, self.now);
                let end = EngineEnd::Broken;
                self.admit(index, admission::Event::EngineEnded { attempt, end });
            }
            admission::Effect::SendPart { attempt, text } => {
                self.route(routing::Event::PartArrived { attempt, text });
            }
            admission::Effect::SendEnd { attempt, end } => {
                let load = Some(self.sides[index].admission.load(self.now));
                self.route(routing::Event::AttemptEnded {
                    worker: worker_name(index),
                    attempt,
                    end,
                    load,
                });
            }
            admission::Effect::Pull { entry, room } => self.pull(index, entry, room),
            admission::Effect::Report { report, .. } => {
                self.record_report(&report.end, report.attempt);
            }
            admission::Effect::SendVerdict { .. } => {}
        }
    }

    pub(super) fn start(&mut self, index: usize, dispatch: &Dispatch) {
        if self.sides[index].engine.dead {
            let attempt = dispatch.attempt;
            let end = EngineEnd::Unreachable;
            self.admit(index, admission::Event::EngineEnded { attempt, end });
            return;
        }
        self.count_late_start(dispatch);
        let request = dispatch.attempt.request;
        let prompt = self.prompts.get(&request).copied().unwrap_or(60);
        self.sides[index].engine.admit(dispatch, prompt);
        self.begin_step(index);
    }

    fn begin_step(&mut self, index: usize) {
        let side = &mut self.sides[index];
        if side.engine.stepping || side.engine.dead || side.engine.is_idle() {
            return;
        }
        let result = side.engine.step();
        side.engine.stepping = true;
        self.next_step += 1;
        let at = self.now + result.span;
        side.steps.insert(self.next_step, result);
        self.schedule(at, SimEvent::StepDone(index, self.next_step));
    }

    pub(super) fn step_done(&mut self, index: usize, step: u64) {
        self.sides[index].engine.stepping = false;
        // A slot whose attempt is cancelled during a step becomes free at the step's
        // end.
        let freed: Vec<Moment> = self.cancelled_at.drain().map(|(_, at)| at).collect();
        for at in freed {
            self.preemption.record(self.now.since(at));
        }
        let Some(result) = self.sides[index].steps.remove(&step) else {
            return;
        };
        for attempt in result.tokens {
            self.token(index, attempt);
        }
        for attempt in result.finished {
            let end = EngineEnd::Completed {
                status: 200,
                body: Arc::from([]),
            };
            self.admit(index, admission::Event::EngineEnded { attempt, end });
        }
        self.begin_step(index);
    }

    fn token(&mut self, index: usize, attempt: AttemptId) {
        let Some(running) = self.sides[index].admission.running.get(&attempt) else {
            return;
        };
        if running.dispatch.class == Class::Batch {
            if self.is_measuring() {
                self.batch_tokens += 1;
            }
            if self.is_poison(&running.dispatch.clone()) {
                self.break_streams(index);
                return;
            }
        }
        if self.crashes_engine(attempt) {
            self.crash(index);
            return;
        }
        let text = Arc::from("w ");
        let tokens = 1;
        self.admit(
            index,
            admission::Event::EngineText {
                attempt,
                text,
                tokens,
            },
        );
    }
}
