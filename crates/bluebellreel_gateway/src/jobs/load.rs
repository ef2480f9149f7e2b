//! Reading a job from the store.

use super::own::OwnedJob;
use super::stored::key;
use crate::gateway::Gateway;
use bluebellreel_batch::{
    ItemResult, Job, JobRecord, NewItem, RecordError, Stamp, StoredCounts, decode_counts,
    decode_items, decode_segment, keys,
};
use bluebellreel_kv::{KeyValue, KvError};
use bluebellreel_net::Hold;
use bluebellreel_types::JobId;
use std::rc::Rc;

fn unreadable(e: &RecordError) -> KvError {
    KvError::Refused(e.to_string())
}

/// A job's record as stored.
pub(super) struct FoundRecord {
    pub(super) revision: i64,
    pub(super) record: JobRecord,
    /// When the call to the store was sent.
    pub(super) asked: Stamp,
}

/// A job's record; `None` if there is no such job.
pub(super) async fn record(gw: &Gateway, id: &JobId) -> Result<Option<FoundRecord>, KvError> {
    let asked = gw.stamp();
    let Some(kv) = gw.store.read(&key(&keys::record(id))).await? else {
        return Ok(None);
    };
    let record = JobRecord::try_from(kv.value.as_slice()).map_err(|e| unreadable(&e))?;
    {
        let mut jobs = gw.jobs.borrow_mut();
        jobs.note_owner(id, &record);
        jobs.open.note_record(id, &record);
    }
    Ok(Some(FoundRecord {
        revision: kv.revision,
        record,
        asked,
    }))
}

/// Recorded results of a job.
pub(super) struct Listed {
    /// Number of results before these.
    pub(super) skipped: usize,
    pub(super) results: Vec<ItemResult>,
    /// Whether these are all that are recorded.
    pub(super) is_whole: bool,
}

/// The recorded results of a job, within `hold`: all of them if they take `limit` bytes at the
/// most, else some from position `after` on.
///
/// # Errors
///
/// Fails if the store does, or if there is no room for them.
pub(super) async fn results(
    gw: &Gateway,
    id: &JobId,
    after: usize,
    limit: usize,
    hold: &Hold,
) -> Result<Listed, KvError> {
    let prefix = key(&keys::segments(id));
    let max_value_bytes = gw.settings.value_bytes;
    let mut last = None;
    let mut listed = Listed {
        skipped: 0,
        results: Vec::new(),
        is_whole: false,
    };
    loop {
        let page = gw
            .store
            .list_page(&prefix, last.as_ref(), max_value_bytes, true)
            .await?;
        let is_last = !page.truncated || page.items.is_empty();
        last = page.items.last().map(|kv| kv.key.clone());
        let page_bytes: usize = page.items.iter().map(|kv| kv.value.len()).sum();
        let has_room = hold.set_memory(listed.bytes() + 2 * page_bytes).is_ok();
        if !has_room {
            return Err(KvError::NotDone("no room for the results".into()));
        }
        let (segments, _) = decode_outputs(id, page.items)?;
        listed.results.extend(segments.into_iter().flatten());
        if listed.bytes() > limit {
            listed.skip_to(after);
        }
        if is_last {
            listed.is_whole = listed.skipped == 0;
            return Ok(listed);
        }
        if listed.bytes() > limit {
            return Ok(listed);
        }
    }
}

impl Listed {
    /// Memory of the results, in bytes.
    fn bytes(&self) -> usize {
        self.results.iter().map(result_bytes).sum()
    }

    /// Drops results before a position.
    fn skip_to(&mut self, after: usize) {
        let passed = after.saturating_sub(self.skipped).min(self.results.len());
        self.results.drain(..passed);
        self.skipped += passed;
    }
}

/// Memory of a result, in bytes.
pub(super) fn result_bytes(result: &ItemResult) -> usize {
    result.text.len() + result.id.len()
}

/// All recorded results of a job, by segment, and the counts of its items.
async fn outputs(
    gw: &Gateway,
    id: &JobId,
) -> Result<(Vec<Vec<ItemResult>>, Vec<StoredCounts>), KvError> {
    let prefix = key(&keys::segments(id));
    let (all, _) = gw.store.list(&prefix, gw.settings.value_bytes).await?;
    decode_outputs(id, all)
}

fn decode_outputs(
    id: &JobId,
    all: Vec<KeyValue>,
) -> Result<(Vec<Vec<ItemResult>>, Vec<StoredCounts>), KvError> {
    let prefix = keys::segments(id);
    let (mut segments, mut counts) = (Vec::new(), Vec::new());
    for kv in all {
        if keys::number(&prefix, kv.key.as_str()).is_some() {
            segments.push(decode_segment(&kv.value).map_err(|e| unreadable(&e))?);
        } else if let Some(chunk) = keys::counts_number(&prefix, kv.key.as_str()) {
            counts.push(StoredCounts {
                chunk,
                revision: kv.revision,
                counts: decode_counts(&kv.value).map_err(|e| unreadable(&e))?,
            });
        }
    }
    Ok((segments, counts))
}

/// The items in one chunk of a job's input.
pub(super) async fn chunk(gw: &Gateway, id: &JobId, chunk: usize) -> Result<Vec<NewItem>, KvError> {
    let Some(kv) = gw.store.read(&key(&keys::input(id, chunk))).await? else {
        return Ok(Vec::new());
    };
    decode_items(&kv.value).map_err(|e| unreadable(&e))
}

/// All items of a job whose record names this number of chunks. Chunks beyond it may be
/// left over from a submission that was not accepted.
pub(super) async fn input(
    gw: &Gateway,
    id: &JobId,
    chunks: usize,
) -> Result<Vec<NewItem>, KvError> {
    let prefix = keys::inputs(id);
    let (all, _) = gw
        .store
        .list(&key(&prefix), gw.settings.value_bytes)
        .await?;
    let is_own = |kv: &&KeyValue| {
        keys::number(&prefix, kv.key.as_str()).is_some_and(|number| number < chunks)
    };
    let mut items = Vec::new();
    for kv in all.iter().filter(is_own) {
        items.extend(decode_items(&kv.value).map_err(|e| unreadable(&e))?);
    }
    Ok(items)
}

/// Assembles a job from its record at this revision and its stored input, segments and counts.
pub(super) async fn job(
    gw: &Gateway,
    id: &JobId,
    record: JobRecord,
    revision: i64,
) -> Result<Job, KvError> {
    let input = input(gw, id, record.chunks).await?;
    let (segments, counts) = outputs(gw, id).await?;
    let job = Job::new(id.clone(), record, revision, input, segments);
    Ok(job.with_counts(counts, gw.now()))
}

/// A job that this daemon owns, as far as it knows.
pub(super) fn owned_job(gw: &Gateway, id: &JobId) -> Option<Rc<OwnedJob>> {
    gw.jobs.borrow().own.get(id).cloned()
}
