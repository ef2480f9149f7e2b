//! Where work goes, decided at the entry daemon.
//!
//! An engine runs as many requests as it has slots and admits in order of
//! arrival. Every daemon keeps a [`Board`] of all slots: what it runs itself,
//! what its peers say they run, and which workers it doubts. From that board
//! [`place_online`] chooses a worker for a waiting caller, [`place_batch`] one
//! for a batch item, and [`batch_to_yield`] tells which batch runs must make
//! room. All of it is plain data and functions: no clock, no I/O.
//!
//! ```
//! use bluebellreel_dispatch::{Board, Placement, PlacementLimits, Query, place_online};
//! use bluebellreel_types::{DataCentre, Moment};
//! use std::time::Duration;
//!
//! let board = Board::new(DataCentre::from("sligo"), PlacementLimits::default());
//! let query = Query { service: "assist", avoid: &[], patience: Duration::ZERO, salt: 0, now: Moment(0) };
//! assert_eq!(place_online(&board, &query), Placement::NoWorker);
//! ```

mod board;
mod catalog;
mod doubt;
mod fingerprint;
mod overload;
mod pace;
mod peer;
mod place;
mod routes;
mod suspects;
mod ticket;

pub use board::{Board, PlacementLimits, WorkerChange, WorkerView};
pub use catalog::{Boot, Catalog, WorkerRecord, WorkerState, WorkerTag};
pub use doubt::Doubt;
pub use fingerprint::{Fingerprint, NoFingerprint};
pub use overload::{Overloads, retry_delay};
pub use pace::WorkerSpeeds;
pub use peer::{PeerLoad, PeerRuns, Running};
pub use place::{
    BatchRun, Placement, Query, batch_to_yield, place_batch, place_online, should_reroute,
};
pub use routes::{CallerLimits, Configuration, Route, RouteKind, Service, Target};
pub use suspects::{Cleared, CrashNotice, CrashedRun, QuarantineStatus, Sender, Suspects, may_try};
pub use ticket::{Class, Ticket};
