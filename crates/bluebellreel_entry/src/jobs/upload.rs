//! Accepts a job: streams its body into input chunks, then creates its record.
//! The job is accepted exactly when its record exists.

use crate::data::PutError;
use crate::jobs::store::{JobStorage, find_job, job_value};
use crate::jobs::timestamps::upload_name;
use crate::platform::{done_key, input_key, input_prefix, job_key};
use bluebellreel_chunk::VolumeId;
use bluebellreel_http::ApiError;
use bluebellreel_job::{ChunkRef, InputChunk, InputReader, JobCounts, JobRecord, JobState};
use bluebellreel_kv::{Commit, Compare, KvClient, Put, Txn};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, Ran, TeamName, content_digest};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Timeout for storing one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After` of a job that was refused because the disks are full.
const DISKS_FULL_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Timeout for creating the record.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a successful submission.
#[derive(Debug)]
pub(crate) enum AcceptAnswer {
    /// The job was accepted at this revision of its record.
    Accepted(Box<JobRecord>, i64),
    /// The same job had been accepted earlier.
    Existing(Box<JobRecord>),
}

/// A job to be accepted, apart from its body.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    pub(crate) id: JobId,
    pub(crate) team: TeamName,
    pub(crate) deadline: Moment,
    pub(crate) accepted_at: Moment,
    pub(crate) owner: EntryName,
    pub(crate) owner_run: Incarnation,
    pub(crate) max_items: usize,
}

/// Hashes the body that `next` yields piece by piece.
pub(crate) fn digest_body(
    mut next: impl FnMut() -> Result<Option<Vec<u8>>, ApiError>,
) -> Result<String, ApiError> {
    let mut hasher = Sha256::new();
    while let Some(piece) = next()? {
        hasher.update(&piece);
    }
    Ok(hex::encode(hasher.finalize()))
}

/// Accepts a job whose body `next` yields piece by piece. `admit` may refuse a new
/// job; a resend of an accepted job always returns the accepted one.
pub(crate) fn accept_job(
    storage: JobStorage<'_>,
    submission: &Submission,
    admit: impl FnOnce() -> Result<(), ApiError>,
    mut next: impl FnMut() -> Result<Option<Vec<u8>>, ApiError>,
) -> Result<AcceptAnswer, ApiError> {
    let kv = storage.kv;
    if kv.seems_down() {
        return Err(not_accepted("the key-value service is down"));
    }
    let before = find_job(kv, &submission.id).map_err(|e| not_accepted(&e.to_string()))?;
    if let Some(before) = before {
        let digest = digest_body(next)?;
        return same_body(before.record, &digest);
    }
    admit()?;
    let upload = upload_name(submission.accepted_at);
    let stored = store_body(storage, submission, &upload, &mut next);
    let record = match stored {
        Ok(record) => record,
        Err(e) => {
            discard_upload(kv, &submission.id, &upload);
            return Err(e);
        }
    };
    create_record(kv, record)
}

fn store_body(
    storage: JobStorage<'_>,
    submission: &Submission,
    upload: &str,
    next: &mut impl FnMut() -> Result<Option<Vec<u8>>, ApiError>,
) -> Result<JobRecord, ApiError> {
    let mut reader = InputReader::new(submission.max_items);
    let mut hasher = Sha256::new();
    let mut chunks = Vec::new();
    let bad_line = |e: bluebellreel_job::InputError| ApiError::new(400, "bad_line", e.to_string());
    while let Some(piece) = next()? {
        hasher.update(&piece);
        for chunk in reader.push(&piece).map_err(bad_line)? {
            chunks.push(store_chunk(
                storage,
                submission,
                upload,
                chunks.len(),
                &chunk,
            )?);
        }
    }
    let (target, last) = reader.finish().map_err(bad_line)?;
    if let Some(chunk) = last {
        chunks.push(store_chunk(
            storage,
            submission,
            upload,
            chunks.len(),
            &chunk,
        )?);
    }
    Ok(JobRecord {
        id: submission.id.clone(),
        team: submission.team.clone(),
        digest: hex::encode(hasher.finalize()),
        upload: upload.to_owned(),
        target,
        accepted_at: submission.accepted_at,
        deadline: submission.deadline,
        items: reader.items(),
        chunks,
        state: JobState::Running,
        owner: submission.owner.clone(),
        owner_run: submission.owner_run,
        epoch: 1,
        counts: JobCounts::default(),
        ended_at: None,
    })
}

fn store_chunk(
    storage: JobStorage<'_>,
    submission: &Submission,
    upload: &str,
    number: usize,
    chunk: &InputChunk,
) -> Result<ChunkRef, ApiError> {
    let volume = if storage.data.stores_on_disk(chunk.bytes.len()) {
        store_on_disks(storage, submission, upload, chunk)?
    } else {
        None
    };
    if volume.is_none() {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let key = input_key(&submission.id, upload, number);
        let txn = Txn::create(key, chunk.bytes.clone());
        match storage.kv.commit(&txn, storage.kv.now() + CHUNK_TIMEOUT) {
            Commit::Applied { .. } => {}
            Commit::Beaten(_) => return Err(not_accepted("the upload's name was taken")),
            Commit::NotDone(reason) | Commit::Unknown(reason) => {
                return Err(not_accepted(&reason));
            }
        }
    }
    Ok(ChunkRef {
        first: chunk.first,
        items: chunk.items,
        digest: content_digest(&chunk.bytes),
        bytes: chunk.bytes.len() as u64,
        volume,
    })
}

/// Stores a chunk on disks. Returns `None` if no volume has both its holders now,
/// as in a site that has just started; the chunk then goes to the key-value
/// service.
fn store_on_disks(
    storage: JobStorage<'_>,
    submission: &Submission,
    upload: &str,
    chunk: &InputChunk,
) -> Result<Option<VolumeId>, ApiError> {
    match storage
        .data
        .put(submission.id.as_str(), upload, &chunk.bytes)
    {
        Ok(held) => Ok(Some(held.volume)),
        Err(PutError::NoHolders) => Ok(None),
        Err(PutError::Full) => {
            let message = "the job could not be stored: the disks are full";
            let error = ApiError::new(507, "disks_full", message);
            Err(error.retry_after(DISKS_FULL_RETRY_AFTER))
        }
    }
}

/// The error of a job that was not accepted. No item runs before the record
/// exists, so "not run" is correct.
fn not_accepted(reason: &str) -> ApiError {
    let message = format!("the job could not be stored: {reason}");
    ApiError::new(503, "unavailable", message).retry_after(Duration::from_secs(2))
}

fn create_record(kv: &KvClient, record: JobRecord) -> Result<AcceptAnswer, ApiError> {
    let done = done_key(&record.id);
    let txn = Txn {
        puts: vec![Put::lasting(job_key(&record.id), job_value(&record))],
        compares: vec![
            Compare::Absent(job_key(&record.id)),
            Compare::Absent(done.clone()),
        ],
        ..Txn::default()
    }
    .reading(done);
    match kv.commit(&txn, kv.now() + ACCEPT_TIMEOUT) {
        Commit::Applied { revision } => Ok(AcceptAnswer::Accepted(Box::new(record), revision)),
        Commit::Beaten(found) => {
            discard_upload(kv, &record.id, &record.upload);
            let first = found
                .first()
                .and_then(|kv| serde_json::from_slice::<JobRecord>(&kv.value).ok());
            match first {
                Some(first) => same_body(first, &record.digest),
                None => Err(not_accepted("the first submission cannot be read")),
            }
        }
        Commit::NotDone(reason) => {
            discard_upload(kv, &record.id, &record.upload);
            Err(not_accepted(&reason))
        }
        // The record may exist: the caller has to resend or read the job.
        Commit::Unknown(reason) => {
            let message = format!("whether the job was accepted is not known: {reason}");
            let error = ApiError::new(503, "unknown", message).ran(Ran::Unknown);
            Err(error.retry_after(Duration::from_secs(2)))
        }
    }
}

/// Answers a submission whose key was used before: the existing job if the body
/// is the same, else an error.
fn same_body(first: JobRecord, digest: &str) -> Result<AcceptAnswer, ApiError> {
    if first.digest == digest {
        return Ok(AcceptAnswer::Existing(Box::new(first)));
    }
    let message = format!(
        "the key was used before, with another body, for {}",
        first.id
    );
    Err(ApiError::new(409, "key_reused", message))
}

/// Deletes the chunks of an upload that no record refers to. The sweeper later
/// removes chunks that cannot be deleted now.
fn discard_upload(kv: &KvClient, id: &JobId, upload: &str) {
    let prefix = input_prefix(id, upload);
    let until = kv.now() + CHUNK_TIMEOUT;
    if let Err(e) = kv.delete_prefix(&prefix, until) {
        log::warn!(target: "jobs", job:% = id, error:% = e; "Chunks of a refused upload could not be deleted; the sweeper removes them later.");
    }
}
