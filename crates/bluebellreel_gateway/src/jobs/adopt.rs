//! Beginning to run a job: the one place through which every way goes.
//!
//! A job comes here when it was accepted, when an acceptance was decided late,
//! when it was found, taken over or handed over. Only a job whose record this
//! daemon has just created begins with nothing listed; every other one begins
//! with what the store has recorded, as somebody may have read it.

use super::load::owned_job;
use super::own::OwnedJob;
use super::{load, record};
use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_batch::{Job, JobRecord, NewItem, Stamp};
use bluebellreel_types::JobId;
use log::{info, warn};
use std::rc::Rc;

/// Begins a job whose record was created by a write that was sent at `asked`.
pub(super) fn adopt_new(
    gw: &Rc<Gateway>,
    id: &JobId,
    record: JobRecord,
    revision: i64,
    items: Vec<NewItem>,
    asked: Stamp,
) {
    let job = Job::new(id.clone(), record, revision, items, Vec::new());
    adopt(gw, job, asked);
}

/// Begins a job whose record was found to name this daemon by a call that was
/// sent at `asked`.
///
/// An acceptance whose answer was lost may be decided many seconds later. The job
/// may have been taken over meanwhile, some of its results listed and read, and
/// the job handed back: its record is the same to the letter, its results are
/// not. Begun with none, it would tell readers that nothing is listed.
pub(super) async fn adopt_stored(
    gw: &Rc<Gateway>,
    id: &JobId,
    record: JobRecord,
    revision: i64,
    asked: Stamp,
) {
    if runs_already(gw, id, revision) {
        return;
    }
    match load::job(gw, id, record, revision).await {
        Ok(job) => adopt(gw, job, asked),
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "own job not read");
            // The look for orphans finds it by its record.
            gw.jobs.borrow().orphans_due.notify_one();
        }
    }
}

fn runs_already(gw: &Gateway, id: &JobId, revision: i64) -> bool {
    let jobs = gw.jobs.borrow();
    let known = jobs.own.get(id);
    known.is_some_and(|known| known.job.borrow().revision >= revision)
}

/// Begins to run a job that this daemon owns by the store's word, given to a call
/// that was sent at `asked`.
pub(super) fn adopt(gw: &Rc<Gateway>, job: Job, asked: Stamp) {
    let id = job.id.clone();
    if runs_already(gw, &id, job.revision) {
        // Two ways led here while each awaited the store: an acceptance without
        // an answer, a look for jobs without an owner, a caller's read. The one
        // that runs goes on; it has listed what the other has not read.
        if let Some(known) = owned_job(gw, &id) {
            known.job.borrow_mut().restore(job.progress(), gw.now());
        }
        return;
    }
    if gw.jobs.borrow().is_cancelled(&id) {
        info!(target: "jobs", job:% = id, revision = job.revision; "job ended before it was owned");
        return;
    }
    let due_in = job.record.due_at.since(gw.now());
    info!(target: "jobs", job:% = id, items = job.items.len(), listed = job.listed.len(), revision = job.revision, due_in_ms = millis(due_in); "job owned");
    let owned = OwnedJob::new(job, asked, &gw.start_terms);
    gw.members.borrow_mut().claimed(&id, gw.now());
    {
        let mut jobs = gw.jobs.borrow_mut();
        jobs.owners.remove(&id);
        jobs.orphans.remove(&id);
        jobs.note_reported(&id);
        if jobs.own.insert(id.clone(), owned.clone()).is_some() {
            jobs.end_runs(&id);
        }
    }
    tokio::task::spawn_local(record::record_results(gw.clone(), owned));
    gw.report_due.notify_one();
    gw.batch_due.notify_one();
}
