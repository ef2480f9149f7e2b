//! What is kept of a claimed call.

use bluebellreel_types::{
    AttemptId, EntryName, Incarnation, Moment, TeamName, WorkerName, digest_id,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What became of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// It was sent, or is about to be.
    Pending,
    /// It ran, and this is its answer.
    Completed {
        /// HTTP status.
        status: u16,
        /// The answer's body, or a chat answer's text.
        body: Arc<str>,
    },
    /// The backend server refused the work itself.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Its reason.
        message: Arc<str>,
    },
    /// It did not run and will not; the key may be used again.
    NotRun,
    /// It may have run, and nobody can tell any more.
    Unknown,
}

/// One claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Whose call it is.
    pub team: TeamName,
    /// Its idempotency key.
    pub key: Arc<str>,
    /// SHA-256 of what was asked, in hexadecimal.
    pub digest: String,
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it was to be sent.
    pub worker: WorkerName,
    /// The run of the side process that it was meant for.
    pub incarnation: Incarnation,
    /// The entry that claimed it.
    pub entry: EntryName,
    /// That entry's run.
    pub entry_run: Incarnation,
    /// When its answer is no longer wanted.
    pub deadline: Moment,
    /// What became of it.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRecord {
    /// The name under which a team's key is claimed.
    #[must_use]
    pub fn id(team: &TeamName, key: &str) -> String {
        digest_id(team, key)
    }

    /// The record with another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}
