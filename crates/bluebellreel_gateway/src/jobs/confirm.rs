//! Making sure that a job is still this daemon's own.
//!
//! Two things rest on the store's confirmation of a job. Items start only while
//! it is young ([`bluebellreel_batch::StartLease`]). And an owner that remembers
//! what it has listed may say "nothing more is listed" only while it surely owns
//! the job; [`bluebellreel_batch::RegistrationSpan`] tells when that is so without a call.

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

/// Time between looks for jobs to confirm when nothing wakes the task.
const LOOK: Duration = Duration::from_millis(500);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(400);

/// Whether a job that was owned is still owned, as far as can be told without a
/// call to the store.
fn is_sure(gw: &Gateway, owned: &OwnedJob) -> bool {
    if gw.stopping.get() {
        // It hands its jobs over, and may not be notified that it has.
        return false;
    }
    let (asked, now) = (owned.lease.get().asked(), gw.stamp());
    // An entry may be taken away while its lease is renewed as ever. Peers that
    // hear this daemon leave its jobs alone all the same.
    let vouched = gw.tenure.get().covers(asked, now);
    vouched && (gw.isolated_since.get().is_none() || asked.is_fresh(now))
}

/// Whether a job is this daemon's own. One that is not is evicted.
pub(super) async fn confirm(gw: &Rc<Gateway>, owned: &Rc<OwnedJob>) -> Result<bool, KvError> {
    let id = owned.job.borrow().id.clone();
    // Readers that come together ask once.
    let _turn = owned.confirming.lock().await;
    let is_here = owned_job(gw, &id).is_some_and(|known| Rc::ptr_eq(&known, owned));
    if !is_here || is_sure(gw, owned) {
        return Ok(is_here);
    }
    let found = load::record(gw, &id).await?;
    let revision = owned.job.borrow().revision;
    match found {
        Some(found) if found.revision == revision => {
            owned.confirmed(found.asked, &gw.start_terms);
            Ok(true)
        }
        found => {
            record::lost(gw, owned, found.map(|f| (f.revision, f.record)));
            Ok(false)
        }
    }
}

/// Asks the store about every job of which this daemon is not sure. Jobs that
/// were lost meanwhile take slots of workers for results that nobody can record.
pub(crate) async fn confirm_all(gw: Rc<Gateway>) {
    let all: Vec<Rc<OwnedJob>> = gw.jobs.borrow().own.values().cloned().collect();
    let unsure: Vec<_> = all.into_iter().filter(|o| !is_sure(&gw, o)).collect();
    if unsure.is_empty() {
        return;
    }
    info!(target: "jobs", jobs = unsure.len(); "own jobs looked at again");
    for owned in unsure {
        if let Err(e) = confirm(&gw, &owned).await {
            // Readers ask again, and so do items that want to start.
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
            return;
        }
    }
}

/// A peer reports that it owns a job.
pub(crate) fn owner_reported(gw: &Rc<Gateway>, id: &JobId) {
    let Some(owned) = owned_job(gw, id) else {
        return;
    };
    // Its report may have been under way since before the job came here.
    let asked = owned.lease.get().asked();
    if asked.is_fresh(gw.stamp()) || owned.confirming.try_lock().is_err() {
        return;
    }
    owned.doubt(&gw.start_terms);
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = confirm(&gw, &owned).await {
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
        }
    });
}

/// Whether an item of a job may start now. If the store's confirmation is not
/// young enough, or soon will not be, the store is asked.
pub(super) fn allows_start(gw: &Gateway, owned: &OwnedJob) -> bool {
    let (lease, now) = (owned.lease.get(), gw.stamp());
    if lease.is_due(true, now) && !owned.wants_start.replace(true) {
        gw.confirmation_due.notify_one();
    }
    lease.allows_start(now) || outage_began(gw).is_some_and(|at| lease.was_valid_at(at, now))
}

/// Since when the store is away for all daemons, as far as is known; none if it may
/// be there for some.
///
/// Nothing can be ended or taken over in an outage, so that items of the jobs that
/// were confirmed when it began go on. A daemon that hears no peer, or few of them,
/// cannot tell an outage from its own being cut off, and one whose own calls fail may
/// have been cut off long before the outage began.
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

/// Has the store confirm own jobs whose items want to start, for ever.
pub(crate) async fn keep_confirmed(gw: Rc<Gateway>) {
    let mut other_way = false;
    let mut fails = false;
    loop {
        // A timeout is the next look.
        let _ = timeout(LOOK, gw.confirmation_due.notified()).await;
        loop {
            let due = due_jobs(&gw);
            if due.is_empty() {
                break;
            }
            let by_peer = gw.store.is_lost() != other_way;
            match check(&gw, &due, by_peer).await {
                Ok(()) => {
                    other_way = false;
                    fails = false;
                    gw.batch_due.notify_one();
                }
                Err(e) => {
                    if !fails {
                        warn!(target: "jobs", jobs = due.len(), error:% = e; "own jobs not confirmed");
                    }
                    fails = true;
                    other_way = !other_way;
                    sleep(RETRY).await;
                }
            }
        }
    }
}

/// Open jobs that the store should be asked for now.
fn due_jobs(gw: &Gateway) -> Vec<Rc<OwnedJob>> {
    let jobs = gw.jobs.borrow();
    let open = jobs.own.values().filter(|o| o.job.borrow().is_open());
    let leases = open.map(|o| (o.clone(), o.lease.get(), o.wants_start.get()));
    jobs_to_check(leases, gw.stamp())
}

/// Asks the store about several jobs in one call.
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
        TxnOutcome::NoLease => return Err(KvError::Refused("no lease was named".into())),
    };
    for (owned, (id, revision)) in jobs.iter().zip(&revisions) {
        let stored = match &found {
            Some(found) => stored_record(found, &key(&keys::record(id))),
            None => None,
        };
        let holds = match &stored {
            // The answer to the write that completed it may be on its way.
            Some((at, r)) => at == revision || (r.phase == JobPhase::Done && r.owner.run == gw.run),
            None => found.is_none(),
        };
        if holds {
            owned.confirmed(asked, &gw.start_terms);
        } else {
            record::lost(gw, owned, stored);
        }
    }
    Ok(())
}
