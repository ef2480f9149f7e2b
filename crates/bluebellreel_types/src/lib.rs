//! Shared domain types of bluebellreel: names, ids, time, work and outcomes.
//!
//! Every other package speaks in these types. They are plain data: no I/O, no
//! clock and no locks, so that the decision code of the system stays pure.
//!
//! ```
//! use bluebellreel_types::prelude::*;
//! use std::time::Duration;
//!
//! let now = Moment(1_000_000);
//! let deadline = now + Duration::from_secs(2);
//! assert!(!deadline.is_past(now));
//! ```

mod chat;
mod id;
mod outcome;
mod time;
mod trace;
mod work;

pub use chat::*;
pub use id::*;
pub use outcome::*;
pub use time::*;
pub use trace::*;
pub use work::*;

/// The types that nearly every module needs.
pub mod prelude {
    pub use crate::{
        AttemptEnd, AttemptId, BrokenReason, Class, DataCentre, Dispatch, EntryName, Incarnation,
        JobId, LoadReport, ModelName, Moment, NotRunReason, RequestId, TeamName, Work, WorkKind,
        WorkerName,
    };
}
