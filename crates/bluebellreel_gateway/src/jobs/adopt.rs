//! The single entry point through which this daemon starts to run a job.
//!
//! It is used for accepted jobs, also those whose acceptance was confirmed late,
//! and for jobs that were found in the store, taken over or handed over. Only a
//! job whose record this daemon has just created starts without results.
//! Every other job starts with the results recorded in the store, as readers may
//! have seen them.

use super::load::owned_job;
use super::own::OwnedJob;
use super::{backup, load, record};
use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_batch::{Job, JobRecord, NewItem, Stamp};
use bluebellreel_types::JobId;
use log::{info, warn};
use std::rc::Rc;

/// Starts a job whose record this daemon created by a write sent at `asked`.
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

/// Starts a job whose stored record names this daemon as the owner, as read by a
/// call sent at `asked`.
///
/// An acceptance whose response was lost may be confirmed many seconds later.
/// Meanwhile another daemon may have taken the job over, recorded some results that
/// were then read, and handed the job back. The record is then identical to the first
/// one, but without the results in the store this daemon would answer readers that
/// there are none.
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
        Ok(mut job) => {
            // It may have been taken over by a write after which the store did not answer.
            backup::restore_progress(gw, id, &mut job).await;
            adopt(gw, job, asked);
        }
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "own job not read");
            // The scan for jobs without an owner finds it by its record.
            gw.jobs.borrow().orphans_due.notify_one();
        }
    }
}

fn runs_already(gw: &Gateway, id: &JobId, revision: i64) -> bool {
    let jobs = gw.jobs.borrow();
    let known = jobs.own.get(id);
    known.is_some_and(|known| known.job.borrow().revision >= revision)
}

/// Starts to run a job that this daemon owns, as the store confirmed to a call sent
/// at `asked`.
pub(super) fn adopt(gw: &Rc<Gateway>, mut job: Job, asked: Stamp) {
    let id = job.id.clone();
    if runs_already(gw, &id, job.revision) {
        // Several tasks may adopt the same job, each after waiting for the store: an
        // acceptance without a response, the scan for jobs without an owner, a
        // caller's read. The instance that already runs continues, as it may have
        // recorded results that the other one has not loaded.
        if let Some(known) = owned_job(gw, &id) {
            known.job.borrow_mut().restore(job.progress(), gw.now());
        }
        return;
    }
    if gw.jobs.borrow().is_cancelled(&id) {
        info!(target: "jobs", job:% = id, revision = job.revision; "job ended before it was owned");
        return;
    }
    let team = job.record.team.as_deref();
    if gw.jobs.borrow().is_cancellation_pending(&id, team) {
        info!(target: "jobs", job:% = id, revision = job.revision; "job owned while its end is being recorded");
        job.request_cancel();
    }
    let due_in = job.record.due_at.since(gw.now());
    info!(target: "jobs", job:% = id, items = job.items.len(), listed = job.listed.len(), revision = job.revision, due_in_ms = millis(due_in); "job owned");
    let owned = OwnedJob::new(job, asked, &gw.start_terms, &gw.job_inputs);
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
