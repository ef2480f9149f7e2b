//! One piece of work at a worker.

use crate::Boot;
use bluebellreel_types::WorkerName;

/// What a run is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    /// A caller waits for it.
    Online,
    /// An item of a batch job.
    Batch,
}

/// A run that this daemon has at a worker; see [`crate::Board::start`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Where it runs.
    pub worker: WorkerName,
    /// The life of that worker that it was sent to.
    pub boot: Option<Boot>,
    /// What it is for.
    pub class: Class,
}
