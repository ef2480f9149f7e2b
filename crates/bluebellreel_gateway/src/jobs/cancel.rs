//! Ending a job on its sender's word.

use super::key;
use super::load;
use super::own::OwnedJob;
use super::read::owner_address;
use crate::gateway::Gateway;
use crate::{answers, peer_calls};
use bluebellreel_batch::{JobPhase, JobRecord, keys};
use bluebellreel_kv::{Commit, Txn};
use bluebellreel_net::Body;
use bluebellreel_types::{EntryName, JobId};
use http::{Response, StatusCode};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest that a caller waits for the end to be recorded.
const DECIDE: Duration = Duration::from_millis(2500);
/// Pause before an end that could not be recorded is repeated.
const REPEAT: Duration = Duration::from_millis(500);
/// When a caller should return while the end cannot be recorded.
const RETURN_AFTER: Duration = Duration::from_millis(300);
/// How long peers are told of an end: an owner that no call reached still
/// learns of it from reports.
const TELL: Duration = Duration::from_secs(10);
/// Times that a record that changes under the call is read again.
const TRIES: usize = 4;

/// Ends a job, wherever it is.
pub(super) async fn cancel(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    if gw.jobs.borrow().own.contains_key(id) {
        return cancel_own(gw, id).await;
    }
    if ask_owner(gw, id).await {
        return answers::status(StatusCode::OK);
    }
    cancel_in_store(gw, id).await
}

/// Has the owner of a job end it; whether it has.
async fn ask_owner(gw: &Gateway, id: &JobId) -> bool {
    let Some(owner) = owner_address(gw, id) else {
        info!(target: "jobs", job:% = id; "owner of an ended job not known");
        gw.metrics.job_end("owner_unknown");
        return false;
    };
    let outcome = peer_calls::cancel(gw, owner, id).await;
    if let Ok((StatusCode::OK, _)) = outcome {
        info!(target: "jobs", job:% = id, owner:% = owner; "owner ended its job");
        gw.metrics.job_end("by_owner");
        return true;
    }
    let outcome = outcome.map(|(status, _)| status.as_u16());
    warn!(target: "jobs", job:% = id, owner:% = owner, outcome:? = outcome; "owner did not end its job");
    gw.metrics.job_end("owner_not_reached");
    false
}

/// Ends a job of ours.
pub(crate) async fn cancel_own(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    let owned = gw.jobs.borrow().own.get(id).cloned();
    let Some(owned) = owned else {
        return answers::failure(StatusCode::CONFLICT, "not the owner");
    };
    stop_running(gw, &owned);
    let answer = cancel_in_store(gw, id).await;
    if !answer.status().is_success() {
        // Its items have stopped and will not go on. If its sender does not
        // ask again, the job would lie open for ever.
        tokio::task::spawn_local(end_at_last(gw.clone(), owned));
    }
    answer
}

/// Repeats a job's end until it is recorded, or another daemon owns the job.
async fn end_at_last(gw: Rc<Gateway>, owned: Rc<OwnedJob>) {
    let id = owned.job.borrow().id.clone();
    let is_ours = || {
        let jobs = gw.jobs.borrow();
        jobs.own.get(&id).is_some_and(|o| Rc::ptr_eq(o, &owned))
    };
    while is_ours() {
        sleep(REPEAT).await;
        cancel_in_store(&gw, &id).await;
    }
}

/// Stops a job's items at once; whether the end is recorded shows later.
fn stop_running(gw: &Gateway, owned: &Rc<OwnedJob>) {
    let id = {
        let mut job = owned.job.borrow_mut();
        job.record.phase = JobPhase::Cancelled;
        job.id.clone()
    };
    gw.jobs.borrow_mut().end_runs(&id);
    owned.record_due.notify_one();
    owned.listed.notify_waiters();
    gw.batch_due.notify_one();
}

async fn cancel_in_store(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    let until = Instant::now() + DECIDE;
    for _ in 0..TRIES {
        let (revision, record) = match load::record(gw, id).await {
            Ok(Some(found)) => (found.revision, found.record),
            Ok(None) => return answers::failure(StatusCode::NOT_FOUND, "no such job"),
            Err(e) => {
                warn!(target: "jobs", job:% = id, error:% = e; "end not recorded");
                return not_now();
            }
        };
        if record.phase != JobPhase::Open {
            return ended(gw, id, revision);
        }
        match gw
            .store
            .commit(&end_txn(id, &record, revision), until)
            .await
        {
            Commit::Applied { revision } => return ended(gw, id, revision),
            // It was changed meanwhile: read it again.
            Commit::Beaten(_) => {}
            Commit::NotDone(reason) | Commit::Unknown(reason) => {
                warn!(target: "jobs", job:% = id, reason = reason.as_str(); "end not recorded");
                return not_now();
            }
        }
    }
    not_now()
}

/// The end is not recorded, or not known to be: nothing is promised.
fn not_now() -> Response<Body> {
    answers::come_back(StatusCode::BAD_GATEWAY, "not recorded yet", RETURN_AFTER)
}

fn end_txn(id: &JobId, record: &JobRecord, revision: i64) -> Txn {
    let ended = JobRecord {
        phase: JobPhase::Cancelled,
        ..record.clone()
    };
    Txn {
        deletes: vec![key(&keys::open(id))],
        ..Txn::replace(key(&keys::record(id)), revision, ended.encode())
    }
}

fn ended(gw: &Gateway, id: &JobId, revision: i64) -> Response<Body> {
    info!(target: "jobs", job:% = id, revision; "job ended by its sender");
    gw.jobs.borrow_mut().evict(id);
    let until = gw.now() + TELL;
    gw.jobs.borrow_mut().ended.insert(id.clone(), until);
    gw.report_due.notify_one();
    answers::status(StatusCode::OK)
}

/// A peer says that a job was ended.
pub(crate) fn end_reported(gw: &Gateway, id: &JobId, peer: &EntryName) {
    let owned = gw.jobs.borrow().own.get(id).cloned();
    let Some(owned) = owned else {
        return;
    };
    let revision = owned.job.borrow().revision;
    info!(target: "jobs", job:% = id, peer:% = peer, revision; "job ended, says a peer");
    gw.metrics.job_end("reported");
    stop_running(gw, &owned);
    gw.jobs.borrow_mut().evict(id);
}
