//! Servers whose connections a stop waits for.

use bluebellreel_net::{ConnectionTracker, Stop};

/// A server and what it serves.
#[derive(Default)]
pub(crate) struct Door {
    pub(crate) stop: Stop,
    pub(crate) served: ConnectionTracker,
}

/// Servers whose connections a stop waits for.
#[derive(Default)]
pub(crate) struct Doors {
    pub(crate) callers: Door,
    pub(crate) peers: Door,
}
