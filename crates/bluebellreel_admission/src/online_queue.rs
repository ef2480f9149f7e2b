//! Online attempts that wait for a place at the engine.

use bluebellreel_types::{Dispatch, EntryName, Moment};
use std::collections::VecDeque;

/// One waiting attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Queued {
    /// Who sent it.
    pub entry: EntryName,
    /// The attempt.
    pub dispatch: Box<Dispatch>,
}

/// A queue bounded in count and bytes, served in order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OnlineQueue {
    waiting: VecDeque<Queued>,
    bytes: usize,
    tokens: u64,
}

impl OnlineQueue {
    /// Attempts waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Bytes of work waiting.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Tokens that the waiting attempts will generate.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds an attempt at the end.
    pub fn push(&mut self, queued: Queued) {
        self.bytes += queued.dispatch.work.body.len();
        self.tokens += u64::from(queued.dispatch.work.tokens);
        self.waiting.push_back(queued);
    }

    /// Takes the first attempt.
    pub fn pop(&mut self) -> Option<Queued> {
        let queued = self.waiting.pop_front()?;
        self.bytes -= queued.dispatch.work.body.len();
        self.tokens -= u64::from(queued.dispatch.work.tokens);
        Some(queued)
    }

    /// Takes out the attempts that `unwanted` picks.
    pub fn take_out(&mut self, unwanted: impl Fn(&Queued) -> bool) -> Vec<Queued> {
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

    /// Takes out the attempts whose deadline has passed.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Queued> {
        self.take_out(|queued| queued.dispatch.deadline.is_past(now))
    }
}
