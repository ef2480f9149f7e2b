//! Facts from the store as daemons pass them on.

use bluebellreel_dispatch::WorkerRecord;
use bluebellreel_types::WorkerName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// State of a worker and the revision of its last change; no record if the worker was
/// removed.
pub type WorkerFact = (i64, WorkerName, Option<WorkerRecord>);

/// Facts that the requesting daemon does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFacts {
    /// Revision and stored text of the configuration.
    pub configuration: Option<(i64, Vec<u8>)>,
    /// Revision up to which all operator writes are known.
    pub operator_seen: i64,
    /// Revision up to which all worker changes are known.
    pub workers_seen: i64,
    /// Changed workers.
    pub workers: Vec<WorkerFact>,
    /// How much longer these facts are valid without the store; none, for no limit, if
    /// the sending daemon has them from the store.
    pub valid_for: Option<Duration>,
    /// Whether `workers` lists all workers and not only the changed ones. The receiver
    /// sets it by its request; it is not sent.
    #[serde(skip)]
    pub is_full_list: bool,
}
