//! Batch jobs: records, items, ownership and scheduling.
//!
//! A job's record is stored in the platform's key-value service and names its
//! owner and an epoch that increases with every change of owner. The owner keeps
//! an [`OwnedJob`] in memory, leases its items to the side processes that pull
//! them, and records results in groups. Every write compares the record's
//! revision, so that an owner that was paused while another one took over cannot
//! change anything.
//!
//! This crate holds state and pure transitions only; the entry daemon reads and
//! writes the key-value service.
//!
//! ```
//! use bluebellreel_job::JobInput;
//!
//! let line = r#"{"custom_id":"note-1","method":"POST","url":"/v1/chat/completions",
//!     "body":{"model":"m","messages":[{"role":"user","content":"hello"}]}}"#
//!     .replace('\n', " ");
//! let input = JobInput::read(line.as_bytes(), 10).unwrap();
//! assert_eq!(input.items.len(), 1);
//! ```

mod input;
mod lease;
mod owned;
mod record;
mod scheduler;
mod share;

pub use input::{InputChunk, InputError, InputItem, InputReader, JobInput, JobTarget, custom_ids};
pub use lease::{ItemLease, LeaseState};
pub use owned::{JobEffect, JobLimits, OwnedJob};
pub use record::{
    ChunkRef, ClaimChunk, ClaimedItem, HeldChunk, ItemEnd, ItemResult, JobCounts, JobRecord,
    JobState, ResultChunk,
};
pub use scheduler::{JobLeases, JobScheduler, SchedulerLimits};
pub use share::TeamShares;
