//! Accepting each job exactly once.
//!
//! A job is accepted when its record is created in the store. The write is
//! retried until its outcome is known, even after the caller has disconnected.
//! While the outcome is unknown, the response says neither that the job is accepted
//! nor that it will not run: the write may still take effect later.

use super::adopt::{adopt_new, adopt_stored};
use super::load::{self, owned_job};
use super::own::{PendingSubmission, SubmissionOutcome};
use super::quota::{self, Quota};
use super::refusals;
use super::room::{self, Unfit};
use super::stored::{key, stored_record};
use super::upload::{self, Interruption, Upload};
use crate::answers;
use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_batch::{JobPhase, JobRecord, NewItem, OpenJob, Owner, keys, split_input};
use bluebellreel_dispatch::Route;
use bluebellreel_kv::{Commit, Compare, KeyValue, Put, Txn};
use bluebellreel_net::{Body, Hold};
use bluebellreel_platform::jobs as wire;
use bluebellreel_types::JobId;
use bytes::Bytes;
use http::{Response, StatusCode};
use log::{info, warn};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// How long a write with an unknown outcome is retried, even if its caller has
/// disconnected.
const COMMIT_RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on the time that a caller waits while the store fails. After it, the
/// caller should try another daemon.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Sent to a caller whose job was not stored: time to wait before it retries.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Sent to a caller that should retry at another daemon, as this one stops or has
/// not listed the open jobs yet.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);
/// Sent to a caller whose job exceeds its quota.
const RETRY_AFTER_OVER_QUOTA: Duration = Duration::from_millis(1200);
/// Limit on the attempts to write an acceptance together with its quota's ledger,
/// which concurrent acceptances change.
const MAX_LEDGER_TRIES: usize = 5;
/// Limit on the puts of one transaction: the store takes 32 entries.
const MAX_CHUNKS_PER_TXN: usize = 24;
/// Limit on the size of a chunk, in percent of the longest value that the store
/// takes.
const CHUNK_PERCENT: usize = 60;

/// A caller's submission of a job.
pub(crate) struct Submission {
    pub(crate) id: JobId,
    /// Name of the team whose key accompanied it.
    pub(crate) team: Option<Arc<str>>,
    pub(crate) body: Bytes,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
}

/// Answers a submission.
pub(crate) async fn submit(
    gw: &Rc<Gateway>,
    route: &Arc<Route>,
    submission: Submission,
) -> Response<Body> {
    let Submission {
        id,
        team,
        body,
        received,
        deadline,
    } = submission;
    if id.as_str().is_empty() {
        return answers::failure(StatusCode::BAD_REQUEST, "no id");
    }
    let is_countable =
        quota::wait_until_countable(gw, route, deadline.min(received + STORE_TIMEOUT)).await;
    let underway = underway_for(gw, &id, team.as_ref(), deadline).await;
    let Ok(underway) = underway else {
        return refusals::in_doubt(gw, &id);
    };
    let known_team = owned_job(gw, &id).map(|owned| owned.job.borrow().record.team.clone());
    if let Some(known_team) = known_team {
        if known_team.is_some() && known_team != team {
            return other_team(&id);
        }
        return accepted_response(gw, &id, received, "known");
    }
    if underway.is_none() && gw.stopping.get() {
        // A new submission would only wait until this process exits. One that is
        // already being written may yet be accepted, so its sender must not get the answer
        // that it was refused.
        let reason = "stopping";
        return answers::retry_after(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            RETRY_AFTER_STOPPING,
        );
    }
    let decided = if let Some(underway) = underway {
        underway
    } else if !is_countable {
        // Listing the open jobs has failed, so the write would probably fail too. The
        // caller gets the refusal without waiting.
        warn!(target: "jobs", job:% = id; "job refused: open jobs not listed yet");
        gw.metrics.job("refused");
        let reason = "open jobs not listed yet";
        return answers::retry_after(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            RETRY_AFTER_STOPPING,
        );
    } else {
        let hold = match room::reserve(gw, &id, &body) {
            Ok(hold) => hold,
            Err(Unfit::Now) => return refusals::no_room(gw, &id).await,
            Err(Unfit::Ever) => return refusals::too_large(gw, &id).await,
        };
        let decoded = wire::decode_job(&body);
        drop(body);
        let items = match decoded {
            Ok(items) => items,
            Err(e) => {
                warn!(target: "jobs", job:% = id, error:% = e; "job not read");
                return answers::failure(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        if !room::fits(gw, &items) {
            return refusals::no_room(gw, &id).await;
        }
        let tokens: u64 = items.iter().map(|i| i.tokens).sum();
        let record = new_record(gw, route, team, &items);
        let quota = Quota::of(route, &record);
        if !quota.fits(gw, tokens) {
            return answer_over_quota(gw, &id, &quota, &record).await;
        }
        begin(gw, &id, quota, record, items, hold)
    };
    await_decision(gw, &id, decided, received, deadline).await
}

/// Answers a submission that exceeds the quota. Its job may have been accepted
/// before, so the store is read first.
async fn answer_over_quota(
    gw: &Gateway,
    id: &JobId,
    quota: &Quota,
    record: &JobRecord,
) -> Response<Body> {
    let known = load::record(gw, id).await;
    if let Ok(Some(found)) = &known {
        if found.record.team.is_some() && found.record.team != record.team {
            return other_team(id);
        }
        return answers::status(StatusCode::ACCEPTED);
    }
    let waiting = quota.tokens_waiting(gw);
    warn!(target: "jobs", job:% = id, scope:% = quota.scope, tokens = record.tokens, waiting, quota = quota.tokens; "job does not fit");
    gw.metrics.job("no_room");
    if known.is_err() {
        let reason = "store away";
        return answers::retry_after(StatusCode::BAD_GATEWAY, reason, RETRY_AFTER);
    }
    answers::retry_after(
        StatusCode::TOO_MANY_REQUESTS,
        "no room",
        RETRY_AFTER_OVER_QUOTA,
    )
}

/// The answer to a submission under the id of another team's job.
fn other_team(id: &JobId) -> Response<Body> {
    warn!(target: "jobs", job:% = id; "job refused: another team's job has this id");
    answers::failure(StatusCode::CONFLICT, "id in use")
}

fn accepted_response(gw: &Gateway, id: &JobId, received: Instant, how: &str) -> Response<Body> {
    let took = received.elapsed();
    gw.metrics.job("accepted");
    gw.metrics.job_accepted.observe(took.as_secs_f64());
    info!(target: "jobs", job:% = id, took_ms = millis(took), how; "job accepted");
    answers::status(StatusCode::ACCEPTED)
}

/// The submission of this job by the same team that is being written, if any. One by
/// another team is awaited first: its outcome says nothing about this team's job.
///
/// # Errors
///
/// Returns an error if that is not decided by the deadline.
async fn underway_for(
    gw: &Gateway,
    id: &JobId,
    team: Option<&Arc<str>>,
    deadline: Instant,
) -> Result<Option<watch::Receiver<SubmissionOutcome>>, Elapsed> {
    loop {
        let underway = gw.jobs.borrow().submissions.get(id).cloned();
        let Some(mut underway) = underway else {
            return Ok(None);
        };
        if underway.team.is_none() || underway.team.as_ref() == team {
            return Ok(Some(underway.outcome));
        }
        // The sender is dropped once its task has ended.
        let ended = async { while underway.outcome.changed().await.is_ok() {} };
        timeout_at(deadline, ended).await?;
    }
}

async fn await_decision(
    gw: &Gateway,
    id: &JobId,
    mut decided: watch::Receiver<SubmissionOutcome>,
    received: Instant,
    deadline: Instant,
) -> Response<Body> {
    let outcome = timeout_at(
        deadline,
        decided.wait_for(|a| *a != SubmissionOutcome::Pending),
    )
    .await;
    let outcome = match outcome {
        Ok(Ok(accepted)) => *accepted,
        _ => SubmissionOutcome::Pending,
    };
    match outcome {
        SubmissionOutcome::Stored => accepted_response(gw, id, received, "stored"),
        SubmissionOutcome::NotStored => {
            warn!(target: "jobs", job:% = id; "job refused: store unavailable");
            gw.metrics.job("refused");
            answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, "store away", RETRY_AFTER)
        }
        SubmissionOutcome::OverQuota => {
            warn!(target: "jobs", job:% = id; "job does not fit");
            gw.metrics.job("no_room");
            answers::retry_after(
                StatusCode::TOO_MANY_REQUESTS,
                "no room",
                RETRY_AFTER_OVER_QUOTA,
            )
        }
        SubmissionOutcome::OtherTeam => other_team(id),
        SubmissionOutcome::Pending => refusals::in_doubt(gw, id),
    }
}

/// The record of a new job that this daemon owns.
fn new_record(gw: &Gateway, route: &Route, team: Option<Arc<str>>, items: &[NewItem]) -> JobRecord {
    let now = gw.now();
    JobRecord {
        host: route.host.clone(),
        route: route.name.clone(),
        team,
        accepted_at: now,
        due_at: now + route.job_objective,
        give_up_at: now + route.retention,
        items: items.len(),
        tokens: items.iter().map(|i| i.tokens).sum(),
        chunks: 0,
        phase: JobPhase::Open,
        owner: Owner {
            entry: gw.me().clone(),
            run: gw.run,
        },
    }
}

/// Starts writing the job. Concurrent submissions of the same job wait for the
/// same outcome.
fn begin(
    gw: &Rc<Gateway>,
    id: &JobId,
    quota: Quota,
    record: JobRecord,
    items: Vec<NewItem>,
    hold: Hold,
) -> watch::Receiver<SubmissionOutcome> {
    let (tx, rx) = watch::channel(SubmissionOutcome::Pending);
    let pending = PendingSubmission {
        team: record.team.clone(),
        outcome: rx.clone(),
    };
    gw.jobs.borrow_mut().submissions.insert(id.clone(), pending);
    let (gw, id) = (gw.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let accepted = store(&gw, &id, &quota, record, items).await;
        gw.jobs.borrow_mut().submissions.remove(&id);
        drop(hold);
        tx.send_replace(accepted);
    });
    rx
}

async fn store(
    gw: &Rc<Gateway>,
    id: &JobId,
    quota: &Quota,
    mut record: JobRecord,
    items: Vec<NewItem>,
) -> SubmissionOutcome {
    let chunk_bytes = gw.settings.value_bytes / 100 * CHUNK_PERCENT;
    let chunks = split_input(&items, chunk_bytes);
    record.chunks = chunks.len();
    let mut puts: Vec<Put> = chunks
        .iter()
        .enumerate()
        .map(|(at, chunk)| {
            Put::lasting(
                key(&keys::input(id, at)),
                bluebellreel_batch::encode_items(chunk),
            )
        })
        .collect();
    let mut first = Vec::new();
    while total_bytes(&puts) > chunk_bytes || puts.len() > MAX_CHUNKS_PER_TXN {
        first.push(puts.remove(0));
    }
    let upload = if first.is_empty() {
        None
    } else {
        match upload::write(gw, id, first).await {
            Ok(upload) => Some(upload),
            Err(Interruption::Recorded(stored)) => {
                gw.jobs.borrow_mut().note_owner(id, &stored);
                return outcome_beside(&record, &stored);
            }
            Err(Interruption::Displaced) => return SubmissionOutcome::Pending,
            Err(Interruption::NotStored) => return SubmissionOutcome::NotStored,
        }
    };
    let outcome = accept(gw, id, quota, &record, &items, puts, upload.as_ref()).await;
    let is_rejected = !matches!(
        outcome,
        SubmissionOutcome::Stored | SubmissionOutcome::Pending
    );
    if let Some(upload) = upload.filter(|_| is_rejected) {
        upload.discard(gw, id);
    }
    outcome
}

/// Creates the record, together with the chunks that are not in the upload.
async fn accept(
    gw: &Rc<Gateway>,
    id: &JobId,
    quota: &Quota,
    record: &JobRecord,
    items: &[NewItem],
    mut puts: Vec<Put>,
    upload: Option<&Upload>,
) -> SubmissionOutcome {
    let record_key = key(&keys::record(id));
    puts.push(Put::lasting(record_key.clone(), record.encode()));
    let open = OpenJob::from(record).encode();
    puts.push(Put::lasting(key(&keys::open(id)), open));
    let txn = Txn {
        compares: vec![
            Compare::Absent(record_key.clone()),
            Compare::Absent(key(&keys::tombstone(id, record.team.as_deref()))),
        ],
        puts,
        ..Txn::default()
    };
    let txn = match upload {
        Some(upload) => upload.finish(id, txn),
        None => txn.and(upload::no_upload(id)),
    };
    let uses_ledger = quota.needs_ledger(gw, record.tokens);
    for _ in 0..MAX_LEDGER_TRIES {
        let txn = if uses_ledger {
            match quota.add_ledger(gw, id, record.tokens, &txn).await {
                Ok(Some(txn)) => txn,
                Ok(None) => return outcome_over_quota(gw, id, record).await,
                Err(e) => {
                    warn!(target: "jobs", job:% = id, error:% = e; "quota not read");
                    return SubmissionOutcome::NotStored;
                }
            }
        } else {
            txn.clone()
        };
        if let Some(accepted) = create_record(gw, id, record, items, &txn, upload).await {
            return accepted;
        }
    }
    SubmissionOutcome::NotStored
}

/// Outcome of a submission that its route's ledger has no room for. Its job may have
/// been accepted before, so the store is read first.
async fn outcome_over_quota(gw: &Gateway, id: &JobId, record: &JobRecord) -> SubmissionOutcome {
    match load::record(gw, id).await {
        Ok(Some(found)) => outcome_beside(record, &found.record),
        Ok(None) => SubmissionOutcome::OverQuota,
        Err(_) => SubmissionOutcome::Pending,
    }
}

/// Outcome of a submission whose job's id has this record already.
fn outcome_beside(record: &JobRecord, stored: &JobRecord) -> SubmissionOutcome {
    if stored.team.is_some() && stored.team != record.team {
        SubmissionOutcome::OtherTeam
    } else {
        SubmissionOutcome::Stored
    }
}

fn total_bytes(puts: &[Put]) -> usize {
    puts.iter().map(|p| p.value.len()).sum()
}

/// Creates the record. The first attempt has a short timeout. If its response is
/// lost, the write is retried until its outcome is known. `None` if another
/// acceptance has changed the route's ledger meanwhile.
async fn create_record(
    gw: &Rc<Gateway>,
    id: &JobId,
    record: &JobRecord,
    items: &[NewItem],
    txn: &Txn,
    upload: Option<&Upload>,
) -> Option<SubmissionOutcome> {
    let record_key = key(&keys::record(id));
    let asked = gw.stamp();
    let mut outcome = gw.store.commit(txn, Instant::now() + STORE_TIMEOUT).await;
    if let Commit::Unknown(reason) = &outcome {
        warn!(target: "jobs", job:% = id, reason = reason.as_str(); "acceptance in doubt");
        outcome = gw
            .store
            .commit(txn, Instant::now() + COMMIT_RETRY_TIMEOUT)
            .await;
        // Even if a retry was certainly not applied, the first attempt may have been
        // applied.
        if let Commit::NotDone(reason) = outcome {
            outcome = Commit::Unknown(reason);
        }
    }
    match outcome {
        Commit::Applied { revision } => {
            adopt_new(gw, id, record.clone(), revision, items.to_vec(), asked);
            Some(SubmissionOutcome::Stored)
        }
        Commit::Beaten(found) => {
            let Some((revision, stored)) = stored_record(&found, &record_key) else {
                return outcome_without_record(gw, id, record, upload, &found);
            };
            if stored == *record {
                adopt_stored(gw, id, stored, revision, asked).await;
                return Some(SubmissionOutcome::Stored);
            }
            let outcome = outcome_beside(record, &stored);
            if outcome == SubmissionOutcome::Stored {
                gw.jobs.borrow_mut().note_owner(id, &stored);
            }
            Some(outcome)
        }
        Commit::NotDone(_) => Some(SubmissionOutcome::NotStored),
        Commit::Unknown(_) => Some(SubmissionOutcome::Pending),
    }
}

/// Outcome of a submission whose record was refused though there is none. `None` if only
/// the ledger has changed.
fn outcome_without_record(
    gw: &Rc<Gateway>,
    id: &JobId,
    record: &JobRecord,
    upload: Option<&Upload>,
    found: &[KeyValue],
) -> Option<SubmissionOutcome> {
    let tombstone = key(&keys::tombstone(id, record.team.as_deref()));
    if found.iter().any(|kv| kv.key == tombstone) {
        // The outcome stays unknown: an attempt whose response was lost may still be
        // applied after the tombstone has expired.
        return Some(SubmissionOutcome::Pending);
    }
    match (upload, upload::stored_marker(id, found)) {
        // Another submission has displaced this one, and may be of the same job.
        (Some(upload), marker) if !upload.holds(marker) => Some(SubmissionOutcome::Pending),
        // An attempt whose response was lost may still be applied once the upload has ended.
        (None, Some(marker)) => {
            let (gw, id, marker) = (gw.clone(), id.clone(), marker.clone());
            tokio::task::spawn_local(async move {
                if let Err(e) = upload::make_way(&gw, &id, &marker).await {
                    warn!(target: "jobs", job:% = id, error:% = e; "left-over input not removed");
                }
            });
            Some(SubmissionOutcome::Pending)
        }
        _ => None,
    }
}
