//! Confirming with the store that this daemon still owns a job.
//!
//! Two things depend on this confirmation. Items start only while it is recent
//! ([`bluebellreel_batch::StartLease`]). And an owner that answers readers from memory
//! may say that there are no further results only while it certainly owns the job;
//! [`bluebellreel_batch::RegistrationSpan`] shows when this is certain without a call.

use super::load::owned_job;
use super::own::OwnedJob;
use super::stored::{key, stored_record};
use super::{load, record};
use crate::gateway::Gateway;
use bluebellreel_batch::{JobPhase, jobs_to_check, keys};
use bluebellreel_kv::{Compare, KvError};
use bluebellreel_platform::store::TxnOutcome;
use bluebellreel_types::{JobId, Moment};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between checks for jobs to confirm when nothing wakes the task.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Whether this daemon certainly still owns a job, as far as it can tell without a
/// call to the store.
fn is_certainly_owned(gw: &Gateway, owned: &OwnedJob) -> bool {
    if gw.stopping.get() {
        // The daemon hands its jobs over, and the response that confirms a hand-over
        // may be lost.
        return false;
    }
    let (asked, now) = (owned.lease.get().asked(), gw.stamp());
    // This daemon's entry may be deleted although its lease is still being renewed.
    // Even then, peers that receive its reports do not take its jobs over.
    let is_covered = gw.registration_span.get().covers(asked, now);
    is_covered && (gw.isolated_since.get().is_none() || asked.is_fresh(now))
}

/// Whether this daemon owns a job. A job that it no longer owns is evicted.
pub(super) async fn confirm(gw: &Rc<Gateway>, owned: &Rc<OwnedJob>) -> Result<bool, KvError> {
    let id = owned.job.borrow().id.clone();
    // Concurrent readers share one call to the store.
    let _turn = owned.confirming.lock().await;
    let still_owned = owned_job(gw, &id).is_some_and(|known| Rc::ptr_eq(&known, owned));
    if !still_owned || is_certainly_owned(gw, owned) {
        return Ok(still_owned);
    }
    let found = load::record(gw, &id).await?;
    let revision = owned.job.borrow().revision;
    match found {
        Some(found) if found.revision == revision => {
            owned.confirmed(found.asked, &gw.start_terms);
            Ok(true)
        }
        found => {
            record::ownership_lost(gw, owned, found.map(|f| (f.revision, f.record)));
            Ok(false)
        }
    }
}

/// Confirms every job whose ownership is uncertain. Jobs that another daemon owns by
/// now occupy worker slots for results that cannot be recorded.
pub(crate) async fn confirm_all(gw: Rc<Gateway>) {
    let all: Vec<Rc<OwnedJob>> = gw.jobs.borrow().own.values().cloned().collect();
    let uncertain: Vec<_> = all
        .into_iter()
        .filter(|o| !is_certainly_owned(&gw, o))
        .collect();
    if uncertain.is_empty() {
        return;
    }
    info!(target: "jobs", jobs = uncertain.len(); "confirming own jobs");
    for owned in uncertain {
        if let Err(e) = confirm(&gw, &owned).await {
            // Readers and items that wait to start trigger further attempts.
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
            return;
        }
    }
}

/// Confirms a job that a peer reports as its own.
pub(crate) fn owner_reported(gw: &Rc<Gateway>, id: &JobId) {
    let Some(owned) = owned_job(gw, id) else {
        return;
    };
    // The report may be older than this daemon's ownership of the job.
    let asked = owned.lease.get().asked();
    if asked.is_fresh(gw.stamp()) || owned.confirming.try_lock().is_err() {
        return;
    }
    owned.invalidate_lease(&gw.start_terms);
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = confirm(&gw, &owned).await {
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
        }
    });
}

/// Whether an item of a job may start now. If the store's confirmation is too old or
/// soon will be, a new one is requested.
pub(super) fn allows_start(gw: &Gateway, owned: &OwnedJob) -> bool {
    let (lease, now) = (owned.lease.get(), gw.stamp());
    if lease.is_due(true, now) && !owned.wants_start.replace(true) {
        gw.confirmation_due.notify_one();
    }
    lease.allows_start(now) || outage_began(gw).is_some_and(|at| lease.was_valid_at(at, now))
}

/// Since when the store is unavailable to all daemons, as far as this one knows;
/// `None` if some daemon may reach it.
///
/// No job can be cancelled or taken over during an outage, so items of the jobs that
/// were confirmed when it began continue to start. A daemon that receives reports of
/// no peer, or of few, cannot tell an outage from a network partition. A daemon whose
/// own calls fail may have lost its connection long before the outage began.
fn outage_began(gw: &Gateway) -> Option<Moment> {
    let members = gw.members.borrow();
    let now = gw.now();
    let is_alone = gw.isolated_since.get().is_some() || members.alive_peers(now).next().is_none();
    if is_alone || !gw.store.is_lost() || members.may_reach_store(now) {
        return None;
    }
    let failing_since = now - gw.store.failing_for()?;
    Some(failing_since.max(members.store_answered_at()))
}

/// Renews the start leases of own jobs in an endless loop: the store must confirm that
/// this daemon owns the jobs.
pub(crate) async fn renew_start_leases(gw: Rc<Gateway>) {
    let mut use_other_path = false;
    let mut is_failing = false;
    loop {
        // A timeout triggers the next periodic check.
        let _ = timeout(POLL_INTERVAL, gw.confirmation_due.notified()).await;
        loop {
            let due = due_jobs(&gw);
            if due.is_empty() {
                break;
            }
            let by_peer = gw.store.is_lost() != use_other_path;
            match check(&gw, &due, by_peer).await {
                Ok(()) => {
                    use_other_path = false;
                    is_failing = false;
                    gw.batch_due.notify_one();
                }
                Err(e) => {
                    if !is_failing {
                        warn!(target: "jobs", jobs = due.len(), error:% = e; "own jobs not confirmed");
                    }
                    is_failing = true;
                    use_other_path = !use_other_path;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Jobs to confirm now, in one call to the store: those whose items may run.
fn due_jobs(gw: &Gateway) -> Vec<Rc<OwnedJob>> {
    let jobs = gw.jobs.borrow();
    let active = jobs.own.values().filter(|o| o.job.borrow().may_run());
    let leases = active.map(|o| (o.clone(), o.lease.get(), o.wants_start.get()));
    jobs_to_check(leases, gw.stamp())
}

/// Confirms several jobs in one call to the store. Jobs that this daemon does not own
/// any more are evicted.
async fn check(gw: &Rc<Gateway>, jobs: &[Rc<OwnedJob>], by_peer: bool) -> Result<(), KvError> {
    let asked = gw.stamp();
    let revisions: Vec<(JobId, i64)> = jobs
        .iter()
        .map(|o| (o.job.borrow().id.clone(), o.job.borrow().revision))
        .collect();
    let guards = revisions
        .iter()
        .map(|(id, revision)| Compare::Unchanged(key(&keys::record(id)), *revision));
    let found = match gw.store.check(guards.collect(), by_peer).await? {
        TxnOutcome::Conflict(found) => Some(found),
        TxnOutcome::Done(_) => None,
        TxnOutcome::NoLease => return Err(KvError::Refused("check without a lease".into())),
    };
    for (owned, (id, revision)) in jobs.iter().zip(&revisions) {
        let stored = match &found {
            Some(found) => stored_record(found, &key(&keys::record(id))),
            None => None,
        };
        let is_ours = match &stored {
            // The response to the write that completed the job may be in flight.
            Some((at, r)) => at == revision || (r.phase == JobPhase::Done && r.owner.run == gw.run),
            None => found.is_none(),
        };
        if is_ours {
            owned.confirmed(asked, &gw.start_terms);
        } else {
            record::ownership_lost(gw, owned, stored);
        }
    }
    Ok(())
}
