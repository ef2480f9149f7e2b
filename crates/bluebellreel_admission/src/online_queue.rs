//! Online attempts that wait for a slot at the engine.

use bluebellreel_types::{Dispatch, EntryName, Moment};
use std::collections::VecDeque;

/// One queued attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Queued {
    /// The entry daemon that sent it.
    pub entry: EntryName,
    /// The attempt.
    pub dispatch: Box<Dispatch>,
}

/// A FIFO queue that tracks its size in attempts, bytes and tokens; admission
/// bounds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OnlineQueue {
    waiting: VecDeque<Queued>,
    bytes: usize,
    tokens: u64,
}

impl OnlineQueue {
    /// Number of queued attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Total size of the queued request bodies.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of tokens that the queued attempts will generate.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Appends an attempt.
    pub fn push(&mut self, queued: Queued) {
        self.bytes += queued.dispatch.work.body.len();
        self.tokens += u64::from(queued.dispatch.work.tokens);
        self.waiting.push_back(queued);
    }

    /// Removes the first attempt.
    pub fn pop(&mut self) -> Option<Queued> {
        let queued = self.waiting.pop_front()?;
        self.bytes -= queued.dispatch.work.body.len();
        self.tokens -= u64::from(queued.dispatch.work.tokens);
        Some(queued)
    }

    /// Removes and returns the attempts that match `unwanted`.
    pub fn remove_matching(&mut self, unwanted: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let mut taken = Vec::new();
        if !self.waiting.iter().any(&unwanted) {
            return taken;
        }
        for queued in std::mem::take(&mut self.waiting) {
            if unwanted(&queued) {
                self.bytes -= queued.dispatch.work.body.len();
                self.tokens -= u64::from(queued.dispatch.work.tokens);
                taken.push(queued);
            } else {
                self.waiting.push_back(queued);
            }
        }
        taken
    }

    /// Removes and returns the attempts whose deadline has passed.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Queued> {
        self.remove_matching(|queued| queued.dispatch.deadline.is_past(now))
    }
}
