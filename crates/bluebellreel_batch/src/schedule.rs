//! Which item starts next.

use crate::{ItemPhase, Job};
use bluebellreel_types::{JobId, Moment};

/// An item that may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its job.
    pub job: JobId,
    /// Its place in the job.
    pub item: usize,
    /// When the job is due.
    pub due_at: Moment,
}

/// The item to start next.
///
/// Jobs that can still be in time go first, the one due soonest before the
/// others; a job past its due time earns little more by waiting less. Within a
/// job, items that have generated the most go first: they are nearest their
/// end, and what they hold is lost with this daemon.
pub fn next_item<'a>(jobs: impl Iterator<Item = &'a Job>, now: Moment) -> Option<Candidate> {
    let may_start = |phase: ItemPhase| match phase {
        ItemPhase::Waiting { from } => from.is_past(now),
        ItemPhase::Running | ItemPhase::Ended => false,
    };
    let open = jobs.filter(|j| j.is_open() && j.items.iter().any(|i| may_start(i.phase)));
    let job = open.min_by_key(|j| (j.record.due_at.is_past(now), j.record.due_at))?;
    let (item, _) = job
        .items
        .iter()
        .enumerate()
        .filter(|(_, i)| may_start(i.phase))
        .max_by_key(|(at, i)| (i.progress.events(), std::cmp::Reverse(*at)))?;
    Some(Candidate {
        job: job.id.clone(),
        item,
        due_at: job.record.due_at,
    })
}
