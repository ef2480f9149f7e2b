//! Messages to the side process's actor.

use bluebellreel_admission::EngineEnd;
use bluebellreel_rpc::SideNotice;
use bluebellreel_types::{AttemptId, ModelVersion};
use crossbeam_channel::Sender;
use std::sync::Arc;

/// Where the end of an order goes.
pub(crate) type OrderAnswer = tokio::sync::oneshot::Sender<bool>;

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
    Models(Vec<ModelVersion>),
    /// An order to the backend server has ended.
    OrderEnded { model: ModelVersion, loaded: bool },
    /// Metrics are read.
    MetricsAsked(Sender<String>),
    /// The process is asked to stop gracefully.
    StopAsked,
}

impl Message {
    /// Whether it brings work.
    pub(crate) fn brings_work(&self) -> bool {
        match self {
            Self::Rpc(SideNotice::Submitted { .. }) => true,
            Self::Rpc(SideNotice::Pulled { items, .. }) => !items.is_empty(),
            _ => false,
        }
    }
}
