//! Chooses which item starts next.

use crate::{Forecast, Item, Job};
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
    let may_start = |i: &Item| i.may_start(now);
    let open = jobs.filter(|j| j.may_run() && j.items.iter().any(may_start));
    let job = open.min_by_key(|j| (j.record.due_at.is_past(now), j.record.due_at))?;
    let (item, _) = job
        .items
        .iter()
        .enumerate()
        .filter(|(_, i)| may_start(i))
        .max_by_key(|(at, i)| (i.progress.events(), std::cmp::Reverse(*at)))?;
    Some(Candidate {
        job: job.id.clone(),
        item,
        due_at: job.record.due_at,
    })
}

/// Number of a job's items that are offered in vain before the job is passed over. A job
/// may have 64,000 items, and most of them usually need the same service.
const MAX_DECLINED: usize = 64;

/// Returns the item to start next by what can still be in time.
///
/// Items that can be in time go first, by due time, then those with the most events; then
/// the others, by due time. `accepts` tells whether an item of a job may start now, by its
/// index; each job is passed over after [`MAX_DECLINED`] items that may not.
pub fn next_item_by_forecast<'a>(
    jobs: impl Iterator<Item = &'a Job>,
    forecast: &Forecast,
    now: Moment,
    mut accepts: impl FnMut(&Job, usize) -> bool,
) -> Option<Candidate> {
    let mut open: Vec<&Job> = jobs.filter(|j| j.may_run()).collect();
    open.sort_by_key(|j| j.record.due_at);
    // In each job, the item with the most events is the likeliest to be in time.
    let mut first_late: Option<(&Job, usize)> = None;
    let mut first_in_time: Option<(&Job, usize, u64)> = None;
    for job in open {
        let due_at = job.record.due_at;
        if first_in_time.is_some_and(|(first, ..)| first.record.due_at < due_at) {
            break;
        }
        let fewest = forecast.fewest_events(&job.record.route, due_at, now);
        if fewest.is_none() && first_late.is_some() {
            continue;
        }
        let Some((item, events)) = most_output(job, now, &mut accepts) else {
            continue;
        };
        if fewest.is_none_or(|fewest| !fewest.allows(events)) {
            first_late = first_late.or(Some((job, item)));
        } else if first_in_time.is_none_or(|(_, _, most)| events > most) {
            first_in_time = Some((job, item, events));
        }
    }
    let first_in_time = first_in_time.map(|(job, item, _)| (job, item));
    let (job, item) = first_in_time.or(first_late)?;
    Some(Candidate {
        job: job.id.clone(),
        item,
        due_at: job.record.due_at,
    })
}

/// The acceptable item with the most events, the first of several, with these events.
fn most_output(
    job: &Job,
    now: Moment,
    accepts: &mut impl FnMut(&Job, usize) -> bool,
) -> Option<(usize, u64)> {
    let mut declined = 0;
    let mut most: Option<(usize, u64)> = None;
    for (at, item) in job.items.iter().enumerate() {
        let events = item.progress.events();
        if most.is_some_and(|(_, most)| events <= most) || !item.may_start(now) {
            continue;
        }
        if accepts(job, at) {
            most = Some((at, events));
        } else {
            declined += 1;
            if declined >= MAX_DECLINED {
                break;
            }
        }
    }
    most
}

/// Numbers of waiting items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingItems {
    /// Those that can be in time.
    pub in_time: usize,
    /// The others.
    pub late: usize,
}

/// Counts a job's items that wait to run by a moment, as [`Job::items_waiting`] does.
#[must_use]
pub fn count_waiting(job: &Job, forecast: &Forecast, by: Moment, now: Moment) -> WaitingItems {
    if !job.may_run() {
        return WaitingItems::default();
    }
    let fewest = forecast.fewest_events(&job.record.route, job.record.due_at, now);
    let mut waiting = WaitingItems::default();
    for item in job.items.iter().filter(|item| item.may_start(by)) {
        if fewest.is_some_and(|fewest| fewest.allows(item.progress.events())) {
            waiting.in_time += 1;
        } else {
            waiting.late += 1;
        }
    }
    waiting
}
