//! What the other daemons run at each worker.

use crate::Boot;
use bluebellreel_types::{Moment, WorkerName};
use std::collections::BTreeMap;

/// Runs at one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Running {
    /// All runs.
    #[must_use]
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// A peer's runs at one life of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerRuns {
    /// The life that they were sent to.
    pub boot: Option<Boot>,
    /// How many they are.
    pub running: Running,
}

/// The newest report of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Sequence of the report, so that a reordered datagram is not believed.
    pub sequence: u64,
    /// Its runs at each worker.
    pub running: BTreeMap<WorkerName, PeerRuns>,
    /// Items of its jobs that wait for a slot.
    pub waiting: u32,
    /// When its runs are no longer counted, unless it is heard again.
    pub expires_at: Moment,
}
