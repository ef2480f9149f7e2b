//! Quotas: limits on the waiting tokens of each route.

use super::open;
use super::stored::key;
use crate::gateway::Gateway;
use bluebellreel_batch::{QuotaLedger, keys};
use bluebellreel_dispatch::Route;
use bluebellreel_kv::{Compare, KvError, Put, Txn};
use bluebellreel_types::JobId;
use log::warn;
use tokio::time::Instant;

/// Share of a quota in percent above which acceptances go through the route's ledger.
/// Below it, up to four daemons that accept concurrently, each without the others'
/// acceptances, still stay within the quota.
const LEDGER_THRESHOLD_PERCENT: u64 = 25;

/// Tokens that wait on a route at all daemons, as far as this daemon knows.
pub(crate) fn tokens_waiting(gw: &Gateway, route: &str) -> u64 {
    let jobs = gw.jobs.borrow();
    let own = jobs.tokens_by_route().get(route).copied().unwrap_or(0);
    own + gw.members.borrow().tokens(route, gw.now()) + jobs.open.tokens(route)
}

/// Waits until the store's open jobs were read since this daemon started. Returns
/// whether this happened before the deadline. Only submissions to routes with a quota
/// wait.
pub(crate) async fn wait_until_countable(gw: &Gateway, route: &Route, deadline: Instant) -> bool {
    route.quota_tokens == 0 || open::wait_until_listed(gw, deadline).await
}

/// Whether a job with this number of tokens is within its route's quota, as far as
/// this daemon knows.
pub(crate) fn fits(gw: &Gateway, route: &Route, tokens: u64) -> bool {
    route.quota_tokens == 0 || tokens_waiting(gw, &route.name) + tokens <= route.quota_tokens
}

/// Whether the acceptance of a job must go through the route's ledger.
pub(crate) fn needs_ledger(gw: &Gateway, route: &Route, tokens: u64) -> bool {
    let waiting = tokens_waiting(gw, &route.name) + tokens;
    route.quota_tokens > 0 && waiting * 100 > route.quota_tokens * LEDGER_THRESHOLD_PERCENT
}

/// Adds an update of the route's ledger to the transaction that accepts a job.
/// `None` if the job exceeds the quota.
///
/// # Errors
///
/// Fails if the ledger cannot be read from the store.
pub(crate) async fn add_ledger(
    gw: &Gateway,
    route: &Route,
    id: &JobId,
    tokens: u64,
    txn: &Txn,
) -> Result<Option<Txn>, KvError> {
    let ledger_key = key(&keys::quota(&route.name));
    let stored = gw.store.read(&ledger_key).await?;
    let mut ledger = match &stored {
        Some(kv) => QuotaLedger::try_from(kv.value.as_slice()).unwrap_or_else(|e| {
            warn!(target: "jobs", route:% = route.name, error:% = e; "quota ledger not readable, reset");
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
    if tokens_waiting(gw, &route.name) + unreported + tokens > route.quota_tokens {
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
