//! Room for jobs: while they are decoded and stored, and for the inputs of those that this daemon
//! owns.

use super::own::input_bytes;
use crate::gateway::Gateway;
use bluebellreel_batch::NewItem;
use bluebellreel_net::{Hold, NoRoom};
use bluebellreel_platform::jobs::job_memory;
use bluebellreel_types::JobId;
use log::warn;

/// There is no room for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unfit {
    /// There may be later.
    Now,
    /// There never is.
    Ever,
}

/// Reserves the memory that a submission takes until its job is stored.
///
/// # Errors
///
/// Fails if there is no room, now or ever.
pub(super) fn reserve(gw: &Gateway, id: &JobId, body: &[u8]) -> Result<Hold, Unfit> {
    let memory = job_memory(body);
    if memory > gw.callers.memory_limit() {
        warn!(target: "jobs", job:% = id, memory; "job larger than the memory for jobs");
        return Err(Unfit::Ever);
    }
    let reserved = gw.callers.reserve(memory);
    reserved.map_err(|NoRoom| Unfit::Now)
}

/// Whether there is room for the inputs of a new job.
pub(super) fn fits(gw: &Gateway, items: &[NewItem]) -> bool {
    let inputs: usize = items.iter().map(input_bytes).sum();
    gw.job_inputs.memory() + inputs <= gw.job_inputs.memory_limit()
}
