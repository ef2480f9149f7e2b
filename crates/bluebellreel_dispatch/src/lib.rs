//! Placement of work on workers, decided at the entry daemon.
//!
//! An engine runs as many requests concurrently as it has slots and admits them
//! in order of arrival. Every daemon keeps a [`Board`] of all slots with its own
//! runs, the runs that its peers report, and the health of each worker. From the
//! board, [`place_online`] chooses a worker for an online request,
//! [`place_batch`] one for a batch item, and [`batch_to_yield`] the batch runs
//! that must yield. Everything here is plain data and functions, without clock
//! or I/O.
//!
//! ```
//! use bluebellreel_dispatch::{Attempt, Board, Placement, PlacementLimits, Query, place_online};
//! use bluebellreel_types::{DataCentre, Moment};
//! use std::time::Duration;
//!
//! let board = Board::new(DataCentre::from("sligo"), PlacementLimits::default());
//! let query = Query { service: "assist", version: None, avoid: &[], attempt: Attempt::Repeatable, max_wait: Duration::ZERO, salt: 0, now: Moment(0) };
//! assert_eq!(place_online(&board, &query), Placement::NoWorker);
//! ```

mod board;
mod catalog;
mod circuit_breaker;
mod demand;
mod evidence;
mod fingerprint;
mod overload;
mod peer;
mod place;
mod prompt_parts;
mod routes;
mod speed;
mod suspects;
mod ticket;

pub use board::{Board, PlacementLimits, WorkerChange, WorkerView};
pub use catalog::{Boot, Catalog, WorkerRecord, WorkerState, WorkerTag};
pub use circuit_breaker::CircuitBreaker;
pub use demand::{Demand, Demands, ImpossibleDemand};
pub use evidence::{
    Assessment, Counts, Evidence, InvalidOutcomes, MAX_REPORTED_WORKERS, Outcome, RawOutcome,
    Record, ReportId, ReportedOutcomes, Standing, StandingChange, assess,
};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use overload::{Overloads, retry_delay};
pub use peer::{PeerLoad, PeerRuns, Running};
pub use place::{
    Attempt, BatchRun, Placement, Query, batch_to_yield, batch_to_yield_by, place_batch,
    place_contained, place_online, place_trial, should_reroute,
};
pub use prompt_parts::{Depth, PartCrash, PartNotice, PartSuspects, PartVerdict, VersionTag};
pub use routes::{CallerLimits, Configuration, Route, RouteKind, Service, Target};
pub use speed::WorkerSpeeds;
pub use suspects::{
    Cleared, CrashNotice, CrashedRun, ItemStatus, ItemTrials, QuarantineStatus, Suspects, may_try,
    may_try_item,
};
pub use ticket::{Class, Ticket};
