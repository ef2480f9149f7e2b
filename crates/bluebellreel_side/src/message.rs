//! Messages to the side process's actor.

use bluebellreel_admission::EngineEnd;
use bluebellreel_rpc::SideNotice;
use bluebellreel_types::{AttemptId, ModelVersion};
use crossbeam_channel::Sender;
use std::sync::Arc;

/// Receives the result of a load order: whether the model was loaded.
pub(crate) type LoadResultSender = tokio::sync::oneshot::Sender<bool>;

/// A message to the actor.
#[derive(Debug)]
pub(crate) enum Message {
    /// A message from an entry daemon, or a change of its connection.
    Rpc(SideNotice),
    /// The engine generated text for an attempt.
    Text {
        attempt: AttemptId,
        text: Arc<str>,
        tokens: u32,
    },
    /// The engine ended an attempt.
    Ended { attempt: AttemptId, end: EngineEnd },
    /// The models that the backend server serves have changed.
    Models(Vec<ModelVersion>),
    /// A model load at the backend server has ended.
    LoadEnded { model: ModelVersion, loaded: bool },
    /// The metrics were requested over HTTP; their text goes to the channel.
    MetricsRequested(Sender<String>),
    /// A graceful stop was requested.
    StopRequested,
}

impl Message {
    /// Whether the message carries an attempt or batch items.
    pub(crate) fn carries_work(&self) -> bool {
        match self {
            Self::Rpc(SideNotice::Submitted { .. }) => true,
            Self::Rpc(SideNotice::Pulled { items, .. }) => !items.is_empty(),
            _ => false,
        }
    }
}
