//! Shared domain types of bluebellreel: names, ids, time, work and outcomes.
//!
//! All other packages use these types. They are plain data, so that the decision
//! logic of the system stays free of I/O and locks; only [`Clock`] reads the time.
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
        WorkerName, WorkerVersion,
    };
}
