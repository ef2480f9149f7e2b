//! Reading a job from the store.

use super::own::OwnedJob;
use super::stored::key;
use crate::gateway::Gateway;
use bluebellreel_batch::{
    ItemResult, Job, JobRecord, NewItem, RecordError, Stamp, decode_items, decode_segment, keys,
};
use bluebellreel_kv::{Key, KvError};
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

/// All recorded results of a job, by segment.
pub(super) async fn segments(gw: &Gateway, id: &JobId) -> Result<Vec<Vec<ItemResult>>, KvError> {
    let prefix = Key::from(keys::segments(id).as_str());
    let (all, _) = gw.store.list(&prefix, gw.settings.value_bytes).await?;
    all.iter()
        .map(|kv| decode_segment(&kv.value).map_err(|e| unreadable(&e)))
        .collect()
}

/// All items of a job.
pub(super) async fn input(gw: &Gateway, id: &JobId) -> Result<Vec<NewItem>, KvError> {
    let prefix = Key::from(keys::inputs(id).as_str());
    let (all, _) = gw.store.list(&prefix, gw.settings.value_bytes).await?;
    let mut items = Vec::new();
    for kv in &all {
        items.extend(decode_items(&kv.value).map_err(|e| unreadable(&e))?);
    }
    Ok(items)
}

/// Assembles a job from its record at this revision and its stored input and segments.
pub(super) async fn job(
    gw: &Gateway,
    id: &JobId,
    record: JobRecord,
    revision: i64,
) -> Result<Job, KvError> {
    let input = input(gw, id).await?;
    let segments = segments(gw, id).await?;
    Ok(Job::new(id.clone(), record, revision, input, segments))
}

/// A job that this daemon owns, as far as it knows.
pub(super) fn owned_job(gw: &Gateway, id: &JobId) -> Option<Rc<OwnedJob>> {
    gw.jobs.borrow().own.get(id).cloned()
}
