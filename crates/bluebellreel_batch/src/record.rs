//! A job's record: the one place that decides who may write to the job.

use bluebellreel_types::{EntryName, Incarnation, Moment};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Who runs a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon.
    pub entry: EntryName,
    /// Its run: a restarted daemon is another owner.
    pub run: Incarnation,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items may run.
    Open,
    /// Its sender ended it: nothing more runs.
    Cancelled,
    /// Every item has a result.
    Done,
}

/// A job's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Host of its route.
    pub host: Arc<str>,
    /// Name of its route when it was accepted.
    pub route: Arc<str>,
    /// When it was accepted, by the wall clock of the daemon that did.
    pub accepted_at: Moment,
    /// When its results are due, likewise.
    pub due_at: Moment,
    /// When items that wait are given up, likewise. A record of a version that
    /// had no such time keeps its items for good.
    #[serde(default = "never")]
    pub give_up_at: Moment,
    /// Number of its items.
    pub items: usize,
    /// Tokens of all its items.
    pub tokens: u64,
    /// Chunks of its input.
    pub chunks: usize,
    /// Where it stands.
    pub phase: JobPhase,
    /// Who runs it.
    pub owner: Owner,
}

fn never() -> Moment {
    Moment::DISTANT_FUTURE
}

/// A record that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError(String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored job unreadable: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

impl From<serde_json::Error> for RecordError {
    fn from(e: serde_json::Error) -> Self {
        Self(e.to_string())
    }
}

impl TryFrom<&[u8]> for JobRecord {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

impl JobRecord {
    /// The record as it is stored.
    ///
    /// # Panics
    ///
    /// Never: a record holds nothing that JSON cannot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }
}
