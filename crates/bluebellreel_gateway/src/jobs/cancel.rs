//! Cancelling a job at its sender's request.
//!
//! A cancellation is acknowledged once it is recorded in the job's record. Attempts
//! to record it go on until then, even if the caller has disconnected or got the answer
//! that the cancellation is not recorded yet: the sender may not send the request again.

use super::load;
use super::load::owned_job;
use super::own::{CancelledBy, OwnedJob, SubmissionOutcome};
use super::read::{may_access, no_such_job, owner_address};
use super::stored::key;
use crate::gateway::Gateway;
use crate::peer_calls::PeerError;
use crate::{answers, peer_calls};
use bluebellreel_batch::{JobPhase, JobRecord, keys};
use bluebellreel_kv::{Commit, Compare, Put, Txn};
use bluebellreel_net::Body;
use bluebellreel_teams::Caller;
use bluebellreel_types::{EntryName, JobId};
use http::{Response, StatusCode};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

/// Limit on one attempt to record a cancellation.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2500);
/// First pause before a cancellation that could not be recorded is retried.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Limit on this pause, which doubles with each retry.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Limit on the cancellations that are retried concurrently. Those of jobs that this
/// daemon owns are retried even beyond the limit.
const MAX_PENDING: usize = 256;
/// How long the cancellation of a job that another daemon owns is retried.
const RETRY_TIMEOUT: Duration = Duration::from_mins(1);
/// Sent to a caller whose cancellation could not be recorded yet: time to wait before
/// it retries.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long a cancellation is remembered, and listed in the reports of the daemon
/// that recorded it.
const CANCELLATION_TTL: Duration = Duration::from_secs(10);
/// How long a job that was cancelled before it had a record is not accepted. A
/// submission with an unknown outcome is retried for half of this time.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);
/// Limit on the attempts to change a record that other daemons change meanwhile.
const MAX_TRIES: usize = 4;

/// Outcome of an attempt to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The cancellation is recorded.
    Recorded,
    /// The job does not exist.
    NoSuchJob,
    /// The cancellation is not recorded, or it is not known whether it is.
    Undecided,
}

impl Outcome {
    fn answer(self) -> Response<Body> {
        match self {
            Self::Recorded => answers::status(StatusCode::OK),
            Self::NoSuchJob => no_such_job(),
            Self::Undecided => {
                answers::retry_after(StatusCode::BAD_GATEWAY, "not recorded yet", RETRY_AFTER)
            }
        }
    }
}

/// Cancels a job, whichever daemon owns it.
pub(super) async fn cancel(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> Response<Body> {
    let decided = begin(gw, caller, id).await;
    decided.unwrap_or(Outcome::Undecided).answer()
}

/// Spawns a task that cancels a job. The receiver gets the outcome of the first
/// attempt.
fn begin(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> oneshot::Receiver<Outcome> {
    let (tx, rx) = oneshot::channel();
    let (gw, caller, id) = (gw.clone(), caller.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let outcome = try_cancel(&gw, &caller, &id).await;
        // The caller may have left.
        let _ = tx.send(outcome);
        if outcome == Outcome::Undecided {
            retry_cancel(&gw, &caller, &id).await;
        }
    });
    rx
}

/// Takes over a cancellation that a stopping peer could not record.
pub(crate) fn take_cancellation(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> Response<Body> {
    if gw.stopping.get() {
        return answers::failure(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    drop(begin(gw, caller, id));
    answers::status(StatusCode::OK)
}

/// Forwards the cancellations that this stopping daemon could not record to peers.
pub(crate) fn forward_cancellations(gw: &Rc<Gateway>) {
    let pending: Vec<(JobId, Caller)> = {
        let jobs = &mut *gw.jobs.borrow_mut();
        let forwarded = &mut jobs.forwarded_cancellations;
        let left = jobs.pending_cancellations.iter();
        left.filter(|end| forwarded.insert((*end).clone()))
            .cloned()
            .collect()
    };
    for (id, caller) in pending {
        let gw = gw.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = forward(&gw, &caller, &id).await {
                warn!(target: "jobs", job:% = id, error:% = e; "job end not passed on");
                sleep(MIN_BACKOFF).await;
                let end = (id, caller);
                gw.jobs.borrow_mut().forwarded_cancellations.remove(&end);
            }
        });
    }
}

/// Forwards the cancellation of a job to the job's successor.
async fn forward(gw: &Gateway, caller: &Caller, id: &JobId) -> Result<(), PeerError> {
    let (now, members) = (gw.now(), &gw.members);
    let successor = members.borrow().successor(id, None, now);
    let successor = successor.ok_or("no live peer to forward to")?;
    let calls = members
        .borrow()
        .alive_peer(&successor, now)
        .map(|p| p.calls);
    let calls = calls.ok_or("no live peer to forward to")?;
    peer_calls::forward_end(gw, calls, caller, id).await?;
    info!(target: "jobs", job:% = id, peer:% = successor; "job end passed on to a peer");
    Ok(())
}

/// Cancels a job that this daemon owns, at a peer's request.
pub(crate) async fn cancel_own(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> Response<Body> {
    if owned_job(gw, id).is_none() {
        return answers::failure(StatusCode::CONFLICT, "not the owner");
    }
    cancel(gw, caller, id).await
}

/// Retries a cancellation until its outcome is known. The items of a job owned by
/// this daemon have been stopped permanently, so its cancellation is retried for as long
/// as the daemon owns the job.
async fn retry_cancel(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) {
    let is_full =
        gw.jobs.borrow().pending_cancellations.len() >= MAX_PENDING && owned_job(gw, id).is_none();
    if is_full {
        warn!(target: "jobs", job:% = id, jobs = MAX_PENDING; "job end not retried, too many pending");
        return;
    }
    let end = (id.clone(), caller.clone());
    if !gw
        .jobs
        .borrow_mut()
        .pending_cancellations
        .insert(end.clone())
    {
        return;
    }
    let until = Instant::now() + RETRY_TIMEOUT;
    let mut pause = MIN_BACKOFF;
    while owned_job(gw, id).is_some() || Instant::now() < until {
        sleep(pause).await;
        pause = MAX_BACKOFF.min(pause * 2);
        if try_cancel(gw, caller, id).await != Outcome::Undecided {
            break;
        }
    }
    gw.jobs.borrow_mut().pending_cancellations.remove(&end);
}

/// Makes one attempt to cancel a job.
async fn try_cancel(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> Outcome {
    let submission = gw.jobs.borrow().submissions.get(id).cloned();
    if let Some(mut submission) = submission {
        // A submission with an unknown outcome may still create the record.
        let until = Instant::now() + RECORD_TIMEOUT;
        let decision = timeout_at(
            until,
            submission
                .outcome
                .wait_for(|a| *a != SubmissionOutcome::Pending),
        );
        if !matches!(decision.await, Ok(Ok(_))) {
            return Outcome::Undecided;
        }
    }
    if let Some(owned) = owned_job(gw, id) {
        if !may_access(caller, &owned) {
            return Outcome::NoSuchJob;
        }
        stop_running(gw, &owned);
    } else if cancel_at_owner(gw, caller, id).await {
        return Outcome::Recorded;
    }
    cancel_in_store(gw, caller, id).await
}

/// Requests the owner of a job to cancel it. Returns whether it has done so.
async fn cancel_at_owner(gw: &Gateway, caller: &Caller, id: &JobId) -> bool {
    let Some(owner) = owner_address(gw, id) else {
        info!(target: "jobs", job:% = id; "owner of an ended job not known");
        gw.metrics.job_end("owner_unknown");
        return false;
    };
    let outcome = peer_calls::cancel(gw, owner, caller, id).await;
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

/// Stops a job's items at once, before the cancellation is recorded. The job stays owned
/// until then.
fn stop_running(gw: &Gateway, owned: &Rc<OwnedJob>) {
    let id = {
        let mut job = owned.job.borrow_mut();
        job.request_cancel();
        job.id.clone()
    };
    gw.jobs.borrow_mut().end_runs(&id);
    owned.record_due.notify_one();
    owned.listed.notify_waiters();
    gw.batch_due.notify_one();
}

async fn cancel_in_store(gw: &Rc<Gateway>, caller: &Caller, id: &JobId) -> Outcome {
    let until = Instant::now() + RECORD_TIMEOUT;
    for _ in 0..MAX_TRIES {
        let (revision, record) = match load::record(gw, id).await {
            Ok(Some(found)) => (found.revision, found.record),
            Ok(None) => match put_tombstone(gw, caller, id, until).await {
                Commit::Applied { .. } => return Outcome::NoSuchJob,
                // The job was accepted meanwhile.
                Commit::Beaten(_) => continue,
                Commit::NotDone(reason) | Commit::Unknown(reason) => {
                    warn!(target: "jobs", job:% = id, reason = reason.as_str(); "end not recorded");
                    return Outcome::Undecided;
                }
            },
            Err(e) => {
                warn!(target: "jobs", job:% = id, error:% = e; "end not recorded");
                return Outcome::Undecided;
            }
        };
        if !caller.may_access(record.team.as_deref()) {
            return Outcome::NoSuchJob;
        }
        if record.phase != JobPhase::Open {
            return recorded(gw, id, revision);
        }
        match gw
            .store
            .commit(&cancel_txn(id, &record, revision), until)
            .await
        {
            Commit::Applied { revision } => return recorded(gw, id, revision),
            // The record was changed meanwhile and is read again.
            Commit::Beaten(_) => {}
            Commit::NotDone(reason) | Commit::Unknown(reason) => {
                warn!(target: "jobs", job:% = id, reason = reason.as_str(); "end not recorded");
                return Outcome::Undecided;
            }
        }
    }
    Outcome::Undecided
}

/// Writes a tombstone that keeps a job without a record from being accepted: a peer
/// may still be retrying its submission.
async fn put_tombstone(gw: &Gateway, caller: &Caller, id: &JobId, until: Instant) -> Commit {
    let lease = match gw.store.lease(TOMBSTONE_TTL).await {
        Ok(lease) => lease.id,
        Err(e) => return Commit::NotDone(e.to_string()),
    };
    let tombstone = Put {
        key: key(&keys::tombstone(id, caller.team().map(|team| &**team))),
        value: Vec::new(),
        lease,
    };
    let txn = Txn {
        compares: vec![Compare::Absent(key(&keys::record(id)))],
        puts: vec![tombstone],
        ..Txn::default()
    };
    gw.store.commit(&txn, until).await
}

fn cancel_txn(id: &JobId, record: &JobRecord, revision: i64) -> Txn {
    let ended = JobRecord {
        phase: JobPhase::Cancelled,
        ..record.clone()
    };
    Txn {
        deletes: vec![key(&keys::open(id))],
        ..Txn::replace(key(&keys::record(id)), revision, ended.encode())
    }
}

fn recorded(gw: &Gateway, id: &JobId, revision: i64) -> Outcome {
    info!(target: "jobs", job:% = id, revision; "job ended by its sender");
    let until = gw.now() + CANCELLATION_TTL;
    let mut jobs = gw.jobs.borrow_mut();
    jobs.evict(id);
    jobs.add_tombstone(id, CancelledBy::Us, until);
    drop(jobs);
    gw.members.borrow_mut().claimed(id, gw.now());
    gw.report_due.notify_one();
    Outcome::Recorded
}

/// Stops a job that a peer reports as cancelled.
pub(crate) fn cancellation_reported(gw: &Gateway, id: &JobId, peer: &EntryName) {
    let until = gw.now() + CANCELLATION_TTL;
    gw.jobs
        .borrow_mut()
        .add_tombstone(id, CancelledBy::Peer, until);
    let Some(owned) = owned_job(gw, id) else {
        return;
    };
    let revision = owned.job.borrow().revision;
    info!(target: "jobs", job:% = id, peer:% = peer, revision; "job ended, reported by a peer");
    gw.metrics.job_end("reported");
    stop_running(gw, &owned);
    gw.jobs.borrow_mut().evict(id);
}
