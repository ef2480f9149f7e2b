//! Store keys of a job's parts.

use bluebellreel_types::JobId;
use std::fmt;

/// Text of a key; the caller converts it to the key type of its store client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyText(String);

impl KeyText {
    /// The text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Prefix of the index of open jobs.
pub const OPEN_JOBS_PREFIX: &str = "job/open/";

/// What distinguishes the keys of counts from those of segments.
const COUNTS_PREFIX: &str = "counts-";

/// Prefix of the markers of inputs that are being stored.
pub const UPLOADS_PREFIX: &str = "job/upload/";

/// Key of the marker of a job whose input is being stored; see [`crate::UploadMarker`].
#[must_use]
pub fn upload(id: &JobId) -> KeyText {
    KeyText(format!("{UPLOADS_PREFIX}{id}"))
}

/// Key of a job's record.
#[must_use]
pub fn record(id: &JobId) -> KeyText {
    KeyText(format!("job/rec/{id}"))
}

/// Key of a job in the index of open jobs.
#[must_use]
pub fn open(id: &JobId) -> KeyText {
    KeyText(format!("{OPEN_JOBS_PREFIX}{id}"))
}

/// Key of the tombstone of a job that was cancelled before it had a record. Each team has
/// its own, as another team's job may have the same id.
#[must_use]
pub fn tombstone(id: &JobId, team: Option<&str>) -> KeyText {
    match team {
        Some(team) => KeyText(format!("job/ended/{id} {team}")),
        None => KeyText(format!("job/ended/{id}")),
    }
}

/// Key of the ledger of a quota that is nearly used up.
#[must_use]
pub fn quota(scope: &str) -> KeyText {
    KeyText(format!("quota/{scope}"))
}

/// Key of one chunk of a job's input.
#[must_use]
pub fn input(id: &JobId, chunk: usize) -> KeyText {
    KeyText(format!("job/in/{id}/{chunk:05}"))
}

/// Prefix of all chunks of a job's input.
#[must_use]
pub fn inputs(id: &JobId) -> KeyText {
    KeyText(format!("job/in/{id}/"))
}

/// Number of the chunk or segment stored under a key with this prefix. `None` if the key
/// belongs to another job, whose id begins with this job's.
#[must_use]
pub fn number(prefix: &KeyText, key: &str) -> Option<usize> {
    let number = key.strip_prefix(prefix.as_str())?;
    let is_number = number.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| number.parse().ok())?
}

/// Key of one segment of a job's results.
#[must_use]
pub fn segment(id: &JobId, number: usize) -> KeyText {
    KeyText(format!("job/out/{id}/{number:05}"))
}

/// Key of one chunk of the counts of a job's items. It has the prefix of the segments, so that
/// one list reads both.
#[must_use]
pub fn counts(id: &JobId, chunk: usize) -> KeyText {
    KeyText(format!("job/out/{id}/{COUNTS_PREFIX}{chunk:05}"))
}

/// Number of the chunk of counts stored under a key with the prefix of a job's segments.
#[must_use]
pub fn counts_number(segments: &KeyText, key: &str) -> Option<usize> {
    let prefix = KeyText(format!("{segments}{COUNTS_PREFIX}"));
    number(&prefix, key)
}

/// Prefix of all segments of a job's results.
#[must_use]
pub fn segments(id: &JobId) -> KeyText {
    KeyText(format!("job/out/{id}/"))
}
