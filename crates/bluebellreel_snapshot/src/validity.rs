//! Tells facts that the store has confirmed from facts of a snapshot, which expire.

use crate::SharedFacts;
use bluebellreel_types::Moment;
use std::time::Duration;

/// How long a daemon's facts are valid. Facts from the store, received directly or through
/// peers, do not expire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Validity {
    /// When the facts expire, if they come from a snapshot.
    until: Option<Moment>,
}

impl Validity {
    /// Whether the facts come from a snapshot and the store has not confirmed them.
    #[must_use]
    pub fn is_from_snapshot(&self) -> bool {
        self.until.is_some()
    }

    /// How much longer the facts are valid; none if they do not expire.
    #[must_use]
    pub fn left(&self, now: Moment) -> Option<Duration> {
        Some(self.until?.since(now))
    }

    /// Records that the store has confirmed the facts.
    pub fn confirm(&mut self) {
        self.until = None;
    }

    /// Updates the validity before `facts` of another daemon are merged. `operator_seen`
    /// is the revision up to which the own facts include all writes of operators, none if
    /// there are no facts yet.
    ///
    /// A daemon that has read the workers from the store, but no configuration yet, has no
    /// facts that expire. It confirms nothing about the configuration of a snapshot.
    pub fn merge(&mut self, operator_seen: Option<i64>, facts: &SharedFacts, now: Moment) {
        let Some(left) = facts.valid_for else {
            let confirms = facts.operator_seen >= operator_seen.unwrap_or_default();
            if confirms && facts.operator_seen > 0 {
                self.until = None;
            }
            return;
        };
        if operator_seen.is_none() || self.until.is_some() {
            let until = now + left;
            self.until = Some(self.until.unwrap_or(until).max(until));
        }
    }

    /// Whether the facts have expired.
    #[must_use]
    pub fn is_over(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| until.is_past(now))
    }
}
