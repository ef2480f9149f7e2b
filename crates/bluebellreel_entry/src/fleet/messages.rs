//! Messages to the fleet component and its replies.

use bluebellreel_fleet::AcceptedManifest;
use bluebellreel_types::{Incarnation, Moment, WorkerName};
use crossbeam_channel::Sender;
use serde::{Deserialize, Serialize};

/// The stored form of a drain order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainOrder {
    pub(crate) worker: WorkerName,
    pub(crate) incarnation: Incarnation,
    pub(crate) at: Moment,
}

/// A message to the fleet component.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A manifest was accepted by this daemon or another one.
    ManifestAccepted(AcceptedManifest),
    /// This data centre has a matcher, which has this fencing token; `mine` if it is
    /// this daemon.
    MatcherElected { fence: u64, mine: bool },
    /// This data centre has no matcher.
    MatcherLost,
    /// An operator ordered a worker to drain.
    DrainOrdered(DrainOrder),
    /// Requests a summary of the fleet.
    QuerySummary(Sender<FleetSummary>),
    /// Requests the incarnation of a worker's side process, `None` if the worker is
    /// not connected.
    QueryIncarnation(WorkerName, Sender<Option<Incarnation>>),
}

/// Which manifest is in force here and on the connected workers.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct FleetSummary {
    /// Generation of the manifest in force on this daemon.
    pub(crate) generation: u64,
    /// Number of workers connected to this daemon.
    pub(crate) workers: usize,
    /// Number of connected workers that have applied this generation.
    pub(crate) in_force: usize,
    /// Connected workers that have not applied it.
    pub(crate) behind: Vec<WorkerName>,
    /// Workers that an operator ordered to drain.
    pub(crate) draining: Vec<WorkerName>,
    /// Names of all connected workers.
    pub(crate) names: Vec<WorkerName>,
    /// Model loads that failed and are retried.
    pub(crate) failed_loads: Vec<String>,
}
