//! A model of a continuously batching engine, stepped by its caller's clock.
//!
//! Every step gives one token to each running sequence and takes longer the
//! more of them there are and the more prompt tokens were read in it. It knows
//! no priorities and admits requests in their order of arrival.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// What an engine's step costs.
#[derive(Clone, Copy, Debug)]
pub struct EngineCosts {
    /// An empty step.
    pub base: Duration,
    /// Added for each running sequence.
    pub per_sequence: Duration,
    /// Added for each prompt token that is not in the prefix cache.
    pub per_prompt_token: Duration,
    /// Most sequences in one step.
    pub most_sequences: usize,
    /// Prompts whose prefix the cache holds.
    pub cache_prefixes: usize,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(4),
            per_sequence: Duration::from_micros(20),
            per_prompt_token: Duration::from_micros(10),
            most_sequences: 64,
            cache_prefixes: 64,
        }
    }
}

/// One request at the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// The sender's id for it.
    pub id: String,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Prompt tokens, those of delivered text included.
    pub prompt_tokens: u32,
    /// Tokens generated so far, over all engines.
    pub generated: u32,
    /// Tokens to generate in all.
    pub tokens: u32,
}

/// What one step did.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// How long it takes.
    pub span: Duration,
    /// Ids with the index of the token that each got.
    pub tokens: Vec<(String, u32)>,
    /// Ids that are complete after it.
    pub finished: Vec<String>,
}

/// The engine's state.
#[derive(Clone, Debug)]
pub struct EngineModel {
    costs: EngineCosts,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: VecDeque<u64>,
    hits: HashMap<bool, u64>,
    pending: Step,
}

impl EngineModel {
    /// An idle engine.
    #[must_use]
    pub fn new(costs: EngineCosts) -> Self {
        Self {
            costs,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            hits: HashMap::new(),
            pending: Step::default(),
        }
    }

    /// Queues a request, first come first served.
    pub fn admit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Drops a request; whether it was there.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|s| s.id != id);
        self.running.retain(|s| s.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Sequences running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prefix cache hits and misses so far.
    #[must_use]
    pub fn cache_counts(&self) -> (u64, u64) {
        let count = |hit| self.hits.get(&hit).copied().unwrap_or(0);
        (count(true), count(false))
    }

    /// Runs one step.
    pub fn step(&mut self) -> Step {
        let mut span = self.costs.base;
        while self.running.len() < self.costs.most_sequences {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.touch_prefix(sequence.prefix);
            *self.hits.entry(cached).or_default() += 1;
            let read = if cached {
                sequence.generated
            } else {
                sequence.prompt_tokens
            };
            span += self.costs.per_prompt_token * read;
            self.running.push(sequence);
        }
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        span += self.costs.per_sequence * running;
        let mut step = Step {
            span,
            ..Step::default()
        };
        for sequence in &mut self.running {
            step.tokens.push((sequence.id.clone(), sequence.generated));
            sequence.generated += 1;
            if sequence.generated >= sequence.tokens {
                step.finished.push(sequence.id.clone());
            }
        }
        self.running.retain(|s| s.generated < s.tokens);
        step
    }

    /// Works out the next step and says how long it takes; its results are
    /// handed out by [`Self::take_step`] once that time has passed.
    pub fn step_costed(&mut self) -> Duration {
        let step = self.step();
        let span = step.span;
        self.pending = step;
        span
    }

    /// The results of the step begun last.
    pub fn take_step(&mut self) -> Step {
        std::mem::take(&mut self.pending)
    }

    /// Moves a prefix to the fresh end of the cache; whether it was there.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let before = self.cache.len();
        self.cache.retain(|known| *known != prefix);
        let hit = self.cache.len() != before;
        self.cache.push_back(prefix);
        while self.cache.len() > self.costs.cache_prefixes {
            self.cache.pop_front();
        }
        hit
    }
}
