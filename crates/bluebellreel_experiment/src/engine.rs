//! A simulated engine: the stand-in's engine model, with faults.

use bluebellreel_standins::{EngineCosts, EngineModel, Sequence, Step};
use bluebellreel_types::{AttemptId, Dispatch};
use std::collections::HashMap;
use std::time::Duration;

/// A simulated engine.
pub(crate) struct Engine {
    model: EngineModel,
    ids: HashMap<String, AttemptId>,
    /// Whether a step is in progress.
    pub(crate) stepping: bool,
    /// Whether the engine is down.
    pub(crate) dead: bool,
    /// Duration of a step in percent of the normal duration.
    pub(crate) slow_percent: u32,
}

/// The result of an engine's step.
pub(crate) struct StepResult {
    pub(crate) span: Duration,
    pub(crate) tokens: Vec<AttemptId>,
    pub(crate) finished: Vec<AttemptId>,
}

impl Engine {
    pub(crate) fn new(costs: EngineCosts) -> Self {
        Self {
            model: EngineModel::new(costs),
            ids: HashMap::new(),
            stepping: false,
            dead: false,
            slow_percent: 100,
        }
    }

    pub(crate) fn admit(&mut self, dispatch: &Dispatch, prompt_tokens: u32) {
        let id = dispatch.attempt.to_string();
        let delivered = dispatch.resume.split_whitespace().count();
        let generated = u32::try_from(delivered).unwrap_or(0);
        self.ids.insert(id.clone(), dispatch.attempt);
        self.model.admit(Sequence {
            id,
            prefix: dispatch.work.prefix,
            prompt_tokens: prompt_tokens + generated,
            generated,
            tokens: dispatch.work.tokens.max(generated + 1),
        });
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let id = attempt.to_string();
        self.model.cancel(&id);
        self.ids.remove(&id);
    }

    /// Drops all attempts because the engine went down, and returns them.
    pub(crate) fn drop_all(&mut self) -> Vec<AttemptId> {
        let mut lost: Vec<AttemptId> = self.ids.drain().map(|(_, attempt)| attempt).collect();
        lost.sort_unstable();
        for attempt in &lost {
            self.model.cancel(&attempt.to_string());
        }
        lost
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.model.is_idle()
    }

    /// Number of sequences at the engine, running or waiting.
    pub(crate) fn load(&self) -> usize {
        self.model.running() + self.model.waiting()
    }

    pub(crate) fn step(&mut self) -> StepResult {
        let Step {
            span,
            tokens,
            finished,
        } = self.model.step();
        let known = |id: &String| self.ids.get(id).copied();
        let result = StepResult {
            span: span * self.slow_percent / 100,
            tokens: tokens.iter().filter_map(|(id, _)| known(id)).collect(),
            finished: finished.iter().filter_map(known).collect(),
        };
        for id in finished {
            self.ids.remove(&id);
        }
        result
    }
}
