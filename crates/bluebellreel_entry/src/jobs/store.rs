//! Jobs in the key-value service.

use crate::jobs::messages::{JobWrite, OpenedJob};
use crate::platform::{
    done_key, input_key, item_claim_key, item_claim_prefix, job_key, output_key, output_prefix,
};
use bluebellreel_job::{
    ClaimChunk, ClaimedItem, ItemEnd, ItemResult, JobCounts, JobRecord, JobState, ResultChunk,
};
use bluebellreel_kv::{Commit, Compare, Key, KvClient, KvError, Put, Txn};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, content_digest};
use serde::Serialize;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for one write to a job before it is tried again later.
const WRITE_TIME: Duration = Duration::from_secs(4);
/// Result chunks read at one time.
const READ_PAGE: usize = 4;

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
    match kv.commit(&txn, kv.now() + WRITE_TIME) {
        Commit::Applied { revision } => Some((Box::new(mine), revision)),
        Commit::Beaten(_) | Commit::NotDone(_) | Commit::Unknown(_) => None,
    }
}

/// Reads what is recorded of a job.
pub(crate) fn open_job(
    kv: &KvClient,
    record: JobRecord,
    revision: i64,
) -> Result<OpenedJob, KvError> {
    let mut recorded = Vec::new();
    for_each_chunk(kv, &output_prefix(&record.id), |_, value| {
        let chunk: ResultChunk = parse(value)?;
        recorded.extend(chunk.results.iter().map(|result| {
            let succeeded = matches!(result.end, ItemEnd::Succeeded { .. });
            (result.index, succeeded)
        }));
        Ok(())
    })?;
    let mut claims: Vec<ClaimedItem> = Vec::new();
    for_each_chunk(kv, &item_claim_prefix(&record.id), |_, value| {
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
pub(crate) fn load_chunk(kv: &KvClient, record: &JobRecord, chunk: u32) -> Option<Vec<u8>> {
    let key = input_key(&record.id, &record.upload, chunk);
    let expected = record.chunks.get(chunk as usize)?;
    match kv.get(&key) {
        Ok(Some(found)) if content_digest(&found.value) == expected.digest => Some(found.value),
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

/// Writes results.
pub(crate) fn record_results(
    kv: &KvClient,
    record: &JobRecord,
    revision: i64,
    seq: u64,
    results: &[ItemResult],
) -> JobWrite {
    let chunk = ResultChunk {
        epoch: record.epoch,
        results: results.to_vec(),
    };
    let value = serde_json::to_vec(&chunk).unwrap_or_default();
    let key = output_key(&record.id, record.epoch, seq);
    let txn = guarded(record, revision, key, value);
    write_of(&kv.commit(&txn, kv.now() + WRITE_TIME))
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
    write_of(&kv.commit(&txn, kv.now() + WRITE_TIME))
}

/// Moves a job to its end, in one transaction with one winner.
pub(crate) fn close_job(
    kv: &KvClient,
    record: &JobRecord,
    revision: i64,
    ended: &JobRecord,
) -> JobWrite {
    write_of(&kv.commit(&end_txn(record, revision, ended), kv.now() + WRITE_TIME))
}

fn end_txn(record: &JobRecord, revision: i64, ended: &JobRecord) -> Txn {
    let (running, done) = (job_key(&record.id), done_key(&record.id));
    Txn {
        compares: vec![
            Compare::Absent(done.clone()),
            Compare::Unchanged(running.clone(), revision),
        ],
        puts: vec![Put {
            key: done,
            value: job_value(ended),
            lease: 0,
        }],
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
pub(crate) fn cancel_job(kv: &KvClient, id: &JobId, now: Moment) -> CancelAnswer {
    let until = kv.now() + WRITE_TIME;
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
        let counts = count_results(kv, id).unwrap_or(found.record.counts);
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
pub(crate) fn count_results(kv: &KvClient, id: &JobId) -> Result<JobCounts, KvError> {
    let mut counts = JobCounts::default();
    for_each_chunk(kv, &output_prefix(id), |_, value| {
        let chunk: ResultChunk = parse(value)?;
        for result in &chunk.results {
            match result.end {
                ItemEnd::Succeeded { .. } => counts.succeeded += 1,
                ItemEnd::Failed { .. } => counts.failed += 1,
            }
        }
        Ok(())
    })?;
    Ok(counts)
}

/// One line of a job's results.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemLine {
    pub(crate) custom_id: Arc<str>,
    pub(crate) status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) response: Option<ItemResponse>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<ItemError>,
}

/// An item's answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemResponse {
    pub(crate) status_code: u16,
    pub(crate) body: Arc<str>,
}

/// Why an item has no answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ItemError {
    pub(crate) message: Arc<str>,
    pub(crate) attempts: u32,
}

/// A page of results and where the next one begins.
#[derive(Clone, Debug)]
pub(crate) struct ResultPage {
    pub(crate) lines: Vec<ItemLine>,
    /// Cursor of the next page; none when this was the last one.
    pub(crate) next: Option<String>,
}

/// Cursor of the part that lists items without a recorded result.
const UNFINISHED: &str = "unfinished";

/// Reads one page of results, in the order in which they were recorded. Items
/// of a cancelled or expired job that never finished come last.
pub(crate) fn read_results(
    kv: &KvClient,
    record: &JobRecord,
    after: Option<&str>,
) -> Result<ResultPage, KvError> {
    if let Some(rest) = after.and_then(|cursor| cursor.strip_prefix(UNFINISHED)) {
        let chunk = rest.trim_start_matches('-').parse().unwrap_or(0);
        return read_unfinished(kv, record, chunk);
    }
    let prefix = output_prefix(&record.id);
    let start = match after {
        Some(cursor) => Key::from(format!("{prefix}{cursor}\0")),
        None => prefix.clone(),
    };
    let (page, more) = kv.range_page(&start, &prefix.prefix_end(), READ_PAGE, false)?;
    let mut lines = Vec::new();
    for found in &page {
        let chunk: ResultChunk = parse(&found.value)?;
        for result in chunk.results {
            lines.push(line_of(kv, record, result)?);
        }
    }
    let last = page.last().map(|found| &found.key);
    let next = match last {
        Some(last) if more => last
            .as_str()
            .strip_prefix(prefix.as_str())
            .map(str::to_owned),
        _ if has_unfinished(record) => Some(format!("{UNFINISHED}-0")),
        _ => None,
    };
    Ok(ResultPage { lines, next })
}

fn has_unfinished(record: &JobRecord) -> bool {
    matches!(record.state, JobState::Cancelled | JobState::Expired)
}

fn line_of(kv: &KvClient, record: &JobRecord, result: ItemResult) -> Result<ItemLine, KvError> {
    // An item that ended in doubt under a later owner was recorded before its
    // chunk was read again; its name is found here.
    let custom_id = if result.custom_id.is_empty() {
        name_of(kv, record, result.index)?
    } else {
        result.custom_id
    };
    Ok(match result.end {
        ItemEnd::Succeeded { status, body } => ItemLine {
            custom_id,
            status: "succeeded",
            response: Some(ItemResponse {
                status_code: status,
                body,
            }),
            error: None,
        },
        ItemEnd::Failed { reason, attempts } => ItemLine {
            custom_id,
            status: "failed",
            response: None,
            error: Some(ItemError {
                message: reason,
                attempts,
            }),
        },
    })
}

fn name_of(kv: &KvClient, record: &JobRecord, index: u32) -> Result<Arc<str>, KvError> {
    let chunk = record.chunk_of(index);
    let names = names_in(kv, record, chunk)?;
    let first = record.chunks[chunk as usize].first;
    Ok(names
        .get((index - first) as usize)
        .cloned()
        .unwrap_or_default())
}

fn names_in(kv: &KvClient, record: &JobRecord, chunk: u32) -> Result<Vec<Arc<str>>, KvError> {
    let bytes = load_chunk(kv, record, chunk)
        .ok_or_else(|| KvError::NotDone("an input chunk cannot be read".into()))?;
    bluebellreel_job::custom_ids(&bytes).map_err(KvError::Refused)
}

/// Lists the items of one input chunk that have no recorded result.
fn read_unfinished(kv: &KvClient, record: &JobRecord, chunk: u32) -> Result<ResultPage, KvError> {
    let Some(place) = record.chunks.get(chunk as usize) else {
        let (lines, next) = (Vec::new(), None);
        return Ok(ResultPage { lines, next });
    };
    let range = place.first..place.first + place.items;
    let mut finished = HashSet::new();
    for_each_chunk(kv, &output_prefix(&record.id), |_, value| {
        let results: ResultChunk = parse(value)?;
        let indexes = results.results.iter().map(|result| result.index);
        finished.extend(indexes.filter(|index| range.contains(index)));
        Ok(())
    })?;
    let status = if record.state == JobState::Cancelled {
        "cancelled"
    } else {
        "expired"
    };
    let names = names_in(kv, record, chunk)?;
    let unfinished = range
        .zip(names)
        .filter(|(index, _)| !finished.contains(index));
    let lines = unfinished.map(|(_, custom_id)| ItemLine {
        custom_id,
        status,
        response: None,
        error: None,
    });
    let more = (chunk as usize) + 1 < record.chunks.len();
    Ok(ResultPage {
        lines: lines.collect(),
        next: more.then(|| format!("{UNFINISHED}-{}", chunk + 1)),
    })
}
