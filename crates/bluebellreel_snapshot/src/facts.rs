//! Facts of the store as daemons hand them on.

use bluebellreel_dispatch::WorkerRecord;
use bluebellreel_types::WorkerName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What stands at a worker's place, and since which revision; no record if it
/// is gone.
pub type WorkerFact = (i64, WorkerName, Option<WorkerRecord>);

/// Facts that the one who asks does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFacts {
    /// The configuration as it was written, with its revision.
    pub configuration: Option<(i64, Vec<u8>)>,
    /// Revision up to which all that operators wrote is known.
    pub operator_seen: i64,
    /// Revision up to which all of workers is known.
    pub workers_seen: i64,
    /// Workers that changed.
    pub workers: Vec<WorkerFact>,
    /// How much longer these facts may be believed without the store; no bound
    /// for those of a daemon that has them from the store.
    pub valid_for: Option<Duration>,
    /// Whether these are all workers, and not only those that changed. It is told
    /// by what was asked, and not sent.
    #[serde(skip)]
    pub is_full_list: bool,
}
