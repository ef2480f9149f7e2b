//! Key names in the key-value service.
//!
//! `job/` contains only running jobs, so that a watch on it reports every change of
//! ownership and every end, and a starting daemon reads little. Ended jobs move to
//! `done/` in the transaction that ends them.

use bluebellreel_chunk::VolumeId;
use bluebellreel_kv::Key;
use bluebellreel_types::{DataCentre, EntryName, JobId, WorkerName};

/// The manifest.
pub(crate) fn manifest_key() -> Key {
    Key::from("manifest")
}

/// All drain orders.
pub(crate) fn drain_prefix() -> Key {
    Key::from("order/drain/")
}

/// The drain order for a worker.
pub(crate) fn drain_key(worker: &WorkerName) -> Key {
    Key::from(format!("order/drain/{worker}"))
}

/// The matchers of all data centres.
pub(crate) fn matcher_prefix() -> Key {
    Key::from("matcher/")
}

/// The matcher of a data centre.
pub(crate) fn matcher_key(data_centre: &DataCentre) -> Key {
    Key::from(format!("matcher/{data_centre}"))
}

/// All volumes.
pub(crate) fn volume_prefix() -> Key {
    Key::from("volume/")
}

/// The record of a volume.
pub(crate) fn volume_key(volume: VolumeId) -> Key {
    Key::from(format!("volume/{volume}"))
}

/// All live entry daemons.
pub(crate) fn entry_prefix() -> Key {
    Key::from("entry/")
}

/// One live entry daemon.
pub(crate) fn entry_key(name: &EntryName) -> Key {
    Key::from(format!("entry/{name}"))
}

/// All running jobs.
pub(crate) fn job_prefix() -> Key {
    Key::from("job/")
}

/// A running job.
pub(crate) fn job_key(id: &JobId) -> Key {
    Key::from(format!("job/{id}"))
}

/// The job id in a key under [`job_prefix`].
pub(crate) fn job_id_of(key: &Key) -> JobId {
    let text = key.as_str();
    JobId::from(text.strip_prefix("job/").unwrap_or(text))
}

/// An ended job.
pub(crate) fn done_key(id: &JobId) -> Key {
    Key::from(format!("done/{id}"))
}

/// End markers of the jobs that ended on a day, counted from 1970-01-01.
pub(crate) fn ended_prefix(day: u64) -> Key {
    Key::from(format!("ended/{day:08}/"))
}

/// Marker of a job that ended on a day; the sweep of old jobs reads these markers.
pub(crate) fn ended_key(day: u64, id: &JobId) -> Key {
    Key::from(format!("ended/{day:08}/{id}"))
}

/// All input chunks.
pub(crate) fn uploads_prefix() -> Key {
    Key::from("in/")
}

/// All input chunks of one upload.
pub(crate) fn input_prefix(id: &JobId, upload: &str) -> Key {
    Key::from(format!("in/{id}/{upload}/"))
}

/// One input chunk.
pub(crate) fn input_key(id: &JobId, upload: &str, chunk: u32) -> Key {
    Key::from(format!("in/{id}/{upload}/{chunk:08}"))
}

/// All result chunks of a job.
pub(crate) fn output_prefix(id: &JobId) -> Key {
    Key::from(format!("out/{id}/"))
}

/// One result chunk.
pub(crate) fn output_key(id: &JobId, epoch: u64, seq: u64) -> Key {
    Key::from(format!("out/{id}/{epoch:08}-{seq:08}"))
}

/// All claims of a job's non-repeatable items.
pub(crate) fn item_claim_prefix(id: &JobId) -> Key {
    Key::from(format!("sent/{id}/"))
}

/// One group of claims of non-repeatable items, written by one transaction.
pub(crate) fn item_claim_key(id: &JobId, epoch: u64, seq: u64) -> Key {
    Key::from(format!("sent/{id}/{epoch:08}-{seq:08}"))
}

/// The claim of a non-repeatable online call.
pub(crate) fn claim_key(id: &str) -> Key {
    Key::from(format!("claim/{id}"))
}
