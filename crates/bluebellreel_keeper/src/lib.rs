//! A keeper: a small process on a VM with a disk that holds the store's facts for
//! gateways that start during an outage of the store.
//!
//! A keeper visits gateways at intervals. It fetches newer facts from gateways that
//! have them from the store, and writes them to its disk. It sends its snapshot to
//! gateways that the store does not answer. It also stores backups of the progress of
//! job items, which their owners send. Gateways know only the keepers that have visited
//! them. `bluebellreel_snapshot` defines what a snapshot is and how long it is valid.
//!
//! ```no_run
//! use bluebellreel_settings::load_keeper;
//!
//! let read = || load_keeper("keeper.toml".as_ref());
//! bluebellreel_keeper::run_keeper(read().unwrap(), Box::new(read)).unwrap();
//! ```

mod calls;
mod disk;
mod keeper;
mod known_keepers;
mod origin_log;
mod persistence;
mod serve;
mod shutdown;
mod stored_state;

pub use disk::{Disk, DiskOutcome, PROGRESS, SNAPSHOT, SlotFiles, load, load_snapshot};
pub use keeper::{ReadSettings, run_keeper, run_keeper_until};
pub use shutdown::StopSummary;
