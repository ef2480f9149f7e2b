//! Work on its way to a backend server, and what comes back.

use crate::{
    AttemptEnd, AttemptId, DataCentre, Incarnation, ModelName, Moment, TeamName, TraceContext,
    WorkerName,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Who waits for the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits.
    Online,
    /// Due later; gives way to online work.
    Batch,
}

/// What a backend server is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// A chat completion by a model engine.
    Chat,
    /// A call to a plain service.
    Call {
        /// HTTP method.
        method: Arc<str>,
        /// Path with query, from the service's root.
        path: Arc<str>,
    },
}

/// One unit of work, the same over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// What is asked.
    pub kind: WorkKind,
    /// The model or plain service asked.
    pub model: ModelName,
    /// Body to send to the backend server.
    pub body: Arc<[u8]>,
    /// Estimate of tokens to generate, for load accounting.
    pub tokens: u32,
    /// Hash of the prompt's prefix, for cache locality.
    pub prefix: u64,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The caller's idempotency key, empty for none.
    pub key: Arc<str>,
    /// Whose work it is.
    pub team: TeamName,
}

/// One attempt handed to a side process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the side process that it is meant for. A restarted side
    /// refuses what its predecessor was sent.
    pub side: Incarnation,
    /// Who waits.
    pub class: Class,
    /// The work.
    pub work: Arc<Work>,
    /// When the answer is no longer wanted.
    pub deadline: Moment,
    /// Text already delivered by earlier attempts; generation goes on after it.
    pub resume: Arc<str>,
    /// The entry's span.
    pub trace: TraceContext,
}

/// A side process's load, which rides on its replies.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Online attempts running or queued.
    pub online: u32,
    /// Batch attempts running.
    pub batch: u32,
    /// Tokens still to generate for the online ones.
    pub online_tokens: u64,
    /// Predicted wait of a new online request until its first token, in µs.
    pub first_token_micros: u64,
    /// Whether the worker takes nothing new.
    pub leaving: bool,
    /// Models and services that it serves now.
    pub models: Vec<ModelName>,
    /// The same with their versions, where the backend server tells them.
    pub loaded: Vec<ModelVersion>,
}

/// A model and the version of it that is loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelVersion {
    /// The model.
    pub name: ModelName,
    /// Its version.
    pub version: Arc<str>,
}

/// What a side process tells when an entry connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SideHello {
    /// The worker beside it.
    pub worker: WorkerName,
    /// This run of the side process.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Models and services that it serves now.
    pub models: Vec<ModelName>,
}

/// One finished batch lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its end.
    pub end: AttemptEnd,
}

/// How long past its deadline a side process remembers how a call ended that may
/// not be repeated, and that it refuses one from now on.
pub const OUTCOME_RETENTION: Duration = Duration::from_hours(1);
/// How long past a call's deadline "never seen" is believed. Later the side
/// process may have seen it and forgotten; half of [`OUTCOME_RETENTION`], for clocks
/// that differ.
pub const NEVER_SEEN_VALIDITY: Duration = Duration::from_mins(30);
/// Longest time that a call may take which may not be repeated. A dispatch that
/// is sent late, by a daemon that was paused, is past its deadline before the
/// side process forgets that it refuses it.
pub const MAX_UNREPEATABLE_CALL: Duration = Duration::from_mins(30);

/// What a side process answers when asked to put an end to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// Never seen; it is refused from now on, so that "not run" is true.
    NeverSeen,
    /// It was running and is being cancelled.
    Running,
    /// It has ended this way.
    Ended(AttemptEnd),
}
