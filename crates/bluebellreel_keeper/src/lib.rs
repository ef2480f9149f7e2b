//! A keeper: a small process on a VM with a disk that holds what gateways know
//! of the store, for gateways that start while the store is away.
//!
//! It visits gateways now and then. From one that has newer facts from the store
//! it takes them over and writes them to its disk; to one that the store does not
//! answer it brings what it has. It also keeps how far the items of jobs are, as
//! their owners tell it. Gateways know those keepers that have visited them. What
//! a snapshot is and when it may be believed is decided in `bluebellreel_snapshot`.
//!
//! ```no_run
//! use bluebellreel_settings::load_keeper;
//!
//! let read = || load_keeper("keeper.toml".as_ref());
//! bluebellreel_keeper::run_keeper(read().unwrap(), Box::new(read)).unwrap();
//! ```

mod calls;
mod disk;
mod held;
mod keeper;
mod leaving;
mod rounds;
mod serve;
mod writing;

pub use disk::{Disk, DiskOutcome, PROGRESS, Pair, SNAPSHOT, load, load_snapshot};
pub use keeper::{ReadSettings, run_keeper, run_keeper_until};
pub use leaving::Ended;
