//! Stored keys and records of jobs.

use bluebellreel_batch::JobRecord;
use bluebellreel_batch::keys::{self, KeyText};
use bluebellreel_kv::{Key, KeyValue, Txn};
use bluebellreel_types::JobId;
use log::warn;

/// Converts a key's text to a key of the store.
pub(super) fn key(text: &KeyText) -> Key {
    Key::from(text.as_str())
}

/// The job record among the key-value pairs that a failed transaction returned.
pub(super) fn stored_record(found: &[KeyValue], record_key: &Key) -> Option<(i64, JobRecord)> {
    let kv = found.iter().find(|kv| kv.key == *record_key)?;
    match JobRecord::try_from(kv.value.as_slice()) {
        Ok(record) => Some((kv.revision, record)),
        Err(e) => {
            warn!(target: "jobs", key:% = record_key, error:% = e; "record not read");
            None
        }
    }
}

/// A transaction that replaces a job's record, to change the owner.
pub(super) fn owner_txn(id: &JobId, record: &JobRecord, revision: i64) -> Txn {
    Txn::replace(key(&keys::record(id)), revision, record.encode())
}
