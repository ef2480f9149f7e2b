//! Batch jobs: accepting, owning, reading back.

mod ages;
mod index;
mod messages;
mod part;
mod results;
mod store;
mod sweep;
mod upload;

pub(crate) use messages::{JobsCount, JobsMessage, JobsSummary};
pub(crate) use part::JobsPart;
pub(crate) use results::{ResultPage, read_results};
pub(crate) use store::{CancelAnswer, JobStorage, cancel_job, find_job};
pub(crate) use sweep::keep_swept;
pub(crate) use upload::{AcceptAnswer, Submission, accept_job};
