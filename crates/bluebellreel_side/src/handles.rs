//! The interfaces between the side process's state and its other threads.

use bluebellreel_rpc::SideCommand;
use bluebellreel_telemetry::{SideMetrics, Tracer};
use bluebellreel_types::{AttemptId, Clock, Dispatch, ModelVersion};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// An order to the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendOrder {
    /// Run an attempt. Its text and its end are returned as messages.
    Start(Box<Dispatch>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Load a model, ordered with this fencing number.
    Load(u64, ModelVersion),
}

/// Executes an order without blocking.
pub(crate) type BackendOrderFn = Box<dyn Fn(BackendOrder) + Send>;

/// Handles to the process's other threads.
pub(crate) struct Handles {
    pub(crate) clock: Clock,
    pub(crate) rpc: UnboundedSender<SideCommand>,
    pub(crate) backend: BackendOrderFn,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Arc<SideMetrics>,
}
