//! Chooses which item starts next.

use crate::{ItemPhase, Job};
use bluebellreel_types::{JobId, Moment};

/// An item that may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its job.
    pub job: JobId,
    /// Index of the item in the job.
    pub item: usize,
    /// When the results of the job are due.
    pub due_at: Moment,
}

/// Returns the item to start next.
///
/// Jobs that can still finish in time go first, ordered by due time. A job past its due
/// time gains little from an earlier start. Within a job, the items that have generated
/// the most events go first: they are closest to completion, and their output would be
/// lost if this daemon died.
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
