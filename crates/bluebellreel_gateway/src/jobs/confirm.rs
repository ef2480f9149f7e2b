//! Making sure that a job is still this daemon's own.
//!
//! What an owner has listed is remembered. It may say "nothing more is listed" only
//! while it surely owns the job; [`bluebellreel_batch::Tenure`] tells when that is
//! so without a call. Else the store is asked.

use super::own::OwnedJob;
use super::{load, owned_job, record};
use crate::gateway::Gateway;
use bluebellreel_kv::KvError;
use bluebellreel_types::JobId;
use log::{info, warn};
use std::rc::Rc;

/// Whether a job that was owned is still owned, as far as can be told without a
/// call to the store.
fn is_sure(gw: &Gateway, owned: &OwnedJob) -> bool {
    if gw.stopping.get() {
        // It hands its jobs over, and may not hear that it has.
        return false;
    }
    let (word, now) = (owned.word.get(), gw.stamp());
    // An entry may be taken away while its lease is renewed as ever. Peers that
    // hear this daemon leave its jobs alone all the same.
    let vouched = gw.tenure.get().covers(word, now);
    vouched && (gw.isolated_since.get().is_none() || word.is_fresh(now))
}

/// Whether a job is this daemon's own. One that is not is let go.
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
            owned.confirmed(found.asked);
            Ok(true)
        }
        found => {
            record::lost(gw, &id, found.map(|f| (f.revision, f.record)));
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
            // Readers ask again, and so does the next renewal.
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
            return;
        }
    }
}

/// A peer says that it owns a job.
pub(crate) fn heard_owned(gw: &Rc<Gateway>, id: &JobId) {
    let Some(owned) = owned_job(gw, id) else {
        return;
    };
    // Its report may have been under way since before the job came here.
    if owned.word.get().is_fresh(gw.stamp()) || owned.confirming.try_lock().is_err() {
        return;
    }
    owned.doubt();
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = confirm(&gw, &owned).await {
            warn!(target: "jobs", error:% = e; "own jobs not confirmed");
        }
    });
}
