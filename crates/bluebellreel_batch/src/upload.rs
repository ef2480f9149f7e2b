//! Marker of a job whose input is being stored in several transactions.
//!
//! There is one marker per job id, and only its holder writes chunks of this job's input:
//! each write requires the marker's last revision and replaces the marker. The
//! transaction that creates the job's record deletes it. A marker that stays unchanged
//! belongs to an abandoned submission. Deleting it also makes all later writes of its
//! holder fail.

use crate::{Owner, RecordError};
use serde::{Deserialize, Serialize};

/// State of a job's input that is being stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UploadMarker {
    /// The daemon run that stores it.
    pub owner: Owner,
    /// Number of the submission within this run.
    pub submission: u64,
    /// Number of chunks stored.
    pub chunks: usize,
}

impl UploadMarker {
    /// Encodes the marker for the store.
    ///
    /// # Panics
    ///
    /// Never: a marker always serializes to JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a marker is plain data")
    }
}

impl TryFrom<&[u8]> for UploadMarker {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
