//! Starts items on workers, and preempts runs that must yield.

use super::deadlines::{self, YieldOrder};
use super::execution::{outgoing, run};
use super::own::{ItemRun, Jobs, OwnedJob};
use super::{confirm, last_run, no_route};
use crate::evidence;
use crate::gateway::Gateway;
use crate::item_gate;
use crate::placement::for_suspect;
use crate::quarantine_gate::{Checked, Permit, PromptPart, Trial};
use crate::ticket::RunGuard;
use crate::workers::version_text;
use bluebellreel_batch::{ItemEnd, ItemPhase, next_item};
use bluebellreel_dispatch::{
    Attempt, BatchRun, Class, Fingerprint, Query, Route, batch_to_yield_by, place_batch,
};
use bluebellreel_types::{JobId, Moment, WorkerName, WorkerVersion};
use log::info;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time for which an item that has output waits for a slot at a worker of its version while
/// there are slots at others. An item generates about half of its output in this time.
const VERSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause of an item after a run without success, so that it does not cycle through
/// workers that all refuse it.
pub(super) const ITEM_BACKOFF: Duration = Duration::from_millis(120);

/// Starts waiting items on free worker slots, in an endless loop.
pub(crate) async fn start_items(gw: Rc<Gateway>) {
    /// Interval between checks when nothing wakes the task.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    /// Minimum interval between checks. Each report of a peer wakes the task, hundreds of
    /// times a second in a large fleet, and a check looks at all workers.
    const MIN_INTERVAL: Duration = Duration::from_millis(10);
    loop {
        // A timeout triggers the next periodic check.
        let _ = timeout(POLL_INTERVAL, gw.batch_due.notified()).await;
        if !gw.stopping.get() {
            fill_slots(&gw);
        }
        sleep(MIN_INTERVAL).await;
    }
}

fn fill_slots(gw: &Rc<Gateway>) {
    evidence::assess_workers(gw);
    let mut full: BTreeSet<Arc<str>> = BTreeSet::new();
    let mut skipped: BTreeSet<JobId> = BTreeSet::new();
    if deadlines::is_on(gw) {
        deadlines::update_board(gw);
    }
    while let Some(mut next) = choose_item(gw, &full, &skipped) {
        match may_run(gw, &next) {
            Ok(permit) => next.permit = permit,
            Err(until) => {
                let later = ItemPhase::Waiting { from: until };
                next.owned.job.borrow_mut().items[next.item].phase = later;
                continue;
            }
        }
        let version = version_to_keep(gw, &next).or_else(|| next.permit.version.clone());
        let avoid = next.owned.job.borrow().items[next.item].failed_at.clone();
        let query = Query {
            service: &next.service,
            version: version.as_ref(),
            avoid: &avoid,
            attempt: last_run::attempt_of(
                gw,
                &next.owned.job.borrow().items[next.item],
                &next.route,
            ),
            max_wait: Duration::ZERO,
            salt: 0,
            now: gw.now(),
        };
        if deadlines::is_on(gw) {
            deadlines::claim_for(gw, &next.owned.job.borrow(), next.item);
        }
        let worker = {
            let board = gw.board.borrow();
            let usual = place_batch(&board, &query, gw.me());
            usual.map(|usual| for_suspect(&board, &query, &next.permit, usual))
        };
        match worker {
            Some(_) if !confirm::allows_start(gw, &next.owned) => {
                skipped.insert(next.job);
            }
            Some(worker) => start(gw, next, &worker),
            None if has_slot_at_other_version(gw, &query) => wait_for_version(gw, &next),
            None if query.attempt == Attempt::Last && last_run::has_unproven_slot(gw, &query) => {
                last_run::wait(&mut next.owned.job.borrow_mut().items[next.item], gw.now());
                if avoid.is_empty() {
                    // All items of its job may have to wait, and there may be thousands.
                    skipped.insert(next.job);
                }
            }
            None if !avoid.is_empty() => {
                // Other items may start on the workers where this one has failed, so it
                // must not hold them up.
                let later = ItemPhase::Waiting {
                    from: gw.now() + ITEM_BACKOFF,
                };
                next.owned.job.borrow_mut().items[next.item].phase = later;
            }
            None => {
                full.insert(next.service.clone());
            }
        }
    }
}

/// The version at whose workers an item goes on; none if it has no output. Output that
/// cannot go on is dropped, and the item starts over.
fn version_to_keep(gw: &Gateway, next: &Next) -> Option<WorkerVersion> {
    let version = {
        let job = next.owned.job.borrow();
        let progress = &job.items[next.item].progress;
        if progress.events() == 0 {
            return None;
        }
        progress.version().cloned()
    };
    let Some(version) = version else {
        start_over(gw, next, "version not known");
        return None;
    };
    if !gw.board.borrow().has_ready_version(&next.service, &version) {
        start_over(gw, next, "no worker of its version");
        return None;
    }
    Some(version)
}

/// Whether an item that finds no slot at workers of its version would find one at others.
fn has_slot_at_other_version(gw: &Gateway, query: &Query) -> bool {
    let unrestricted = Query {
        version: None,
        ..*query
    };
    query.version.is_some() && place_batch(&gw.board.borrow(), &unrestricted, gw.me()).is_some()
}

/// Has an item wait for a slot at a worker of its version, or start over if it has waited
/// for too long.
fn wait_for_version(gw: &Gateway, next: &Next) {
    let now = gw.now();
    let is_overdue = {
        let mut job = next.owned.job.borrow_mut();
        let item = &mut job.items[next.item];
        item.phase = ItemPhase::Waiting {
            from: now + ITEM_BACKOFF,
        };
        let deadline = item.version_deadline.get_or_insert(now + VERSION_TIMEOUT);
        deadline.is_past(now)
    };
    if is_overdue {
        start_over(gw, next, "all workers of its version are full");
    }
}

fn start_over(gw: &Gateway, next: &Next, reason: &str) {
    let mut job = next.owned.job.borrow_mut();
    let progress = &job.items[next.item].progress;
    info!(target: "jobs", job:% = next.job, request:% = next.id, worker_version = version_text(progress.version()), events = progress.events(), reason; "item starts over");
    gw.metrics.resumption("item", "started_over");
    job.start_over(next.item);
}

/// Whether an item may be sent to a worker. The error says when to try again.
fn may_run(gw: &Gateway, next: &Next) -> Result<Permit, Moment> {
    if gw.suspects.borrow().is_empty() && gw.part_suspects.borrow().is_empty() {
        return Ok(Permit::default());
    }
    let Some(out) = outgoing(gw, next) else {
        return Ok(Permit::default());
    };
    let version = {
        let job = next.owned.job.borrow();
        job.items[next.item].progress.version().cloned()
    };
    let checked = Checked {
        request: &next.id,
        service: &next.service,
        version: version.as_ref(),
        fingerprint: || Fingerprint::of(&out.identity()),
        parts: &PromptPart::of(&out, &next.service),
    };
    item_gate::may_run(gw, checked)
}

/// The item to start next, with its route and service.
pub(super) struct Next {
    pub(super) owned: Rc<OwnedJob>,
    pub(super) job: JobId,
    pub(super) item: usize,
    /// Id of the item's request.
    pub(super) id: Arc<str>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// Where it may run.
    pub(super) permit: Permit,
    /// Set while it runs on trial.
    pub(super) trial: Option<Rc<Trial>>,
}

/// Chooses the item to start next, of a service with free slots and a job that is not
/// skipped: one whose ownership is not confirmed, or whose items wait for proven workers.
fn choose_item(
    gw: &Rc<Gateway>,
    full: &BTreeSet<Arc<str>>,
    skipped: &BTreeSet<JobId>,
) -> Option<Next> {
    let now = gw.now();
    let configuration = gw.configuration()?;
    let jobs = gw.jobs.borrow();
    let mut excluded = skipped.clone();
    loop {
        let found = if deadlines::is_on(gw) {
            let (found, without_route) = deadlines::next_item(gw, &jobs, full, &excluded);
            for owned in without_route.iter().filter_map(|id| jobs.own.get(id)) {
                no_route::note_missing_route(gw, owned);
            }
            found?
        } else {
            let open = jobs.own.iter().filter(|(id, _)| !excluded.contains(*id));
            let borrowed: Vec<_> = open.map(|(_, owned)| owned.job.borrow()).collect();
            next_item(borrowed.iter().map(|j| &**j), now)?
        };
        let owned = jobs.own.get(&found.job)?.clone();
        let wanted = {
            let job = owned.job.borrow();
            let input = &job.items[found.item].input;
            let route = configuration.route(&job.record.host, &input.path).cloned();
            route.map(|r| (r.service_for(&input.id), r, input.id.clone()))
        };
        match wanted {
            Some((service, route, id)) if !full.contains(&service) => {
                return Some(Next {
                    owned,
                    job: found.job,
                    item: found.item,
                    id,
                    route,
                    service,
                    permit: Permit::default(),
                    trial: None,
                });
            }
            Some(_) => {
                excluded.insert(found.job);
            }
            None => {
                no_route::note_missing_route(gw, &owned);
                excluded.insert(found.job);
            }
        }
    }
}

fn start(gw: &Rc<Gateway>, mut next: Next, worker: &WorkerName) {
    next.trial = Trial::begin(gw, &next.id, &next.permit);
    let run_guard = RunGuard::acquire(gw, worker, Class::Batch);
    {
        let mut job = next.owned.job.borrow_mut();
        let item = &mut job.items[next.item];
        item.phase = ItemPhase::Running;
        item.version_deadline = None;
        item.proven_deadline = None;
        item.timing.start(item.progress.events(), gw.now());
        if item.progress.events() > 0 {
            gw.metrics.resumption("item", "same_version");
        }
    }
    let key = (next.job.clone(), next.item);
    let task = tokio::task::spawn_local(run(gw.clone(), next, run_guard));
    let run = ItemRun {
        worker: worker.clone(),
        abort: task.abort_handle(),
    };
    gw.jobs.borrow_mut().runs.insert(key, run);
}

fn events_of_run(jobs: &Jobs, key: &(JobId, usize)) -> u64 {
    let owned = jobs.own.get(&key.0);
    owned.map_or(0, |o| o.job.borrow().items[key.1].progress.events())
}

fn yield_order(gw: &Gateway, jobs: &Jobs, key: &(JobId, usize)) -> YieldOrder {
    let owned = jobs.own.get(&key.0);
    let job = owned.map(|owned| owned.job.borrow());
    YieldOrder::new(gw, job.as_deref(), key.1)
}

/// Preempts the batch runs that must yield their slots to online requests now. Their
/// items resume on other workers.
pub(crate) fn preempt_batch_runs(gw: &Gateway) {
    let Ok(mut jobs) = gw.jobs.try_borrow_mut() else {
        return;
    };
    if jobs.runs.is_empty() {
        return;
    }
    let runs: Vec<BatchRun<((JobId, usize), YieldOrder)>> = jobs
        .runs
        .iter()
        .map(|(key, run)| BatchRun {
            key: (key.clone(), yield_order(gw, &jobs, key)),
            worker: run.worker.clone(),
            events: events_of_run(&jobs, key),
        })
        .collect();
    let yields = batch_to_yield_by(&gw.board.borrow(), &runs, |run| run.key.1);
    for (key, order) in yields {
        let Some(run) = jobs.runs.remove(&key) else {
            continue;
        };
        run.abort.abort();
        gw.metrics.yields.inc();
        if let Some(owned) = jobs.own.get(&key.0) {
            let mut job = owned.job.borrow_mut();
            let end = ItemEnd::Interrupted(gw.now());
            job.end_run(key.1, end, u32::MAX, gw.now());
            let reason = order.reason(gw, &gw.board.borrow(), &run.worker);
            info!(target: "jobs", job:% = key.0, request:% = job.items[key.1].input.id, worker:% = run.worker, reason; "item preempted");
        }
    }
}
