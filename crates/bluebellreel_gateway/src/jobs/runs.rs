//! Running items on workers.

use super::deadlines::{self, YieldOrder};
use super::own::{ItemRun, Jobs, OwnedJob};
use super::{confirm, last_run, no_route};
use crate::crash::{self, InterruptedRun};
use crate::events::Events;
use crate::evidence;
use crate::gateway::Gateway;
use crate::millis::millis;
use crate::placement::for_suspect;
use crate::quarantine_gate::{self, Checked, Held, PROGRESS_EVENTS, Permit, PromptPart, Trial};
use crate::stream_monitor::StreamMonitor;
use crate::ticket::{RESTART_GRACE, RESTART_REPORT_TIMEOUT, RunGuard, note_late, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use crate::workers::version_text;
use bluebellreel_batch::{ItemEnd, ItemPhase, Job, next_item};
use bluebellreel_dispatch::{
    Attempt, BatchRun, Class, Fingerprint, Query, Route, Sender, Ticket, batch_to_yield_by,
    place_batch,
};
use bluebellreel_net::{Broken, Reuse};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bluebellreel_types::{JobId, Moment, WorkerName, WorkerVersion};
use bytes::Bytes;
use http::StatusCode;
use log::{info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Limit on the wait for the head of a worker's response to an item.
const HEAD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without output after which an item resumes on another worker.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
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
            Err(held) => {
                let later = ItemPhase::Waiting { from: held.until };
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
fn may_run(gw: &Gateway, next: &Next) -> Result<Permit, Held> {
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
        sender: Sender::Job,
        service: &next.service,
        version: version.as_ref(),
        fingerprint: || Fingerprint::of(&out.identity()),
        parts: &PromptPart::of(&out, &next.service),
    };
    quarantine_gate::may_run(gw, checked)
}

/// The item to start next, with its route and service.
struct Next {
    owned: Rc<OwnedJob>,
    job: JobId,
    item: usize,
    /// Id of the item's request.
    id: Arc<str>,
    route: Arc<Route>,
    service: Arc<str>,
    /// Where it may run.
    permit: Permit,
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

fn start(gw: &Rc<Gateway>, next: Next, worker: &WorkerName) {
    let trial = Trial::begin(gw, &next.id, &next.permit);
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
    let task = tokio::task::spawn_local(run(gw.clone(), next, run_guard, trial));
    let run = ItemRun {
        worker: worker.clone(),
        abort: task.abort_handle(),
    };
    gw.jobs.borrow_mut().runs.insert(key, run);
}

async fn run(gw: Rc<Gateway>, next: Next, run_guard: RunGuard, trial: Option<Trial>) {
    let worker = run_guard.worker().clone();
    let id = next.id.clone();
    let (after, revision, can_be_in_time, left) = {
        let job = next.owned.job.borrow();
        let after = job.items[next.item].progress.last_id();
        let can_be_in_time = deadlines::can_be_in_time(&gw, &job, next.item);
        let left = job.record.due_at.since(gw.now());
        (after, job.revision, can_be_in_time, left)
    };
    let confirmed = next.owned.lease.get().age(gw.stamp());
    gw.metrics.confirmation_age.observe(confirmed.as_secs_f64());
    info!(target: "jobs", job:% = next.job, request:% = id, worker:% = worker, worker_version = version_text(run_guard.version()), after:? = after, revision, can_be_in_time, left_ms = millis(left), confirmed_ms = millis(confirmed); "item sent");
    let end = run_at(&gw, &next, run_guard, after).await;
    drop(trial);
    let now = gw.now();
    let key = (next.job.clone(), next.item);
    gw.jobs.borrow_mut().runs.remove(&key);
    let outcome = match &end {
        ItemEnd::Completed => "completed",
        ItemEnd::Impossible => "impossible",
        ItemEnd::Failed => "failed",
        ItemEnd::Interrupted(_) => "interrupted",
    };
    gw.metrics.item(outcome);
    let mut job = next.owned.job.borrow_mut();
    info!(target: "jobs", job:% = next.job, request:% = id, worker:% = worker, events = job.items[next.item].progress.events(), outcome; "item run ended");
    if end == ItemEnd::Completed {
        deadlines::item_completed(&gw, &job, next.item);
    }
    if end == ItemEnd::Failed {
        job.items[next.item].failed_at.push(worker);
    }
    job.end_run(next.item, end, next.route.max_workers, now);
    drop(job);
    next.owned.record_due.notify_one();
    gw.batch_due.notify_one();
}

/// An item's request; `None` if the item cannot be turned into a valid request.
fn outgoing(gw: &Gateway, next: &Next) -> Option<Outgoing> {
    let job = next.owned.job.borrow();
    let input = &job.items[next.item].input;
    let (host, body) = (&job.record.host, input.body.clone());
    let mut out = Outgoing::of_item(host, &input.id, &input.path, &input.headers, body)?;
    let team = job.record.team.as_deref();
    if team.is_some() || gw.configuration().is_some_and(|c| c.teams.is_some()) {
        ingress::set_team(&mut out.headers, team);
    }
    Some(out)
}

async fn run_at(gw: &Rc<Gateway>, next: &Next, run_guard: RunGuard, after: Option<u64>) -> ItemEnd {
    let out = outgoing(gw, next);
    let Some(out) = out else {
        return ItemEnd::Impossible;
    };
    let worker = run_guard.worker().clone();
    let ticket = run_guard.ticket().clone();
    let began = gw.now();
    let sent = send(
        gw,
        Send {
            run_guard,
            out: &out,
            left: None,
            after,
            reuse: Reuse::Any,
            until: Instant::now() + HEAD_TIMEOUT,
        },
    )
    .await;
    match sent {
        Ok(mut upstream) if upstream.head.status.is_success() => {
            match read_output(gw, next, &mut upstream, &out).await {
                Ok(()) => {
                    upstream.run_guard.proved();
                    quarantine_gate::run_completed(gw, || Fingerprint::of(&out.identity()));
                    if has_answered(next, after) {
                        let parts = PromptPart::of(&out, &next.service);
                        let version = upstream.run_guard.version();
                        quarantine_gate::prompt_answered(gw, &parts, version);
                    }
                    ItemEnd::Completed
                }
                Err(reason) => interrupted(gw, next, &upstream, (&out, after), reason).await,
            }
        }
        Ok(upstream) => of_status(gw, next, &upstream),
        Err(e) => {
            if e == NoAnswer::Silent {
                gw.board.borrow_mut().failed(&ticket, gw.now());
                note_late(gw, &ticket);
            }
            if matches!(e, NoAnswer::Unknown(_)) {
                crash::check_for_crash(gw, cut_of(next, &out, ticket, began)).await;
            }
            warn!(target: "jobs", job:% = next.job, request:% = next.id, worker:% = worker, outcome:? = e; "no answer to an item");
            back_off(gw)
        }
    }
}

/// Whether an item has more output than before its run. A worker that resumes one at its
/// end answers without reading the prompt.
fn has_answered(next: &Next, after: Option<u64>) -> bool {
    let job = next.owned.job.borrow();
    job.items[next.item].progress.last_id() > after
}

fn of_status(gw: &Gateway, next: &Next, upstream: &Upstream) -> ItemEnd {
    let status = upstream.head.status;
    warn!(target: "jobs", job:% = next.job, request:% = next.id, worker:% = upstream.run_guard.worker(), status = status.as_u16(); "item not done");
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ItemEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => {
            upstream.run_guard.failed_item();
            if has_failed_elsewhere(next, upstream.run_guard.worker()) {
                upstream.run_guard.lost();
            }
            ItemEnd::Failed
        }
        status if status.is_server_error() => {
            upstream.run_guard.lost();
            back_off(gw)
        }
        _ => back_off(gw),
    }
}

/// Whether an item has failed at another worker before. Its first failure may be its own
/// fault and says nothing about the worker.
fn has_failed_elsewhere(next: &Next, worker: &WorkerName) -> bool {
    let job = next.owned.job.borrow();
    job.items[next.item].failed_at.iter().any(|w| w != worker)
}

fn back_off(gw: &Gateway) -> ItemEnd {
    ItemEnd::Interrupted(gw.now() + ITEM_BACKOFF)
}

/// Reason logged for a run whose response the worker broke off.
const BROKEN_OFF: &str = "broken off";
/// Reason logged for a run whose worker sent nothing for [`SILENCE_TIMEOUT`].
const SILENT: &str = "silent";
/// Reason logged for a run whose worker is of another version than the item's output.
const OTHER_VERSION: &str = "worker of another version";

/// Reads a run's events as [`read_events`] does. A response that ends with its connection
/// may have been cut short by a crash of its worker.
async fn read_output(
    gw: &Rc<Gateway>,
    next: &Next,
    upstream: &mut Upstream,
    out: &Outgoing,
) -> Result<(), &'static str> {
    read_events(gw, next, upstream, out).await?;
    if !upstream.body.is_unframed() {
        return Ok(());
    }
    let ticket = upstream.run_guard.ticket().clone();
    let run = cut_of(next, out, ticket, upstream.began);
    if crash::ended_by_crash(gw, run).await {
        return Err("cut short by a crash");
    }
    Ok(())
}

/// Reads a run's events until the response is complete. The error is the reason why
/// the response is incomplete.
async fn read_events(
    gw: &Rc<Gateway>,
    next: &Next,
    upstream: &mut Upstream,
    out: &Outgoing,
) -> Result<(), &'static str> {
    let mut events = Events::default();
    let mut stream_monitor = StreamMonitor::default();
    let due = events_of(next) + PROGRESS_EVENTS;
    let mut has_progressed = false;
    loop {
        match timeout(SILENCE_TIMEOUT, next_chunk(gw, upstream)).await {
            Ok(Ok(Some(bytes))) => {
                events.push(&bytes);
                take_events(gw, next, &mut events, &mut stream_monitor, upstream)?;
                if !has_progressed && events_of(next) >= due {
                    has_progressed = true;
                    upstream.run_guard.proved();
                    let parts = PromptPart::of(out, &next.service);
                    let version = upstream.run_guard.version();
                    quarantine_gate::prompt_progressed(gw, &parts, version);
                }
            }
            Ok(Ok(None)) if !events.has_partial_event() => return Ok(()),
            Ok(Ok(None) | Err(_)) => return Err(BROKEN_OFF),
            Err(_) => return Err(SILENT),
        }
    }
}

/// The next chunk of an item's output. A restarted worker sends no more output, so its
/// response is given up without waiting for [`SILENCE_TIMEOUT`].
async fn next_chunk(gw: &Gateway, upstream: &mut Upstream) -> Result<Option<Bytes>, Broken> {
    let Upstream {
        body, run_guard, ..
    } = upstream;
    tokio::select! {
        biased;
        read = body.next() => return read,
        () = worker_restarted(gw, run_guard.ticket()) => {}
    }
    if has_other_version(gw, run_guard) {
        return Err(Broken);
    }
    let read = timeout(RESTART_GRACE, body.next()).await;
    read.unwrap_or(Err(Broken))
}

/// Whether a run's worker is listed with another version than the one that the run was sent
/// to.
fn has_other_version(gw: &Gateway, run_guard: &RunGuard) -> bool {
    let board = gw.board.borrow();
    let listed = board.version_of(run_guard.worker());
    listed.is_some() && run_guard.version().is_some() && listed != run_guard.version()
}

fn take_events(
    gw: &Gateway,
    next: &Next,
    events: &mut Events,
    stream_monitor: &mut StreamMonitor,
    upstream: &Upstream,
) -> Result<(), &'static str> {
    let version = gw
        .board
        .borrow()
        .version_of_run(upstream.run_guard.ticket());
    let mut job = next.owned.job.borrow_mut();
    let progress = progress_of(&mut job, next.item);
    if progress.continue_at(version.as_ref()).is_err() {
        return Err(OTHER_VERSION);
    }
    while let Some(event) = events.next() {
        let Some(id) = event.id else {
            continue;
        };
        if progress.push(id, &event.data).is_err() {
            return Err("event ids not consecutive");
        }
        stream_monitor.record_event(gw, &upstream.run_guard);
    }
    Ok(())
}

fn progress_of(job: &mut Job, item: usize) -> &mut bluebellreel_batch::Progress {
    &mut job.items[item].progress
}

async fn interrupted(
    gw: &Rc<Gateway>,
    next: &Next,
    upstream: &Upstream,
    (out, after): (&Outgoing, Option<u64>),
    reason: &str,
) -> ItemEnd {
    let worker = upstream.run_guard.worker();
    warn!(target: "jobs", job:% = next.job, request:% = next.id, worker:% = worker, reason; "item interrupted");
    upstream.run_guard.failed();
    match reason {
        OTHER_VERSION => {}
        SILENT if has_answered(next, after) => {}
        SILENT => upstream.run_guard.late(),
        _ => upstream.run_guard.lost(),
    }
    let sent_lately = !(upstream.began + RESTART_REPORT_TIMEOUT).is_past(gw.now());
    if sent_lately && has_other_version(gw, &upstream.run_guard) {
        // The run may have been sent to the new incarnation already.
        next.owned.job.borrow_mut().start_over(next.item);
    }
    if reason == BROKEN_OFF {
        let ticket = upstream.run_guard.ticket().clone();
        crash::check_for_crash(gw, cut_of(next, out, ticket, upstream.began)).await;
    }
    back_off(gw)
}

/// Describes a run whose response the worker broke off.
fn cut_of(next: &Next, out: &Outgoing, ticket: Ticket, began: Moment) -> InterruptedRun {
    InterruptedRun {
        request: next.id.clone(),
        fingerprint: Fingerprint::of(&out.identity()),
        parts: PromptPart::of(out, &next.service),
        trial_parts: next.permit.trial_parts(),
        ticket,
        began,
    }
}

fn events_of(next: &Next) -> u64 {
    next.owned.job.borrow().items[next.item].progress.events()
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
