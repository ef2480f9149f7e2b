//! A run of this daemon at a worker.

use crate::Boot;
use bluebellreel_types::{WorkerName, WorkerVersion};

/// Kind of work that a run executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A request for which a caller is waiting.
    Online,
    /// An item of a batch job.
    Batch,
}

/// A run of this daemon at a worker; see [`crate::Board::start`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker that executes the run.
    pub worker: WorkerName,
    /// The incarnation of the worker that the run was sent to.
    pub boot: Option<Boot>,
    /// The version of the worker's software, if it was known then.
    pub version: Option<WorkerVersion>,
    /// Kind of work.
    pub class: Class,
}
