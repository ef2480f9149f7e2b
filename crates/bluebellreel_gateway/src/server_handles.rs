//! Handles of the servers whose connections are drained on shutdown.

use bluebellreel_net::{ConnectionTracker, Stop};

/// Handle of one running server.
#[derive(Default)]
pub(crate) struct ServerHandle {
    pub(crate) stop: Stop,
    pub(crate) connection_tracker: ConnectionTracker,
}

/// Handles of the servers whose connections are drained on shutdown.
#[derive(Default)]
pub(crate) struct ServerHandles {
    pub(crate) callers: ServerHandle,
    pub(crate) peers: ServerHandle,
}
