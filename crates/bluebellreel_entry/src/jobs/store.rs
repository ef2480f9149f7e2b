//! Jobs in the key-value service and on disks.

use crate::data::ChunkAccess;
use crate::jobs::messages::{JobWrite, OpenedJob};
use crate::jobs::timestamps::day_of;
use crate::platform::{
    done_key, ended_key, input_key, item_claim_key, item_claim_prefix, job_key, output_key,
    output_prefix,
};
use bluebellreel_job::{
    ClaimChunk, ClaimedItem, ItemEnd, ItemResult, JobCounts, JobRecord, JobState, ResultChunk,
};
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, KvClient, KvError, Put, Txn};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, content_digest};
use std::time::Duration;

/// Timeout of one write to a job; the job's owner retries it later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Result chunks read by one call.
pub(crate) const READ_PAGE: usize = 4;

/// Storage of jobs: the key-value service, and disks for large chunks.
#[derive(Clone, Copy)]
pub(crate) struct JobStorage<'a> {
    pub(crate) kv: &'a KvClient,
    pub(crate) data: &'a ChunkAccess,
}

/// A stored job and the revision of its record.
#[derive(Clone, Debug)]
pub(crate) struct FoundJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
}

/// The stored form of a job's record.
pub(crate) fn job_value(record: &JobRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Finds a running or ended job.
pub(crate) fn find_job(kv: &KvClient, id: &JobId) -> Result<Option<FoundJob>, KvError> {
    // Reads `job/` first: a job moves to `done/` in one transaction, so a job
    // that has left `job/` by the first read is found by the second.
    for key in [job_key(id), done_key(id)] {
        if let Some(found) = kv.get(&key)? {
            let record = serde_json::from_slice(&found.value)
                .map_err(|e| KvError::Refused(e.to_string()))?;
            let revision = found.revision;
            return Ok(Some(FoundJob { record, revision }));
        }
    }
    Ok(None)
}

/// Takes over a job whose owner is gone. The write is conditional on the record's
/// revision: of two daemons that try, only one succeeds, and the former owner's
/// writes fail from then on.
pub(crate) fn take_over(
    kv: &KvClient,
    record: &JobRecord,
    revision: i64,
    me: EntryName,
    run: Incarnation,
) -> Option<(Box<JobRecord>, i64)> {
    let mine = record.taken_over(me, run);
    let txn = Txn::replace(job_key(&record.id), revision, job_value(&mine));
    match kv.commit(&txn, kv.now() + WRITE_TIMEOUT) {
        Commit::Applied { revision } => Some((Box::new(mine), revision)),
        Commit::Beaten(_) | Commit::NotDone(_) | Commit::Unknown(_) => None,
    }
}

/// Reads a job's recorded results and claims.
pub(crate) fn open_job(
    storage: JobStorage<'_>,
    record: JobRecord,
    revision: i64,
) -> Result<OpenedJob, KvError> {
    let mut recorded = Vec::new();
    for_each_result(storage, &record, |result| {
        let succeeded = matches!(result.end, ItemEnd::Succeeded { .. });
        recorded.push((result.index, succeeded));
    })?;
    let mut claims: Vec<ClaimedItem> = Vec::new();
    for_each_chunk(storage.kv, &item_claim_prefix(&record.id), |_, value| {
        let chunk: ClaimChunk = parse(value)?;
        claims.extend(chunk.claims);
        Ok(())
    })?;
    Ok(OpenedJob {
        record,
        revision,
        recorded,
        claims,
    })
}

/// Visits every recorded result of a job.
pub(crate) fn for_each_result(
    storage: JobStorage<'_>,
    record: &JobRecord,
    mut visit: impl FnMut(ItemResult),
) -> Result<(), KvError> {
    for_each_chunk(storage.kv, &output_prefix(&record.id), |_, value| {
        results_of(storage, record, value)?
            .into_iter()
            .for_each(&mut visit);
        Ok(())
    })
}

/// The results of one chunk, read from disks if they are stored there.
pub(crate) fn results_of(
    storage: JobStorage<'_>,
    record: &JobRecord,
    value: &[u8],
) -> Result<Vec<ItemResult>, KvError> {
    let chunk: ResultChunk = parse(value)?;
    let Some(held) = chunk.held else {
        return Ok(chunk.results);
    };
    let bytes = storage.data.get(record, &held);
    parse(&bytes.ok_or_else(|| KvError::NotDone("results cannot be read from disks".into()))?)
}

fn parse<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(value).map_err(|e| KvError::Refused(e.to_string()))
}

/// Visits the values of a prefix in key order, reading [`READ_PAGE`] of them per
/// call.
fn for_each_chunk(
    kv: &KvClient,
    prefix: &Key,
    mut visit: impl FnMut(&Key, &[u8]) -> Result<(), KvError>,
) -> Result<(), KvError> {
    let mut next = prefix.clone();
    loop {
        let (page, more) = kv.range_page(&next, &prefix.prefix_end(), READ_PAGE, false)?;
        for found in &page {
            visit(&found.key, &found.value)?;
        }
        match page.last() {
            Some(last) if more => next = Key::from(format!("{}\0", last.key)),
            _ => return Ok(()),
        }
    }
}

/// Reads an input chunk and checks its digest against the job's record.
pub(crate) fn load_chunk(
    storage: JobStorage<'_>,
    record: &JobRecord,
    chunk: u32,
) -> Option<Vec<u8>> {
    let expected = record.chunks.get(chunk as usize)?;
    let found = if let Some(held) = expected.held() {
        Ok(storage.data.get(record, &held))
    } else {
        let key = input_key(&record.id, &record.upload, chunk);
        storage.kv.get(&key).map(|found| Some(found?.value))
    };
    match found {
        Ok(Some(bytes)) if content_digest(&bytes) == expected.digest => Some(bytes),
        Ok(Some(_)) => {
            log::error!(target: "jobs", job:% = record.id, chunk; "Input chunk does not match its digest.");
            None
        }
        Ok(None) => {
            log::error!(target: "jobs", job:% = record.id, chunk; "An input chunk is missing.");
            None
        }
        Err(e) => {
            log::warn!(target: "jobs", job:% = record.id, error:% = e; "Input chunk cannot be read.");
            None
        }
    }
}

fn write_of(commit: &Commit) -> JobWrite {
    match commit {
        Commit::Applied { .. } => JobWrite::Done,
        Commit::Beaten(_) => JobWrite::Fenced,
        Commit::NotDone(_) | Commit::Unknown(_) => JobWrite::Failed,
    }
}

/// A write that is conditional on the job record's revision: it fails once
/// another owner has taken over or the job has ended.
fn guarded(record: &JobRecord, revision: i64, key: Key, value: Vec<u8>) -> Txn {
    Txn::create(key, value).and(Compare::Unchanged(job_key(&record.id), revision))
}

/// Writes results to disks and a reference to them to the key-value service.
/// Small results, and those that no disk accepts, go to the key-value service as
/// a whole, so results are never lost for lack of a disk.
pub(crate) fn record_results(
    storage: JobStorage<'_>,
    record: &JobRecord,
    revision: i64,
    seq: u64,
    results: &[ItemResult],
) -> JobWrite {
    let bytes = serde_json::to_vec(results).unwrap_or_default();
    let held = if storage.data.stores_on_disk(bytes.len()) {
        storage
            .data
            .put(record.id.as_str(), &record.upload, &bytes)
            .ok()
    } else {
        None
    };
    let chunk = ResultChunk {
        epoch: record.epoch,
        results: if held.is_none() {
            results.to_vec()
        } else {
            Vec::new()
        },
        held,
    };
    let value = serde_json::to_vec(&chunk).unwrap_or_default();
    let key = output_key(&record.id, record.epoch, seq);
    let txn = guarded(record, revision, key.clone(), value);
    match storage.kv.commit(&txn, storage.kv.now() + WRITE_TIMEOUT) {
        // If the response to an earlier attempt was lost, a retry finds the key
        // already written by this owner, not by another one. Treated as fenced,
        // the owner dropped its job, which no daemon took over because its
        // record still named a live daemon. Only the owner writes under its
        // epoch, so equal results under this key are its own.
        Commit::Beaten(found) if found.iter().any(|kv| kv.key == key && holds(kv, results)) => {
            JobWrite::Done
        }
        commit => write_of(&commit),
    }
}

/// Whether a stored chunk contains exactly these results, inline or on disks.
fn holds(kv: &KeyValue, results: &[ItemResult]) -> bool {
    let Ok(chunk) = parse::<ResultChunk>(&kv.value) else {
        return false;
    };
    match chunk.held {
        Some(held) => {
            let bytes = serde_json::to_vec(results).unwrap_or_default();
            held.digest == content_digest(&bytes)
        }
        None => chunk.results == results,
    }
}

/// Writes claims of non-repeatable items.
pub(crate) fn record_claims(
    kv: &KvClient,
    record: &JobRecord,
    revision: i64,
    seq: u64,
    claims: Vec<ClaimedItem>,
) -> JobWrite {
    let chunk = ClaimChunk {
        epoch: record.epoch,
        claims,
    };
    let value = serde_json::to_vec(&chunk).unwrap_or_default();
    let key = item_claim_key(&record.id, record.epoch, seq);
    let txn = guarded(record, revision, key, value);
    write_of(&kv.commit(&txn, kv.now() + WRITE_TIMEOUT))
}

/// Moves a job to `done/` in one conditional transaction, so that it ends only
/// once.
pub(crate) fn close_job(
    kv: &KvClient,
    record: &JobRecord,
    revision: i64,
    ended: &JobRecord,
) -> JobWrite {
    write_of(&kv.commit(&end_txn(record, revision, ended), kv.now() + WRITE_TIMEOUT))
}

fn end_txn(record: &JobRecord, revision: i64, ended: &JobRecord) -> Txn {
    let (running, done) = (job_key(&record.id), done_key(&record.id));
    Txn {
        compares: vec![
            Compare::Absent(done.clone()),
            Compare::Unchanged(running.clone(), revision),
        ],
        puts: vec![
            Put::lasting(done, job_value(ended)),
            Put {
                key: ended_key(
                    day_of(ended.ended_at.unwrap_or(ended.accepted_at)),
                    &ended.id,
                ),
                value: Vec::new(),
                lease: 0,
            },
        ],
        ..Txn::default()
    }
    .deleting(running)
}

/// The result of a cancellation.
#[derive(Clone, Debug)]
pub(crate) enum CancelAnswer {
    /// The job has ended, by this cancellation or before it.
    Over(Box<JobRecord>),
    /// There is no such job.
    NoSuchJob,
    /// The cancellation was not confirmed; `unknown` states whether it may have taken
    /// effect.
    Failed {
        /// Whether the cancellation may have taken effect.
        unknown: bool,
        /// Why it was not confirmed.
        reason: String,
    },
}

/// Cancels a job permanently. Returns `Over` only after the end is recorded.
pub(crate) fn cancel_job(storage: JobStorage<'_>, id: &JobId, now: Moment) -> CancelAnswer {
    let kv = storage.kv;
    let until = kv.now() + WRITE_TIMEOUT;
    loop {
        let found = match find_job(kv, id) {
            Ok(Some(found)) => found,
            Ok(None) => return CancelAnswer::NoSuchJob,
            Err(e) => {
                let reason = e.to_string();
                let unknown = false;
                return CancelAnswer::Failed { unknown, reason };
            }
        };
        if found.record.state != JobState::Running {
            return CancelAnswer::Over(Box::new(found.record));
        }
        let counts = count_results(storage, &found.record).unwrap_or(found.record.counts);
        let ended = found.record.ended(JobState::Cancelled, counts, now);
        let txn = end_txn(&found.record, found.revision, &ended);
        match kv.commit(&txn, until) {
            Commit::Applied { .. } => return CancelAnswer::Over(Box::new(ended)),
            // The job was completed or taken over concurrently: read it again.
            Commit::Beaten(_) if !until.is_past(kv.now()) => {}
            Commit::Beaten(_) => {
                let reason = "the job changes too often".into();
                let unknown = false;
                return CancelAnswer::Failed { unknown, reason };
            }
            Commit::NotDone(reason) => {
                let unknown = false;
                return CancelAnswer::Failed { unknown, reason };
            }
            Commit::Unknown(reason) => {
                let unknown = true;
                return CancelAnswer::Failed { unknown, reason };
            }
        }
    }
}

/// Counts a job's recorded results.
fn count_results(storage: JobStorage<'_>, record: &JobRecord) -> Result<JobCounts, KvError> {
    let mut counts = JobCounts::default();
    for_each_result(storage, record, |result| match result.end {
        ItemEnd::Succeeded { .. } => counts.succeeded += 1,
        ItemEnd::Failed { .. } => counts.failed += 1,
    })?;
    Ok(counts)
}

#[cfg(test)]
mod tests;
