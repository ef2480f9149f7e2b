//! Jobs accepted lately on a route whose quota is nearly used up.
//!
//! Daemons know from each other's reports how much waits, a moment late. Two
//! that accept at the same moment would both see room for one. Near the quota
//! each acceptance therefore also changes the route's ledger in the store,
//! guarded by its revision: the second one fails, reads the ledger and sees
//! the first.

use crate::RecordError;
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long an entry is kept: reports take well below a second, and clocks of
/// daemons may differ by some seconds.
const KEPT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    job: JobId,
    tokens: u64,
    accepted_at: Moment,
}

/// The ledger of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLedger {
    entries: Vec<Entry>,
}

impl QuotaLedger {
    /// Adds a job, and drops entries that everybody knows by now.
    pub fn add(&mut self, job: JobId, tokens: u64, now: Moment) {
        self.entries
            .retain(|e| !(e.accepted_at + KEPT).is_past(now));
        self.entries.push(Entry {
            job,
            tokens,
            accepted_at: now,
        });
    }

    /// Tokens of jobs that the reports do not contain yet.
    pub fn unreported(&self, is_known: impl Fn(&JobId) -> bool, now: Moment) -> u64 {
        let young = self
            .entries
            .iter()
            .filter(|e| !(e.accepted_at + KEPT).is_past(now));
        young.filter(|e| !is_known(&e.job)).map(|e| e.tokens).sum()
    }

    /// The ledger as it is stored.
    ///
    /// # Panics
    ///
    /// Never: a ledger holds nothing that JSON cannot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a ledger is plain data")
    }
}

impl TryFrom<&[u8]> for QuotaLedger {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
