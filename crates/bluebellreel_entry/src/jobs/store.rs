//! Jobs as they are kept.

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

/// Longest time for one write to a job before it is tried again later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Result chunks read at one time.
pub(crate) const READ_PAGE: usize = 4;

/// Where jobs are kept: the key-value service, and disks for the chunks of
/// large ones.
#[derive(Clone, Copy)]
pub(crate) struct JobStorage<'a> {
    pub(crate) kv: &'a KvClient,
    pub(crate) data: &'a ChunkAccess,
}

/// A job as it is found.
#[derive(Clone, Debug)]
pub(crate) struct FoundJob {
    pub(crate) record: JobRecord,
    pub(crate) revision: i64,
}

/// A record as it is stored.
pub(crate) fn job_value(record: &JobRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Finds a job, running or over.
pub(crate) fn find_job(kv: &KvClient, id: &JobId) -> Result<Option<FoundJob>, KvError> {
    // Running first: a job moves to `done/` in one transaction, so one that is
    // not running any more is found there.
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

/// Takes a job over from an owner that is gone. The record's revision is the
/// guard: of two daemons that try, one wins, and the old owner's writes fail
/// from then on.
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

/// Reads what is recorded of a job.
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

/// Visits every result that is recorded.
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

/// The results of one chunk, wherever they lie.
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

/// Reads the values of a prefix in order, a few at one time.
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

/// Reads an input chunk and checks that it is the one that was accepted.
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
            log::error!(target: "jobs", job:% = record.id, chunk; "An input chunk is damaged.");
            None
        }
        Ok(None) => {
            log::error!(target: "jobs", job:% = record.id, chunk; "An input chunk is missing.");
            None
        }
        Err(e) => {
            log::warn!(target: "jobs", job:% = record.id, error:% = e; "An input chunk cannot be read.");
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

/// Guards a write by the record: an owner that another has followed, or whose
/// job was cancelled, can write nothing more.
fn guarded(record: &JobRecord, revision: i64, key: Key, value: Vec<u8>) -> Txn {
    Txn::create(key, value).and(Compare::Unchanged(job_key(&record.id), revision))
}

/// Writes results: to disks, and only their place to the key-value service, or
/// all of it there if they are few or no disk takes them. Results are never
/// given up for want of a disk.
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
        // Guard: a try whose answer was lost is no other owner's. Taken for one,
        // its job was let go of and lay for ever, as its record names a daemon
        // that lives. Only an owner writes under its epoch, and equal results
        // are no others'.
        Commit::Beaten(found) if found.iter().any(|kv| kv.key == key && holds(kv, results)) => {
            JobWrite::Done
        }
        commit => write_of(&commit),
    }
}

/// Whether a chunk of results holds just these, wherever they lie.
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

/// Writes claims of items that may not be repeated.
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

/// Moves a job to its end, in one transaction with one winner.
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

/// How a cancel came out.
#[derive(Clone, Debug)]
pub(crate) enum CancelAnswer {
    /// The job is over this way, by this cancel or before it.
    Over(Box<JobRecord>),
    /// There is no such job.
    NoSuchJob,
    /// It could not be recorded; whether it was is told by the flag.
    Failed {
        /// Whether it may have taken effect.
        unknown: bool,
        /// Why.
        reason: String,
    },
}

/// Cancels a job for good. Answered only once it is recorded.
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
            // Completed, or taken over, at the same moment: look again.
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

/// Counts the results that are recorded.
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
