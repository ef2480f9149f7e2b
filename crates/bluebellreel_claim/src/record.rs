//! The stored record of a claimed call.

use bluebellreel_types::{
    AttemptId, EntryName, Incarnation, Moment, TeamName, WorkerName, digest_id,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// The call was sent or is about to be sent.
    Pending,
    /// The call ran, with this answer.
    Completed {
        /// HTTP status.
        status: u16,
        /// The answer's body, or the text of a chat answer.
        body: Arc<str>,
    },
    /// The backend server rejected the request as invalid.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The backend server's reason.
        message: Arc<str>,
    },
    /// The call did not run and never will; the key may be used again.
    NotRun,
    /// The call may have run, and its outcome can no longer be found.
    Unknown,
}

/// The record of one claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The team that made the call.
    pub team: TeamName,
    /// The call's idempotency key.
    pub key: Arc<str>,
    /// SHA-256 of the request, in hexadecimal.
    pub digest: String,
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker that the attempt was addressed to.
    pub worker: WorkerName,
    /// The incarnation of the side process that the attempt was addressed to.
    pub incarnation: Incarnation,
    /// The entry daemon that claimed the call.
    pub entry: EntryName,
    /// The incarnation of that entry daemon.
    pub entry_run: Incarnation,
    /// The attempt's deadline.
    pub deadline: Moment,
    /// The call's outcome.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRecord {
    /// The id under which a team's idempotency key is claimed.
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
