//! A job's record, which alone decides who may write to the job.

use crate::tokens::bounded_job_tokens;
use bluebellreel_types::{EntryName, Incarnation, Moment};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The daemon run that owns a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the daemon.
    pub entry: EntryName,
    /// Incarnation of the daemon; after a restart it counts as another owner.
    pub run: Incarnation,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items may run.
    Open,
    /// The caller cancelled the job; no items run any more.
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
    /// Name of the team whose key accompanied it; none if no key was needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<Arc<str>>,
    /// When the job was accepted, by the wall clock of the accepting daemon.
    pub accepted_at: Moment,
    /// When the results are due, by the clock of the accepting daemon.
    pub due_at: Moment,
    /// When waiting items are given up, by the clock of the accepting daemon. Records
    /// of versions without this field read as `Moment::DISTANT_FUTURE`, so their items
    /// are never given up.
    #[serde(default = "never")]
    pub give_up_at: Moment,
    /// Number of its items.
    pub items: usize,
    /// Tokens of all its items.
    pub tokens: u64,
    /// Number of chunks of its input.
    pub chunks: usize,
    /// Its state.
    pub phase: JobPhase,
    /// The daemon run that owns it.
    pub owner: Owner,
}

fn never() -> Moment {
    Moment::DISTANT_FUTURE
}

/// The name under which the waiting tokens of a team on a route are counted. Without a
/// team it is the route.
#[must_use]
pub fn quota_scope(route: &Arc<str>, team: Option<&str>) -> Arc<str> {
    match team {
        Some(team) => Arc::from(format!("{route} {team}")),
        None => route.clone(),
    }
}

/// A stored value that cannot be decoded.
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
        let record: Self = serde_json::from_slice(bytes)?;
        Ok(Self {
            tokens: bounded_job_tokens(record.tokens),
            ..record
        })
    }
}

impl JobRecord {
    /// What its tokens count against: its route, or its team on this route.
    #[must_use]
    pub fn quota_scope(&self) -> Arc<str> {
        quota_scope(&self.route, self.team.as_deref())
    }

    /// Encodes the record for the store.
    ///
    /// # Panics
    ///
    /// Never: a record always serializes to JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is plain data")
    }
}
