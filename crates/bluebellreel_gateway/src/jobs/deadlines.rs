//! Order of items, and of runs that yield, by what can still be in time. In use if the
//! settings turn the feature `job_deadlines` on.

use super::own::Jobs;
use crate::gateway::Gateway;
use bluebellreel_batch::{Candidate, Forecast, Job, WaitingItems, next_item_by_forecast};
use bluebellreel_dispatch::{Board, Demand, WorkerState};
use bluebellreel_types::{JobId, Moment, WorkerName};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long a count of the waiting items is used. Reports and starts of items need it
/// hundreds of times a second, and a job may have 64,000 items.
const COUNT_VALIDITY: Duration = Duration::from_millis(5);

/// What this daemon knows about when items complete.
#[derive(Default)]
pub(crate) struct Deadlines {
    forecast: RefCell<Forecast>,
    waiting: Cell<WaitingItems>,
    /// Until when the count of waiting items may be used.
    waiting_until: Cell<Moment>,
}

/// Whether the feature is on.
pub(crate) fn is_on(gw: &Gateway) -> bool {
    gw.settings.scheduling.job_deadlines
}

/// Own items that wait for a worker slot.
pub(crate) fn waiting(gw: &Gateway) -> WaitingItems {
    let now = gw.now();
    let deadlines = &gw.deadlines;
    if deadlines.waiting_until.get().is_past(now) {
        let jobs = gw.jobs.borrow();
        let waiting = jobs.items_by_forecast(&deadlines.forecast.borrow(), now);
        deadlines.waiting.set(waiting);
        deadlines.waiting_until.set(now + COUNT_VALIDITY);
    }
    deadlines.waiting.get()
}

/// Number of own items that wait for a worker slot.
pub(crate) fn items_waiting(gw: &Gateway) -> u32 {
    if !is_on(gw) {
        return gw.jobs.borrow().items_waiting(gw.now());
    }
    let waiting = waiting(gw);
    u32::try_from(waiting.in_time + waiting.late).unwrap_or(u32::MAX)
}

/// This daemon's demand for slots.
pub(crate) fn own_demand(gw: &Gateway) -> Demand {
    let waiting = waiting(gw);
    Demand::new(waiting.in_time, waiting.late)
}

/// Updates by what free slots are divided among the daemons.
pub(super) fn update_board(gw: &Gateway) {
    let demand = own_demand(gw);
    let mut board = gw.board.borrow_mut();
    board.demands.set_own(demand);
    board.note_free_slots(gw.now());
}

/// Has an item placed by this daemon's claim for such items. Items that can be in time
/// start first, so none of them waits if this one cannot be.
pub(super) fn claim_for(gw: &Gateway, job: &Job, item: usize) {
    if !can_be_in_time(gw, job, item) {
        let waiting = waiting(gw);
        let demand = Demand::new(0, waiting.in_time + waiting.late);
        gw.board.borrow_mut().demands.set_own(demand);
    }
}

/// Chooses the item to start next, of a service that is not in `full` and a job that is
/// not excluded. Also returns the jobs that have an item without a route.
pub(super) fn next_item(
    gw: &Gateway,
    jobs: &Jobs,
    full: &BTreeSet<Arc<str>>,
    excluded: &BTreeSet<JobId>,
) -> (Option<Candidate>, BTreeSet<JobId>) {
    let mut without_route = BTreeSet::new();
    let Some(configuration) = gw.configuration() else {
        return (None, without_route);
    };
    let open = jobs.own.iter().filter(|(id, _)| !excluded.contains(*id));
    let borrowed: Vec<_> = open.map(|(_, owned)| owned.job.borrow()).collect();
    let forecast = gw.deadlines.forecast.borrow();
    let accepts = |job: &Job, item: usize| {
        let input = &job.items[item].input;
        let Some(route) = configuration.route(&job.record.host, &input.path) else {
            without_route.insert(job.id.clone());
            return false;
        };
        !full.contains(&route.service_for(&input.id))
    };
    let open = borrowed.iter().map(|j| &**j);
    let found = next_item_by_forecast(open, &forecast, gw.now(), accepts);
    (found, without_route)
}

/// Whether an item can complete by the time its job is due.
pub(super) fn can_be_in_time(gw: &Gateway, job: &Job, item: usize) -> bool {
    let events = job.items[item].progress.events();
    let (record, forecast) = (&job.record, gw.deadlines.forecast.borrow());
    forecast.can_be_in_time(&record.route, events, record.due_at, gw.now())
}

/// Records that an item's output is complete.
pub(super) fn item_completed(gw: &Gateway, job: &Job, item: usize) {
    let now = gw.now();
    if job.record.due_at.is_past(now) {
        gw.metrics.items_late.inc();
    }
    if is_on(gw) {
        let (record, item) = (&job.record, &job.items[item]);
        let events = item.progress.events();
        let mut forecast = gw.deadlines.forecast.borrow_mut();
        forecast.completed(&record.route, item.timing, events, now);
    }
}

/// Order in which runs yield; the lowest one first. Without the feature, only the number
/// of events counts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct YieldOrder {
    is_nearly_done: bool,
    can_be_in_time: bool,
    due_at: Reverse<Moment>,
    events: u64,
}

impl YieldOrder {
    pub(super) fn new(gw: &Gateway, job: Option<&Job>, item: usize) -> Self {
        let events = job.map_or(0, |job| job.items[item].progress.events());
        match job.filter(|_| is_on(gw)) {
            None => Self {
                is_nearly_done: false,
                can_be_in_time: false,
                due_at: Reverse(Moment(0)),
                events,
            },
            Some(job) => {
                let forecast = gw.deadlines.forecast.borrow();
                Self {
                    is_nearly_done: forecast.is_nearly_done(&job.record.route, events),
                    can_be_in_time: can_be_in_time(gw, job, item),
                    due_at: Reverse(job.record.due_at),
                    events,
                }
            }
        }
    }

    /// Why a run at a worker yields.
    pub(super) fn reason(self, gw: &Gateway, board: &Board, worker: &WorkerName) -> &'static str {
        let view = board.worker_view(worker);
        if view.is_some_and(|view| view.record.state == WorkerState::Draining) {
            "worker drains"
        } else if is_on(gw) && !self.can_be_in_time {
            "more runs than slots, cannot be in time"
        } else {
            "more runs than slots"
        }
    }
}
