//! Messages to the side process's actor.

use bluebellreel_admission::EngineEnd;
use bluebellreel_rpc::SideNotice;
use bluebellreel_types::{AttemptId, ModelName};
use crossbeam_channel::Sender;
use std::sync::Arc;

/// What reaches the actor.
#[derive(Debug)]
pub(crate) enum Message {
    /// From an entry.
    Rpc(SideNotice),
    /// The engine generated text.
    Text {
        attempt: AttemptId,
        text: Arc<str>,
        tokens: u32,
    },
    /// The engine ended an attempt.
    Ended { attempt: AttemptId, end: EngineEnd },
    /// What the backend server serves.
    Models(Vec<ModelName>),
    /// Metrics are read.
    MetricsAsked(Sender<String>),
    /// The process is asked to stop gracefully.
    StopAsked,
}
