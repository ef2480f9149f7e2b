//! Model checking of the core protocol.
//!
//! Small specifications, each explored through all its states: the life
//! of one call that may not be repeated ([`call`]), which drives the real
//! admission and claim functions, the ownership of one job's item
//! ([`ownership`]), the segments in which a gateway records results
//! ([`segments`]), a gateway that lives by a snapshot ([`snapshot`]), a
//! worker that starts again under its id ([`restart`]), and what owners tell readers
//! ([`tenure`]), which drives the real functions too. Guards can be left out, to
//! show that the checker finds what each one is for.
//!
//! ```
//! use bluebellreel_model::ownership::{self, Guards};
//!
//! let explored = ownership::explore(Guards::all());
//! assert!(explored.violation.is_none());
//! ```

pub mod call;
mod explored;
pub mod ownership;
pub mod restart;
pub mod segments;
pub mod snapshot;
pub mod tenure;

pub use explored::Explored;
