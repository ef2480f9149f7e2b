//! Batch jobs: accepting, owning, reading back.

mod index;
mod messages;
mod part;
mod store;
mod upload;

pub(crate) use messages::{JobsMessage, JobsSummary};
pub(crate) use part::JobsPart;
pub(crate) use store::{CancelAnswer, ResultPage, cancel_job, find_job, read_results};
pub(crate) use upload::{AcceptAnswer, Submission, accept_job};
