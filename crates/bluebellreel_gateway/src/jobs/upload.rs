//! Storing the input of a job that is too large for one transaction.
//!
//! Its first chunks are written before the job's record. The job's [`UploadMarker`] makes
//! one submission the only writer of these chunks until its record is created, so that
//! no other submission under the same id replaces them, not even by a write that takes
//! effect late.

use super::load;
use super::stored::{key, stored_record};
use super::takeover::is_cleanup_leader;
use crate::gateway::Gateway;
use crate::store::MAX_SMALL_ENTRY_BYTES;
use bluebellreel_batch::{JobRecord, Owner, UploadMarker, keys};
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, KvError, Put, Txn};
use bluebellreel_types::JobId;
use log::{info, warn};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long one write is retried.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long another submission's upload may make no progress before it is removed to make
/// way. Its holder has given up by then.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between checks whether another submission's upload makes progress.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long an upload waits for others under the same id.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between searches for abandoned uploads.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// How long an upload that nobody else waits for may make no progress.
const ABANDONED_AFTER: Duration = Duration::from_secs(10);
/// Limit on the chunks that one transaction deletes: the store takes 32 entries.
const MAX_DELETES_PER_TXN: usize = 24;

/// Chunks of a job's input that are stored before its record.
pub(super) struct Upload {
    marker: UploadMarker,
    /// Revision of the stored marker; zero if it is not stored.
    revision: i64,
}

/// Why an input is not stored.
pub(super) enum Interruption {
    /// Another submission has created the job's record.
    Recorded(JobRecord),
    /// Another submission under the same id goes on, with an unknown outcome.
    Displaced,
    /// The store failed.
    NotStored,
}

/// Writes the first chunks of a job's input.
pub(super) async fn write(
    gw: &Rc<Gateway>,
    id: &JobId,
    chunks: Vec<Put>,
) -> Result<Upload, Interruption> {
    let mut upload = Upload {
        marker: next_marker(gw),
        revision: 0,
    };
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    for chunk in chunks {
        if let Err(interruption) = upload.write_chunk(gw, id, chunk, give_up_at).await {
            upload.discard(gw, id);
            return Err(interruption);
        }
    }
    Ok(upload)
}

/// A marker that no other submission has, without chunks.
fn next_marker(gw: &Gateway) -> UploadMarker {
    let owner = Owner {
        entry: gw.me().clone(),
        run: gw.run,
    };
    UploadMarker {
        owner,
        submission: gw.jobs.borrow_mut().next_upload(),
        chunks: 0,
    }
}

/// The guard that no submission stores an input under this id.
pub(super) fn no_upload(id: &JobId) -> Compare {
    Compare::Absent(key(&keys::upload(id)))
}

/// The marker among the key-value pairs that a failed transaction returned.
pub(super) fn stored_marker<'a>(id: &JobId, found: &'a [KeyValue]) -> Option<&'a KeyValue> {
    let marker_key = key(&keys::upload(id));
    found.iter().find(|kv| kv.key == marker_key)
}

impl Upload {
    fn guard(&self, id: &JobId) -> Compare {
        if self.revision == 0 {
            return no_upload(id);
        }
        Compare::Unchanged(key(&keys::upload(id)), self.revision)
    }

    /// Makes the transaction that creates the record the end of this upload.
    pub(super) fn finish(&self, id: &JobId, txn: Txn) -> Txn {
        txn.and(self.guard(id)).deleting(key(&keys::upload(id)))
    }

    /// Whether the marker that a failed transaction returned is this upload's.
    pub(super) fn holds(&self, marker: Option<&KeyValue>) -> bool {
        marker.is_some_and(|kv| kv.revision == self.revision)
    }

    async fn write_chunk(
        &mut self,
        gw: &Gateway,
        id: &JobId,
        chunk: Put,
        give_up_at: Instant,
    ) -> Result<(), Interruption> {
        let marker = UploadMarker {
            chunks: self.marker.chunks + 1,
            ..self.marker.clone()
        };
        let (marker_key, record_key) = (key(&keys::upload(id)), key(&keys::record(id)));
        let value = marker.encode();
        let txn = Txn {
            compares: vec![self.guard(id), Compare::Absent(record_key.clone())],
            puts: vec![Put::lasting(marker_key, value.clone()), chunk],
            ..Txn::default()
        };
        while Instant::now() < give_up_at {
            let until = Instant::now() + COMMIT_TIMEOUT;
            let revision = match gw.store.commit(&txn, until).await {
                Commit::Applied { revision } => revision,
                Commit::Beaten(found) => {
                    if let Some((_, record)) = stored_record(&found, &record_key) {
                        return Err(Interruption::Recorded(record));
                    }
                    match stored_marker(id, &found) {
                        // An attempt whose response was lost has been applied.
                        Some(own) if own.value == value => own.revision,
                        Some(other) if self.revision == 0 => {
                            let is_free = make_way(gw, id, other).await;
                            is_free.map_err(|e| not_stored(id, &e.to_string()))?;
                            continue;
                        }
                        _ => return Err(Interruption::Displaced),
                    }
                }
                Commit::NotDone(reason) | Commit::Unknown(reason) => {
                    return Err(not_stored(id, &reason));
                }
            };
            (self.marker, self.revision) = (marker, revision);
            return Ok(());
        }
        Err(Interruption::Displaced)
    }

    /// Removes the chunks in the background, as their job is not accepted.
    pub(super) fn discard(self, gw: &Rc<Gateway>, id: &JobId) {
        if self.revision == 0 {
            return;
        }
        let (gw, id) = (gw.clone(), id.clone());
        tokio::task::spawn_local(async move {
            remove_or_warn(&gw, &id, self.marker.chunks, self.revision).await;
        });
    }
}

fn not_stored(id: &JobId, reason: &str) -> Interruption {
    warn!(target: "jobs", job:% = id, reason; "input not stored");
    Interruption::NotStored
}

/// Waits until another submission's upload under this id goes on or ends. Removes it if it
/// does neither.
pub(super) async fn make_way(gw: &Gateway, id: &JobId, found: &KeyValue) -> Result<(), KvError> {
    let marker = decode(id, found);
    // A daemon writes one submission of a job at a time, so its own earlier one has ended.
    let is_over = marker.as_ref().is_some_and(|m| m.owner.entry == *gw.me());
    let idle_until = Instant::now() + IDLE_TIMEOUT;
    while !is_over && Instant::now() < idle_until {
        sleep(POLL_INTERVAL).await;
        let now = gw.store.read(&found.key).await?;
        if now.is_none_or(|kv| kv.revision != found.revision) {
            return Ok(());
        }
    }
    remove(gw, id, chunks_of(marker.as_ref()), found.revision).await
}

/// A stored marker; `None` if it is not readable, so that its chunks are not known.
fn decode(id: &JobId, found: &KeyValue) -> Option<UploadMarker> {
    let marker = UploadMarker::try_from(found.value.as_slice());
    marker
        .inspect_err(|e| warn!(target: "jobs", job:% = id, error:% = e; "upload not readable"))
        .ok()
}

fn chunks_of(marker: Option<&UploadMarker>) -> usize {
    marker.map_or(0, |m| m.chunks)
}

/// Removes an upload's chunks and its marker. A record may exist where a daemon of an
/// earlier build has accepted a job, as it looks for no marker: the record's chunks stay.
async fn remove(
    gw: &Gateway,
    id: &JobId,
    mut chunks: usize,
    mut revision: i64,
) -> Result<(), KvError> {
    let (marker_key, record_key) = (key(&keys::upload(id)), key(&keys::record(id)));
    loop {
        let found = load::record(gw, id).await?;
        let (kept, guard) = match found {
            Some(found) => (
                found.record.chunks,
                Compare::Unchanged(record_key.clone(), found.revision),
            ),
            None => (0, Compare::Absent(record_key.clone())),
        };
        let rest = chunks.saturating_sub(MAX_DELETES_PER_TXN).max(kept);
        let removed = rest..chunks;
        let chunk_key = |at| key(&keys::input(id, at));
        let mut txn = Txn {
            compares: vec![Compare::Unchanged(marker_key.clone(), revision), guard],
            deletes: removed.clone().map(chunk_key).collect(),
            ..Txn::default()
        };
        let is_last = rest == kept;
        chunks = rest;
        if is_last {
            txn.deletes.push(marker_key.clone());
        } else {
            let marker = UploadMarker {
                chunks,
                ..next_marker(gw)
            };
            txn.puts
                .push(Put::lasting(marker_key.clone(), marker.encode()));
        }
        let until = Instant::now() + COMMIT_TIMEOUT;
        revision = match gw.store.commit(&txn, until).await {
            Commit::Applied { revision } => revision,
            // Its holder goes on, or another daemon removes it.
            Commit::Beaten(_) => return Ok(()),
            Commit::NotDone(reason) => return Err(KvError::NotDone(reason)),
            Commit::Unknown(reason) => return Err(KvError::Unknown(reason)),
        };
        info!(target: "jobs", job:% = id, chunks = removed.len(), revision; "left-over input removed");
        if is_last {
            return Ok(());
        }
    }
}

async fn remove_or_warn(gw: &Gateway, id: &JobId, chunks: usize, revision: i64) {
    if let Err(e) = remove(gw, id, chunks, revision).await {
        warn!(target: "jobs", job:% = id, error:% = e; "left-over input not removed");
    }
}

/// Removes abandoned uploads, in an endless loop on the cleanup leader.
pub(crate) async fn remove_abandoned(gw: Rc<Gateway>) {
    let prefix = Key::from(keys::UPLOADS_PREFIX);
    // When an upload counts as abandoned unless its revision changes.
    let mut abandoned_at: HashMap<JobId, (i64, Instant)> = HashMap::new();
    loop {
        sleep(SWEEP_INTERVAL).await;
        if gw.stopping.get() || !is_cleanup_leader(&gw) {
            abandoned_at.clear();
            continue;
        }
        let Ok((uploads, _)) = gw.store.list_stale(&prefix, MAX_SMALL_ENTRY_BYTES).await else {
            continue;
        };
        let before = std::mem::take(&mut abandoned_at);
        for kv in uploads {
            let Some(id) = kv.key.as_str().strip_prefix(keys::UPLOADS_PREFIX) else {
                continue;
            };
            let id = JobId::from(id);
            let at = match before.get(&id) {
                Some((revision, at)) if *revision == kv.revision => *at,
                _ => Instant::now() + ABANDONED_AFTER,
            };
            if at <= Instant::now() {
                remove_or_warn(&gw, &id, chunks_of(decode(&id, &kv).as_ref()), kv.revision).await;
            }
            abandoned_at.insert(id, (kv.revision, at));
        }
    }
}
