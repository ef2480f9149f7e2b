//! What reaches the fleet part, and what it answers.

use bluebellreel_fleet::AcceptedManifest;
use bluebellreel_types::{Incarnation, Moment, WorkerName};
use crossbeam_channel::Sender;
use serde::{Deserialize, Serialize};

/// A drain order as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainOrder {
    pub(crate) worker: WorkerName,
    pub(crate) incarnation: Incarnation,
    pub(crate) at: Moment,
}

/// What reaches the fleet part.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A manifest that was accepted.
    ManifestAccepted(AcceptedManifest),
    /// Who matches the fleet in this data centre, and under which number.
    MatcherElected { fence: u64, mine: bool },
    /// Nobody matches it now.
    MatcherLost,
    /// An operator ordered a worker to leave.
    DrainOrdered(DrainOrder),
    /// What is in force is asked for.
    QuerySummary(Sender<FleetSummary>),
    /// The run of a worker's side process is asked for.
    QueryIncarnation(WorkerName, Sender<Option<Incarnation>>),
}

/// What is in force where.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct FleetSummary {
    /// The generation in force here.
    pub(crate) generation: u64,
    /// Workers connected here.
    pub(crate) workers: usize,
    /// Workers that have it in force.
    pub(crate) in_force: usize,
    /// Workers that do not.
    pub(crate) behind: Vec<WorkerName>,
    /// Workers that an operator ordered to leave.
    pub(crate) draining: Vec<WorkerName>,
    /// All connected workers.
    pub(crate) names: Vec<WorkerName>,
    /// Loads that failed and are tried again.
    pub(crate) failed_loads: Vec<String>,
}
