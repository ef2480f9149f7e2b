//! Outcomes that the side process remembers.
//!
//! Guards against a call that runs twice: an attempt that was put an end to
//! before it was seen leaves a tombstone, so that a dispatch delayed on its way
//! is refused when it comes at last, and "not run" stays true. An ended attempt
//! is remembered, so that an entry that lost the answer can still read it.

use bluebellreel_types::{AttemptEnd, AttemptId, Moment};
use std::collections::{BTreeMap, BTreeSet};

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
        self.entries.insert(attempt, (entry, expiry));
        self.by_expiry.insert((expiry, attempt));
    }

    /// Forgets an attempt.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some((_, expiry)) = self.entries.remove(&attempt) {
            self.by_expiry.remove(&(expiry, attempt));
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
