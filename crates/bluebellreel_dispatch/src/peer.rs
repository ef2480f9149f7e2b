//! Runs of the other daemons at each worker.

use crate::Boot;
use bluebellreel_types::{Moment, WorkerName};
use std::collections::BTreeMap;

/// Number of runs at one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Running {
    /// Total number of runs.
    #[must_use]
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// A peer's runs at one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerRuns {
    /// The incarnation that the runs were sent to.
    pub boot: Option<Boot>,
    /// Number of runs.
    pub running: Running,
}

/// The latest load report of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Sequence number of the report, by which a reordered, older datagram is ignored.
    pub sequence: u64,
    /// The peer's runs at each worker.
    pub running: BTreeMap<WorkerName, PeerRuns>,
    /// Items of the peer's jobs that wait for a slot.
    pub waiting: u32,
    /// When the peer's runs are no longer counted unless another report arrives.
    pub expires_at: Moment,
}
