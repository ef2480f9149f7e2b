//! Servers whose connections a stop waits for.

use bluebellreel_net::{Served, Stop};

/// A server and what it serves.
#[derive(Default)]
pub(crate) struct ServerHandle {
    pub(crate) stop: Stop,
    pub(crate) connection_tracker: Served,
}

/// Servers whose connections a stop waits for.
#[derive(Default)]
pub(crate) struct ServerHandles {
    pub(crate) callers: ServerHandle,
    pub(crate) peers: ServerHandle,
}
