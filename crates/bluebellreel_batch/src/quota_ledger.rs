//! Recently accepted jobs of a route whose quota is nearly used up.
//!
//! Each daemon gets the number of tokens waiting on a route from the reports of the
//! others, with a short delay. Two daemons that accept jobs at the same moment could
//! both see room for one job. Near the quota, each acceptance therefore also updates
//! the route's ledger in the store, guarded by the ledger's revision: the second update
//! fails, and its daemon rereads the ledger and sees the first job.

use crate::RecordError;
use crate::tokens::bounded_job_tokens;
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Retention of an entry. Reports arrive well within a second, and the clocks of
/// daemons may differ by some seconds.
const ENTRY_RETENTION: Duration = Duration::from_secs(10);

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
    /// Adds a job and removes entries older than `ENTRY_RETENTION`, whose jobs are in
    /// every daemon's reports by then.
    pub fn add(&mut self, job: JobId, tokens: u64, now: Moment) {
        self.entries
            .retain(|e| !(e.accepted_at + ENTRY_RETENTION).is_past(now));
        self.entries.push(Entry {
            job,
            tokens,
            accepted_at: now,
        });
    }

    /// Tokens of jobs that are not in the reports yet.
    pub fn unreported(&self, is_known: impl Fn(&JobId) -> bool, now: Moment) -> u64 {
        let recent = self
            .entries
            .iter()
            .filter(|e| !(e.accepted_at + ENTRY_RETENTION).is_past(now));
        recent.filter(|e| !is_known(&e.job)).map(|e| e.tokens).sum()
    }

    /// Encodes the ledger for the store.
    ///
    /// # Panics
    ///
    /// Never: a ledger always serializes to JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a ledger is plain data")
    }
}

impl TryFrom<&[u8]> for QuotaLedger {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let mut ledger: Self = serde_json::from_slice(bytes)?;
        for entry in &mut ledger.entries {
            entry.tokens = bounded_job_tokens(entry.tokens);
        }
        Ok(ledger)
    }
}
