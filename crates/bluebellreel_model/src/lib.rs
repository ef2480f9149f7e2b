//! Model checking of the core protocol.
//!
//! Each module is a small specification whose reachable states are all explored:
//!
//! [`call`] covers a call that may not be repeated and drives the real admission and
//! claim functions. [`ownership`] covers who owns a job with one item, [`segments`] the
//! numbered segments in which a gateway records results, [`snapshot`] a gateway that
//! runs on a snapshot from a keeper, and [`restart`] a worker that restarts under the
//! same id. [`owner_reads`] covers the results that owners report to readers, and
//! drives the real batch functions. [`rates`] covers the rate limit of a team over all
//! gateways, and drives the real allowances. [`reports`] covers what daemons know of each
//! other, and drives the real choice of recipients. [`versions`] covers the version at which a caller
//! resumes its stream, and drives the real records and history of versions.
//!
//! [`failures`] covers the failures of an item over all its owners. [`prompt_parts`] covers requests that share a part which crashes workers, and drives the real
//! suspects.
//!
//! Each guard of the protocol can be disabled, which shows that the checker finds the
//! violation that the guard prevents.
//!
//! ```
//! use bluebellreel_model::ownership::{self, Guards};
//!
//! let explored = ownership::explore(Guards::all());
//! assert!(explored.violation.is_none());
//! ```

pub mod call;
mod explored;
pub mod failures;
pub mod owner_reads;
pub mod ownership;
pub mod prompt_parts;
pub mod rates;
pub mod reports;
pub mod restart;
pub mod segments;
pub mod snapshot;
pub mod versions;

pub use explored::Explored;
