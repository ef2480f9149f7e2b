//! What the store told last, kept for gateways that start while it is away.
//!
//! A gateway keeps nothing on its VM. If all of them are killed during an outage
//! of the store, nobody knows a route or a worker any more, and every caller is
//! refused until the store is back. So keepers, small processes on VMs with
//! disks, hold a [`Snapshot`]: the configuration, the workers and the gateways'
//! addresses, as gateways know them.
//!
//! A snapshot is a cache, never an authority. Each fact carries the store's
//! revision, so none replaces a newer one; it has an age, and is handed out only
//! to a gateway that the store does not answer, for a bounded time. Work that it
//! sends somewhere names the worker that it means, which refuses what is meant
//! for another one. All of it is plain data: no clock, no I/O.
//!
//! Beside it keepers hold how far the items of jobs are ([`ProgressBackups`]), which
//! would be lost with the gateways that run them.
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
mod visit;

pub use facts::{SharedFacts, WorkerFact};
pub use progress::ProgressBackups;
pub use slot::{SlotError, newest, read_slot, write_slot};
pub use snapshot::{BELIEVED, KnownGateway, Snapshot, SnapshotError};
pub use visit::{GatewayState, VisitOutcome, after_visit};
