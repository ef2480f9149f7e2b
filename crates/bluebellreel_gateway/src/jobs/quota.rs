//! Quotas: limits on the waiting tokens of each route, or of each team on a route.

use super::open;
use super::stored::key;
use crate::gateway::Gateway;
use bluebellreel_batch::{JobRecord, QuotaLedger, keys};
use bluebellreel_dispatch::Route;
use bluebellreel_kv::{Compare, KvError, Put, Txn};
use bluebellreel_types::JobId;
use log::warn;
use std::sync::Arc;
use tokio::time::Instant;

/// Share of a quota in percent above which acceptances go through the quota's ledger.
/// Below it, up to four daemons that accept concurrently, each without the others'
/// acceptances, still stay within the quota.
const LEDGER_THRESHOLD_PERCENT: u64 = 25;

/// Waits until the store's open jobs were read since this daemon started. Returns
/// whether this happened before the deadline. Only submissions to routes with a quota
/// wait.
pub(crate) async fn wait_until_countable(gw: &Gateway, route: &Route, deadline: Instant) -> bool {
    route.quota_tokens == 0 || open::wait_until_listed(gw, deadline).await
}

/// A limit on waiting tokens, over all daemons.
#[derive(Clone, Debug)]
pub(super) struct Quota {
    /// What is counted against it; see [`bluebellreel_batch::quota_scope`].
    pub(super) scope: Arc<str>,
    /// Maximum number of waiting tokens; zero for no limit.
    pub(super) tokens: u64,
}

impl Quota {
    /// The quota that a job counts against.
    pub(super) fn of(route: &Route, record: &JobRecord) -> Self {
        Self {
            scope: record.quota_scope(),
            tokens: route.quota_tokens,
        }
    }

    /// Tokens that wait at all daemons, as far as this daemon knows.
    pub(super) fn tokens_waiting(&self, gw: &Gateway) -> u64 {
        let jobs = gw.jobs.borrow();
        let own = jobs.tokens_by_scope().get(&*self.scope).copied();
        let reported = gw.members.borrow().tokens(&self.scope, gw.now());
        own.unwrap_or(0) + reported + jobs.open.tokens(&self.scope)
    }

    /// Whether a job with this number of tokens fits, as far as this daemon knows.
    pub(super) fn fits(&self, gw: &Gateway, tokens: u64) -> bool {
        self.tokens == 0 || self.tokens_waiting(gw) + tokens <= self.tokens
    }

    /// Whether the acceptance of a job must go through the ledger.
    pub(super) fn needs_ledger(&self, gw: &Gateway, tokens: u64) -> bool {
        let waiting = self.tokens_waiting(gw) + tokens;
        self.tokens > 0 && waiting * 100 > self.tokens * LEDGER_THRESHOLD_PERCENT
    }

    /// Adds an update of the ledger to the transaction that accepts a job. `None` if the
    /// job exceeds the quota.
    ///
    /// # Errors
    ///
    /// Fails if the ledger cannot be read from the store.
    pub(super) async fn add_ledger(
        &self,
        gw: &Gateway,
        id: &JobId,
        tokens: u64,
        txn: &Txn,
    ) -> Result<Option<Txn>, KvError> {
        let ledger_key = key(&keys::quota(&self.scope));
        let stored = gw.store.read(&ledger_key).await?;
        let mut ledger = match &stored {
            Some(kv) => QuotaLedger::try_from(kv.value.as_slice()).unwrap_or_else(|e| {
                warn!(target: "jobs", scope:% = self.scope, error:% = e; "quota ledger not readable, reset");
                QuotaLedger::default()
            }),
            None => QuotaLedger::default(),
        };
        let now = gw.now();
        let unreported = {
            let jobs = gw.jobs.borrow();
            let is_known = |job: &JobId| job == id || jobs.is_counted(job) || jobs.open.counts(job);
            ledger.unreported(is_known, now)
        };
        if self.tokens_waiting(gw) + unreported + tokens > self.tokens {
            return Ok(None);
        }
        ledger.add(id.clone(), tokens, now);
        let compare = match &stored {
            Some(kv) => Compare::Unchanged(ledger_key.clone(), kv.revision),
            None => Compare::Absent(ledger_key.clone()),
        };
        let mut txn = txn.clone().and(compare);
        txn.puts.push(Put::lasting(ledger_key, ledger.encode()));
        Ok(Some(txn))
    }
}
