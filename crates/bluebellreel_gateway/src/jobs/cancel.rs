//! Ending a job on its sender's word.
//!
//! An end is acknowledged once the job's record says so. Whatever way leads there
//! is followed until it is recorded, also when the caller has left or was answered
//! that it is not recorded yet: its sender may not ask again.

use super::load;
use super::load::owned_job;
use super::own::{Accepted, EndedBy, OwnedJob};
use super::read::owner_address;
use super::stored::key;
use crate::gateway::Gateway;
use crate::peer_calls::PeerError;
use crate::{answers, peer_calls};
use bluebellreel_batch::{JobPhase, JobRecord, keys};
use bluebellreel_kv::{Commit, Compare, Put, Txn};
use bluebellreel_net::Body;
use bluebellreel_types::{EntryName, JobId};
use http::{Response, StatusCode};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

/// Longest that one try to record an end takes.
const RECORD: Duration = Duration::from_millis(2500);
/// First pause before an end that could not be recorded is tried again.
const BACKOFF: Duration = Duration::from_millis(500);
/// Longest such pause; each is twice the one before.
const BACKOFF_LONGEST: Duration = Duration::from_secs(5);
/// Ends that are tried again at once, apart from those of jobs owned here.
const PENDING: usize = 256;
/// How long an end of a job that is not owned here is tried again.
const RETRY_FOR: Duration = Duration::from_mins(1);
/// When a caller should return while the end cannot be recorded.
const RETURN_AFTER: Duration = Duration::from_millis(300);
/// How long an end is remembered, and named by the reports of the daemon that
/// recorded it.
const REMEMBER_FOR: Duration = Duration::from_secs(10);
/// How long a job that had no record when it was ended is not accepted: a
/// submission in doubt is repeated for half of it.
const TOMBSTONE: Duration = Duration::from_mins(1);
/// Times that a record that changes under the call is read again.
const TRIES: usize = 4;

/// How a try to end a job came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The end is recorded.
    Recorded,
    /// There is no such job.
    NoSuchJob,
    /// The end is not recorded, or not known to be.
    Undecided,
}

impl Outcome {
    fn answer(self) -> Response<Body> {
        match self {
            Self::Recorded => answers::status(StatusCode::OK),
            Self::NoSuchJob => answers::failure(StatusCode::NOT_FOUND, "no such job"),
            Self::Undecided => {
                answers::retry_after(StatusCode::BAD_GATEWAY, "not recorded yet", RETURN_AFTER)
            }
        }
    }
}

/// Ends a job, wherever it is.
pub(super) async fn cancel(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    let decided = begin(gw, id).await;
    decided.unwrap_or(Outcome::Undecided).answer()
}

/// Ends a job in a task of its own; how the first try came out.
fn begin(gw: &Rc<Gateway>, id: &JobId) -> oneshot::Receiver<Outcome> {
    let (tx, rx) = oneshot::channel();
    let (gw, id) = (gw.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let outcome = end(&gw, &id).await;
        // The caller may have left.
        let _ = tx.send(outcome);
        if outcome == Outcome::Undecided {
            retry_end(&gw, &id).await;
        }
    });
    rx
}

/// Goes on with an end that a stopping peer could not record.
pub(crate) fn take_end(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    if gw.stopping.get() {
        return answers::failure(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    drop(begin(gw, id));
    answers::status(StatusCode::OK)
}

/// Has peers go on with the ends that a stopping daemon could not record.
pub(crate) fn pass_ends_on(gw: &Rc<Gateway>) {
    let pending: Vec<JobId> = {
        let jobs = &mut *gw.jobs.borrow_mut();
        let passed_on = &mut jobs.ends_passed_on;
        let left = jobs.ends_pending.iter();
        left.filter(|id| passed_on.insert((*id).clone()))
            .cloned()
            .collect()
    };
    for id in pending {
        let gw = gw.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = pass_on(&gw, &id).await {
                warn!(target: "jobs", job:% = id, error:% = e; "end not passed on");
                sleep(BACKOFF).await;
                gw.jobs.borrow_mut().ends_passed_on.remove(&id);
            }
        });
    }
}

/// Has the job's successor go on with its end.
async fn pass_on(gw: &Gateway, id: &JobId) -> Result<(), PeerError> {
    let (now, members) = (gw.now(), &gw.members);
    let successor = members.borrow().successor(id, None, now);
    let successor = successor.ok_or("nobody is heard")?;
    let calls = members
        .borrow()
        .alive_peer(&successor, now)
        .map(|p| p.calls);
    peer_calls::pass_end_on(gw, calls.ok_or("nobody is heard")?, id).await?;
    info!(target: "jobs", job:% = id, peer:% = successor; "end passed on");
    Ok(())
}

/// Ends a job of ours for a peer.
pub(crate) async fn cancel_own(gw: &Rc<Gateway>, id: &JobId) -> Response<Body> {
    if owned_job(gw, id).is_none() {
        return answers::failure(StatusCode::CONFLICT, "not the owner");
    }
    cancel(gw, id).await
}

/// Tries to end a job until it is decided. Items of a job of ours have stopped and
/// will not go on, so that its end is tried for as long as it is ours.
async fn retry_end(gw: &Rc<Gateway>, id: &JobId) {
    let is_full = gw.jobs.borrow().ends_pending.len() >= PENDING && owned_job(gw, id).is_none();
    if is_full {
        warn!(target: "jobs", job:% = id, jobs = PENDING; "end not tried again");
        return;
    }
    if !gw.jobs.borrow_mut().ends_pending.insert(id.clone()) {
        return;
    }
    let until = Instant::now() + RETRY_FOR;
    let mut pause = BACKOFF;
    while owned_job(gw, id).is_some() || Instant::now() < until {
        sleep(pause).await;
        pause = BACKOFF_LONGEST.min(pause * 2);
        if end(gw, id).await != Outcome::Undecided {
            break;
        }
    }
    gw.jobs.borrow_mut().ends_pending.remove(id);
}

/// Tries once to end a job.
async fn end(gw: &Rc<Gateway>, id: &JobId) -> Outcome {
    let submission = gw.jobs.borrow().submissions.get(id).cloned();
    if let Some(mut decided) = submission {
        // A write that is in doubt may still create the record.
        let until = Instant::now() + RECORD;
        let decision = timeout_at(until, decided.wait_for(|a| *a != Accepted::Open));
        if !matches!(decision.await, Ok(Ok(_))) {
            return Outcome::Undecided;
        }
    }
    if let Some(owned) = owned_job(gw, id) {
        stop_running(gw, &owned);
    } else if ask_owner(gw, id).await {
        return Outcome::Recorded;
    }
    end_in_store(gw, id).await
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

async fn end_in_store(gw: &Rc<Gateway>, id: &JobId) -> Outcome {
    let until = Instant::now() + RECORD;
    for _ in 0..TRIES {
        let (revision, record) = match load::record(gw, id).await {
            Ok(Some(found)) => (found.revision, found.record),
            Ok(None) => match bury(gw, id, until).await {
                Commit::Applied { .. } => return Outcome::NoSuchJob,
                // It was accepted meanwhile.
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
        if record.phase != JobPhase::Open {
            return recorded(gw, id, revision);
        }
        match gw
            .store
            .commit(&end_txn(id, &record, revision), until)
            .await
        {
            Commit::Applied { revision } => return recorded(gw, id, revision),
            // It was changed meanwhile: read it again.
            Commit::Beaten(_) => {}
            Commit::NotDone(reason) | Commit::Unknown(reason) => {
                warn!(target: "jobs", job:% = id, reason = reason.as_str(); "end not recorded");
                return Outcome::Undecided;
            }
        }
    }
    Outcome::Undecided
}

/// Keeps a job that has no record from being accepted: its submission may be in
/// doubt at a peer.
async fn bury(gw: &Gateway, id: &JobId, until: Instant) -> Commit {
    let lease = match gw.store.lease(TOMBSTONE).await {
        Ok(lease) => lease.id,
        Err(e) => return Commit::NotDone(e.to_string()),
    };
    let tombstone = Put {
        key: key(&keys::tombstone(id)),
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

fn recorded(gw: &Gateway, id: &JobId, revision: i64) -> Outcome {
    info!(target: "jobs", job:% = id, revision; "job ended by its sender");
    let until = gw.now() + REMEMBER_FOR;
    let mut jobs = gw.jobs.borrow_mut();
    jobs.evict(id);
    jobs.add_tombstone(id, EndedBy::Us, until);
    drop(jobs);
    gw.members.borrow_mut().claimed(id, gw.now());
    gw.report_due.notify_one();
    Outcome::Recorded
}

/// A peer reports that a job was ended.
pub(crate) fn end_reported(gw: &Gateway, id: &JobId, peer: &EntryName) {
    let until = gw.now() + REMEMBER_FOR;
    gw.jobs.borrow_mut().add_tombstone(id, EndedBy::Peer, until);
    let Some(owned) = owned_job(gw, id) else {
        return;
    };
    let revision = owned.job.borrow().revision;
    info!(target: "jobs", job:% = id, peer:% = peer, revision; "job ended, says a peer");
    gw.metrics.job_end("reported");
    stop_running(gw, &owned);
    gw.jobs.borrow_mut().evict(id);
}
