//! Batch jobs: acceptance, ownership, and reading of results.

mod component;
mod index;
mod messages;
mod results;
mod store;
mod sweep;
mod timestamps;
mod upload;

pub(crate) use component::JobsComponent;
pub(crate) use messages::{JobsCount, JobsMessage, JobsSummary};
pub(crate) use results::{ResultPage, read_results};
pub(crate) use store::{CancelAnswer, JobStorage, cancel_job, find_job};
pub(crate) use sweep::start_sweeper;
pub(crate) use upload::{AcceptAnswer, Submission, accept_job};
