//! A model of an engine with continuous batching, independent of the real clock.
//!
//! Every step generates one token for each running sequence. Its duration grows with the
//! number of running sequences and of prompt tokens read in it. The engine has no
//! priorities and admits requests in order of arrival.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Cost model of an engine's step.
#[derive(Clone, Copy, Debug)]
pub struct EngineCosts {
    /// Duration of an empty step.
    pub base: Duration,
    /// Additional duration for each running sequence.
    pub per_sequence: Duration,
    /// Additional duration for each prompt token that is not in the prefix cache.
    pub per_prompt_token: Duration,
    /// Maximum number of sequences in one step.
    pub max_sequences: usize,
    /// Number of prefixes that the prefix cache holds.
    pub cache_prefixes: usize,
}

impl Default for EngineCosts {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(4),
            per_sequence: Duration::from_micros(20),
            per_prompt_token: Duration::from_micros(10),
            max_sequences: 64,
            cache_prefixes: 64,
        }
    }
}

/// A request that waits or runs at the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Id given by the sender.
    pub id: String,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Number of prompt tokens, including those of text delivered before a resume.
    pub prompt_tokens: u32,
    /// Number of tokens generated so far by all engines.
    pub generated: u32,
    /// Total number of tokens to generate.
    pub tokens: u32,
}

/// Result of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Duration of the step.
    pub span: Duration,
    /// Ids of the sequences, each with the index of its generated token.
    pub tokens: Vec<(String, u32)>,
    /// Ids of the sequences that are complete after the step.
    pub finished: Vec<String>,
}

/// Queue, running sequences and prefix cache of an engine.
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
    /// Creates an idle engine.
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

    /// Appends a request to the queue.
    pub fn admit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Removes a request. Returns whether it was waiting or running.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|s| s.id != id);
        self.running.retain(|s| s.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Numbers of prefix cache hits and misses so far.
    #[must_use]
    pub fn cache_counts(&self) -> (u64, u64) {
        let count = |hit| self.hits.get(&hit).copied().unwrap_or(0);
        (count(true), count(false))
    }

    /// Runs one step.
    pub fn step(&mut self) -> Step {
        let mut span = self.costs.base;
        while self.running.len() < self.costs.max_sequences {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.touch_prefix(sequence.prefix);
            *self.hits.entry(cached).or_default() += 1;
            let tokens_to_read = if cached {
                sequence.generated
            } else {
                sequence.prompt_tokens
            };
            span += self.costs.per_prompt_token * tokens_to_read;
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

    /// Computes the next step and returns its duration. The caller gets the results from
    /// [`Self::take_step`] after that time has passed.
    pub fn begin_step(&mut self) -> Duration {
        let step = self.step();
        let span = step.span;
        self.pending = step;
        span
    }

    /// Returns the results of the step computed last.
    pub fn take_step(&mut self) -> Step {
        std::mem::take(&mut self.pending)
    }

    /// Marks a prefix as most recently used and evicts the least recently used ones beyond
    /// the limit. Returns whether the prefix was cached.
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
