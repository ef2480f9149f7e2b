//! Batch jobs: accepting, owning, reading back.

mod actor;
mod index;
mod messages;
mod store;
mod upload;

pub(crate) use actor::JobsActor;
pub(crate) use messages::{JobsMessage, JobsSummary};
pub(crate) use store::{CancelAnswer, ResultPage, cancel_job, find_job, read_results};
pub(crate) use upload::{AcceptAnswer, Submission, accept_job};
