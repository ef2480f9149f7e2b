//! Recent attempts and their outcomes.
//!
//! The ledger prevents a call from running twice. Cancelling an attempt that has
//! not arrived yet leaves a tombstone, so that its delayed dispatch is refused
//! when it arrives and the answer "not run" remains correct. Ended attempts are kept,
//! so that an entry daemon that lost the answer can still read it.

use bluebellreel_types::{AttemptEnd, AttemptId, BrokenReason, Moment};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The state of one attempt in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEntry {
    /// Cancelled before it arrived.
    Tombstone,
    /// Admitted: queued or at the engine.
    Open,
    /// Ended, with its outcome.
    Ended(AttemptEnd),
}

/// Attempts by id, each evicted some time after its deadline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    entries: BTreeMap<AttemptId, (LedgerEntry, Moment)>,
    by_expiry: BTreeSet<(Moment, AttemptId)>,
    bytes: usize,
}

/// Size of the answer text that an entry holds.
fn text_bytes(entry: &LedgerEntry) -> usize {
    match entry {
        LedgerEntry::Ended(AttemptEnd::Completed { body, .. }) => body.len(),
        LedgerEntry::Ended(AttemptEnd::Broken { partial, .. }) => partial.len(),
        LedgerEntry::Ended(_) | LedgerEntry::Open | LedgerEntry::Tombstone => 0,
    }
}

impl Ledger {
    /// The entry of an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&LedgerEntry> {
        self.entries.get(&attempt).map(|(entry, _)| entry)
    }

    /// Inserts or replaces an attempt's entry, kept until `expiry`.
    pub fn put(&mut self, attempt: AttemptId, entry: LedgerEntry, expiry: Moment) {
        self.remove(attempt);
        self.bytes += text_bytes(&entry);
        self.entries.insert(attempt, (entry, expiry));
        self.by_expiry.insert((expiry, attempt));
    }

    /// Removes an attempt's entry.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some((entry, expiry)) = self.entries.remove(&attempt) {
            self.bytes -= text_bytes(&entry);
            self.by_expiry.remove(&(expiry, attempt));
        }
    }

    /// Drops answers, those that expire first before others, until at most
    /// `max_bytes` are kept. Such a call is still known to have run: it is recorded
    /// as broken off, so that an empty answer is not taken for the complete one.
    pub fn drop_texts(&mut self, max_bytes: usize) {
        if self.bytes <= max_bytes {
            return;
        }
        for (_, attempt) in &self.by_expiry {
            let Some((entry, _)) = self.entries.get_mut(attempt) else {
                continue;
            };
            let bytes = text_bytes(entry);
            if bytes > 0 {
                let reason = BrokenReason::Forgotten;
                let partial = Arc::from("");
                *entry = LedgerEntry::Ended(AttemptEnd::Broken { reason, partial });
                self.bytes -= bytes;
            }
            if self.bytes <= max_bytes {
                return;
            }
        }
    }

    /// Evicts the entries whose expiry has passed.
    pub fn evict_expired(&mut self, now: Moment) {
        while let Some(&(expiry, attempt)) = self.by_expiry.first() {
            if !expiry.is_past(now) {
                return;
            }
            self.remove(attempt);
        }
    }

    /// Number of attempts in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bluebellreel_types::RequestId;

    fn attempt(number: u64) -> AttemptId {
        AttemptId {
            request: RequestId(number),
            number: 1,
        }
    }

    fn answer(text: &str) -> LedgerEntry {
        LedgerEntry::Ended(AttemptEnd::Completed {
            status: 200,
            body: Arc::from(text.as_bytes()),
            tokens: 0,
        })
    }

    /// The answers of an hour would fill the process's memory, so the oldest are
    /// dropped. Their entries must stay: without them, callers would get "not run"
    /// for calls that ran.
    #[test]
    fn dropped_answers_still_count_as_run() {
        let mut ledger = Ledger::default();
        ledger.put(attempt(1), answer("old"), Moment(1));
        ledger.put(attempt(2), answer("new"), Moment(2));
        ledger.drop_texts(4);
        let old = ledger.get(attempt(1));
        let is_recorded = matches!(
            old,
            Some(LedgerEntry::Ended(AttemptEnd::Broken {
                reason: BrokenReason::Forgotten,
                ..
            }))
        );
        assert!(is_recorded, "{old:?}");
        assert_eq!(ledger.get(attempt(2)), Some(&answer("new")));
        ledger.remove(attempt(2));
        ledger.drop_texts(0);
        assert_eq!(ledger.len(), 1);
    }
}
