//! What the actor works with.

use crate::backend::Backend;
use bluebellreel_rpc::SideCommand;
use bluebellreel_telemetry::{SideMetrics, Tracer};
use bluebellreel_types::Clock;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Handles to the process's other threads.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) rpc: UnboundedSender<SideCommand>,
    pub(crate) backend: Arc<Backend>,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Arc<SideMetrics>,
}
