//! State and rules of batch jobs that are kept in a key-value store. This crate does no
//! I/O.
//!
//! A job is accepted when its record is created, in the same transaction as its last
//! chunk of input. The record names the owner, and **every write to the job compares
//! the record's revision**, so a take-over or a cancellation revokes all rights of the
//! previous owner. Results are appended in segments; each segment is created under a
//! number that must not exist yet, and a recorded result never changes.
//!
//! ```
//! use bluebellreel_batch::keys;
//! use bluebellreel_types::JobId;
//!
//! let id = JobId::from("7c41");
//! assert_eq!(keys::segment(&id, 2).as_str(), "job/out/7c41/00002");
//! ```

mod counts;
mod forecast;
mod input;
mod job;
pub mod keys;
mod open_job;
mod progress;
mod progress_copies;
mod quota_ledger;
mod record;
mod registration_span;
mod result;
mod schedule;
mod start_lease;
mod takeover;
mod tokens;
mod upload;

pub use counts::{CountsWrite, ItemCounts, StoredCounts, decode_counts, encode_counts};
pub use forecast::{FewestEvents, Forecast, ItemTiming};
pub use input::{NewItem, decode_items, encode_items, split_input};
pub use job::{Item, ItemEnd, ItemPhase, Job, Segment};
pub use open_job::OpenJob;
pub use progress::{EventGap, OtherVersion, Progress};
pub use progress_copies::{ItemProgress, ProgressCopies};
pub use quota_ledger::QuotaLedger;
pub use record::{JobPhase, JobRecord, Owner, RecordError, quota_scope};
pub use registration_span::{RegistrationSpan, Stamp};
pub use result::{ItemResult, ResultState, decode_segment, encode_segment};
pub use schedule::{Candidate, WaitingItems, count_waiting, next_item, next_item_by_forecast};
pub use start_lease::{JOBS_PER_CHECK, StartLease, StartTerms, jobs_to_check};
pub use takeover::{OwnerPresence, TakeoverDecision, decide_takeover};
pub use tokens::{bounded_item_tokens, bounded_job_tokens};
pub use upload::UploadMarker;
