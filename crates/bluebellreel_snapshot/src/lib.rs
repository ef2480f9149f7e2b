//! Snapshots of the store's facts for gateways that start during an outage of the
//! store.
//!
//! A gateway keeps no state on its VM. If all gateways were killed during an outage of
//! the store, none of them would have a route or a worker after the restart, and every
//! caller would be refused until the outage ends. Keepers, which are small processes
//! on VMs with disks, therefore hold a [`Snapshot`]: the configuration, the workers and
//! the gateways' addresses, as the gateways know them.
//!
//! A snapshot is a cache and never an authority. Each fact carries the store's
//! revision, so it cannot replace a newer one. A snapshot is handed out only to a
//! gateway that the store does not answer, and only up to a maximum age. Requests
//! routed by a snapshot name the intended worker, and a worker refuses requests meant
//! for another one. This crate holds plain data only: no clock, no I/O.
//!
//! Keepers also hold the progress of job items ([`ProgressBackups`]), which would be
//! lost with the gateways that run them.
//!
//! ```
//! use bluebellreel_snapshot::Snapshot;
//! use bluebellreel_types::Moment;
//!
//! let nothing = Snapshot::default();
//! assert!(nothing.offer(Moment(0)).is_none());
//! ```

mod facts;
mod progress;
mod slot;
mod snapshot;
mod validity;
mod visit;
mod visit_schedule;

pub use facts::{SharedFacts, WorkerFact};
pub use progress::{CountsOrder, ProgressBackups};
pub use slot::{SlotError, newest, read_slot, read_slots, slot_bytes, write_slot};
pub use snapshot::{KnownGateway, SNAPSHOT_TTL, Snapshot, SnapshotError};
pub use validity::Validity;
pub use visit::{GatewayState, VisitOutcome, visit_outcome};
pub use visit_schedule::{VisitResult, VisitSchedule, is_near};
