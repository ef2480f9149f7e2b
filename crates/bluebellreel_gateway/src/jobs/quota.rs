//! How much a route's callers may have waiting.

use super::load;
use super::stored::key;
use crate::gateway::Gateway;
use bluebellreel_batch::{JobPhase, OpenJob, QuotaLedger, keys};
use bluebellreel_dispatch::Route;
use bluebellreel_kv::{Compare, Key, KvError, Put, Txn};
use bluebellreel_types::JobId;
use log::warn;
use std::time::Duration;
use tokio::time::timeout;

/// Share of a quota from which on acceptances go through the route's ledger,
/// in percent. Below it, four daemons that accept at the same moment without
/// knowing of each other still stay within the quota.
const NEAR_PERCENT: u64 = 25;

/// Longest time for reading what is open in the store. Past it the caller does better
/// at another daemon.
const READ_OPEN: Duration = Duration::from_millis(1200);

/// Tokens that wait on a route at all daemons, as far as is known.
pub(crate) fn tokens_waiting(gw: &Gateway, route: &str) -> u64 {
    let own = gw.jobs.borrow().tokens_by_route();
    let own = own.get(route).copied().unwrap_or(0);
    own + gw.members.borrow().tokens(route, gw.now())
}

/// Whether a job of so many tokens fits, as far as is known.
pub(crate) fn fits(gw: &Gateway, route: &Route, tokens: u64) -> bool {
    route.quota_tokens == 0 || tokens_waiting(gw, &route.name) + tokens <= route.quota_tokens
}

/// Whether a job's acceptance goes through the route's ledger.
pub(crate) fn is_near(gw: &Gateway, route: &Route, tokens: u64) -> bool {
    if route.quota_tokens == 0 {
        return false;
    }
    is_nearly_used_up(route, tokens_waiting(gw, &route.name) + tokens) || !hears_of_all_jobs(gw)
}

fn is_nearly_used_up(route: &Route, tokens: u64) -> bool {
    tokens * 100 > route.quota_tokens * NEAR_PERCENT
}

/// Whether reports tell of all jobs that wait. After a start, and while few peers are
/// heard, jobs lie open in the store of which nobody tells this daemon.
fn hears_of_all_jobs(gw: &Gateway) -> bool {
    let members = gw.members.borrow();
    let mut jobs = gw.jobs.borrow_mut();
    jobs.sees_all_open &= gw.isolated_since.get().is_none();
    jobs.sees_all_open && members.has_heard_all()
}

/// Tokens that wait on a route besides job `id`, by what is open in the store.
async fn tokens_open(gw: &Gateway, route: &str, id: &JobId) -> Result<u64, KvError> {
    let (open, _) = gw.store.list(&Key::from(keys::OPEN)).await?;
    let (unheard, mut tokens) = {
        let (now, members, jobs) = (gw.now(), gw.members.borrow(), gw.jobs.borrow());
        let is_unheard = |job: &JobId| !jobs.own.contains_key(job) && !members.is_owned(job, now);
        let unheard: Vec<(JobId, Vec<u8>)> = open
            .into_iter()
            .filter_map(|kv| Some((kv.key.as_str().strip_prefix(keys::OPEN)?.into(), kv.value)))
            .filter(|(job, _)| job != id && is_unheard(job))
            .collect();
        let own = jobs.tokens_by_route().get(route).copied().unwrap_or(0);
        (unheard, own + members.tokens_heard(route, now))
    };
    let mut all_heard = true;
    for (job, value) in unheard {
        let waits = match OpenJob::try_from(value.as_slice()) {
            Ok(waits) => Some(waits),
            Err(_) => load::record(gw, &job)
                .await?
                .filter(|found| found.record.phase == JobPhase::Open)
                .map(|found| OpenJob::from(&found.record)),
        };
        all_heard &= waits.is_none();
        tokens += waits.filter(|w| *w.route == *route).map_or(0, |w| w.tokens);
    }
    gw.jobs.borrow_mut().sees_all_open = all_heard;
    Ok(tokens)
}

fn late() -> KvError {
    KvError::NotDone("open jobs not read in time".into())
}

/// Adds the ledger to a job's acceptance; `None` if the job does not fit.
///
/// # Errors
///
/// Gives the reason when the ledger cannot be read.
pub(crate) async fn guard(
    gw: &Gateway,
    route: &Route,
    id: &JobId,
    tokens: u64,
    txn: &Txn,
) -> Result<Option<Txn>, KvError> {
    let turn = gw.jobs.borrow().reading_open.clone();
    let _held = if hears_of_all_jobs(gw) {
        None
    } else {
        // What one acceptance finds mostly spares those behind it the same.
        let held = timeout(READ_OPEN, turn.lock()).await;
        Some(held.map_err(|_| late())?)
    };
    let ledger_key = key(&keys::quota(&route.name));
    let stored = gw.store.read(&ledger_key).await?;
    let mut ledger = match &stored {
        Some(kv) => QuotaLedger::try_from(kv.value.as_slice()).unwrap_or_else(|e| {
            warn!(target: "jobs", route:% = route.name, error:% = e; "ledger begun anew");
            QuotaLedger::default()
        }),
        None => QuotaLedger::default(),
    };
    let now = gw.now();
    let waiting = if hears_of_all_jobs(gw) {
        let jobs = gw.jobs.borrow();
        let is_known = |job: &JobId| job == id || jobs.is_counted(job);
        tokens_waiting(gw, &route.name) + ledger.unreported(is_known, now)
    } else {
        // What was accepted before the ledger was read is open or over by now.
        let open = timeout(READ_OPEN, tokens_open(gw, &route.name, id)).await;
        let open = open.map_err(|_| late())??;
        if !is_nearly_used_up(route, open + tokens) {
            return Ok(Some(txn.clone()));
        }
        open
    };
    if waiting + tokens > route.quota_tokens {
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
