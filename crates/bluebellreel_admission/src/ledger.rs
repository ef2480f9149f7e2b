//! Outcomes that the side process remembers.
//!
//! Guards against a call that runs twice: an attempt that was put an end to
//! before it was seen leaves a tombstone, so that a dispatch delayed on its way
//! is refused when it comes at last, and "not run" stays true. An ended attempt
//! is remembered, so that an entry that lost the answer can still read it.

use bluebellreel_types::{AttemptEnd, AttemptId, BrokenReason, Moment};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What is known of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEntry {
    /// Put an end to before it was seen.
    Tombstone,
    /// Admitted: queued or at the engine.
    Open,
    /// Ended this way.
    Ended(AttemptEnd),
}

/// Attempts by id, forgotten some time after their deadline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    entries: BTreeMap<AttemptId, (LedgerEntry, Moment)>,
    by_expiry: BTreeSet<(Moment, AttemptId)>,
    bytes: usize,
}

/// Bytes of the answer that an entry keeps.
fn text_bytes(entry: &LedgerEntry) -> usize {
    match entry {
        LedgerEntry::Ended(AttemptEnd::Completed { body, .. }) => body.len(),
        LedgerEntry::Ended(AttemptEnd::Broken { partial, .. }) => partial.len(),
        LedgerEntry::Ended(_) | LedgerEntry::Open | LedgerEntry::Tombstone => 0,
    }
}

impl Ledger {
    /// What is known of an attempt.
    #[must_use]
    pub fn get(&self, attempt: AttemptId) -> Option<&LedgerEntry> {
        self.entries.get(&attempt).map(|(entry, _)| entry)
    }

    /// Notes an attempt until `expiry`.
    pub fn put(&mut self, attempt: AttemptId, entry: LedgerEntry, expiry: Moment) {
        self.remove(attempt);
        self.bytes += text_bytes(&entry);
        self.entries.insert(attempt, (entry, expiry));
        self.by_expiry.insert((expiry, attempt));
    }

    /// Forgets an attempt.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some((entry, expiry)) = self.entries.remove(&attempt) {
            self.bytes -= text_bytes(&entry);
            self.by_expiry.remove(&(expiry, attempt));
        }
    }

    /// Lets answers go, those that expire first before others, until at most
    /// `most` bytes are kept. That such a call ran is still told: as one that
    /// broke off, so that nobody takes an empty answer for the whole.
    pub fn strip_texts(&mut self, most: usize) {
        if self.bytes <= most {
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
            if self.bytes <= most {
                return;
            }
        }
    }

    /// Forgets ended attempts whose expiry has come.
    pub fn forget_expired(&mut self, now: Moment) {
        while let Some(&(expiry, attempt)) = self.by_expiry.first() {
            if !expiry.is_past(now) {
                return;
            }
            self.remove(attempt);
        }
    }

    /// Attempts remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
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

    /// Answers of an hour would fill the process. Of the oldest only that they
    /// ran is kept: never nothing, or "not run" would be told of them.
    #[test]
    fn old_answers_go_but_not_that_they_ran() {
        let mut ledger = Ledger::default();
        ledger.put(attempt(1), answer("old"), Moment(1));
        ledger.put(attempt(2), answer("new"), Moment(2));
        ledger.strip_texts(4);
        let old = ledger.get(attempt(1));
        let is_told = matches!(
            old,
            Some(LedgerEntry::Ended(AttemptEnd::Broken {
                reason: BrokenReason::Forgotten,
                ..
            }))
        );
        assert!(is_told, "{old:?}");
        assert_eq!(ledger.get(attempt(2)), Some(&answer("new")));
        ledger.remove(attempt(2));
        ledger.strip_texts(0);
        assert_eq!(ledger.len(), 1);
    }
}
