//! What the side process's state works with.

use bluebellreel_rpc::SideCommand;
use bluebellreel_telemetry::{SideMetrics, Tracer};
use bluebellreel_types::{AttemptId, Clock, Dispatch, ModelVersion};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// What the backend server is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendOrder {
    /// Run an attempt; its text and its end come as messages.
    Start(Box<Dispatch>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Load a model, under this fencing number.
    Load(u64, ModelVersion),
}

/// Carries an order out, without blocking.
pub(crate) type BackendFn = Box<dyn Fn(BackendOrder) + Send>;

/// Handles to the process's other threads.
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) rpc: UnboundedSender<SideCommand>,
    pub(crate) backend: BackendFn,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Arc<SideMetrics>,
}
