//! One run of an item at a worker: sends its request, reads its output, and tells how the run
//! ended.

use super::deadlines;
use super::runs::{ITEM_BACKOFF, Next};
use crate::answer_limits::{AnswerLimits, TOO_LONG};
use crate::crash::{self, InterruptedRun};
use crate::events::{Events, Oversized};
use crate::gateway::Gateway;
use crate::item_gate;
use crate::list_check;
use crate::millis::millis;
use crate::quarantine_gate::{self, PromptPart};
use crate::stream_monitor::StreamMonitor;
use crate::ticket::{RESTART_GRACE, RESTART_REPORT_TIMEOUT, RunGuard, note_late, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use crate::workers::version_text;
use bluebellreel_batch::{ItemEnd, Job};
use bluebellreel_dispatch::{Depth, Fingerprint, Ticket};
use bluebellreel_net::{Broken, Reuse};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bluebellreel_types::{Moment, WorkerName};
use bytes::Bytes;
use http::StatusCode;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Limit on the wait for the head of a worker's response to an item, for its first run. It
/// doubles with each run that was not answered in time: an item that fails late must be heard
/// to fail, as it would run without an end otherwise.
const HEAD_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of times that this limit doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Time without output after which an item resumes on another worker.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Runs an item at a worker to the end of the run, and records how it ended.
pub(super) async fn run(gw: Rc<Gateway>, mut next: Next, run_guard: RunGuard) {
    let worker = run_guard.worker().clone();
    let id = next.id.clone();
    let has_output = next.owned.job.borrow().items[next.item]
        .progress
        .last_id()
        .is_some();
    let may_send = !has_output || list_check::check_for_send(&gw).await;
    let (after, failures, revision, can_be_in_time, left) = {
        let job = next.owned.job.borrow();
        let after = job.items[next.item].progress.last_id();
        let can_be_in_time = deadlines::can_be_in_time(&gw, &job, next.item);
        let left = job.record.due_at.since(gw.now());
        let failures = job.items[next.item].failures;
        (after, failures, job.revision, can_be_in_time, left)
    };
    let end = if may_send {
        let confirmed = next.owned.lease.get().age(gw.stamp());
        gw.metrics.confirmation_age.observe(confirmed.as_secs_f64());
        let list_age_ms = gw.list_age().map(millis);
        info!(target: "jobs", job:% = next.job, request:% = id, worker:% = worker, worker_version = version_text(run_guard.version()), after:? = after, failures, revision, list_age_ms:? = list_age_ms, can_be_in_time, left_ms = millis(left), confirmed_ms = millis(confirmed); "item sent");
        run_at(&gw, &next, run_guard, after).await
    } else {
        gw.metrics.resumption("item", "out_of_step");
        back_off(&gw)
    };
    next.trial = None;
    let now = gw.now();
    let key = (next.job.clone(), next.item);
    gw.jobs.borrow_mut().runs.remove(&key);
    let outcome = match &end {
        ItemEnd::Completed => "completed",
        ItemEnd::Impossible => "impossible",
        ItemEnd::Failed => "failed",
        ItemEnd::Unanswered(_) => "unanswered",
        ItemEnd::Interrupted(_) => "interrupted",
    };
    gw.metrics.item(outcome);
    let mut job = next.owned.job.borrow_mut();
    info!(target: "jobs", job:% = next.job, request:% = id, worker:% = worker, events = job.items[next.item].progress.events(), failures_before = job.items[next.item].failures, outcome; "item run ended");
    if end == ItemEnd::Completed {
        deadlines::item_completed(&gw, &job, next.item);
    }
    if end == ItemEnd::Failed {
        job.items[next.item].failed_at.push(worker);
    }
    job.end_run(next.item, end, next.route.max_workers, now);
    if job.has_uncounted() {
        gw.jobs.borrow().counts_due.notify_one();
    }
    drop(job);
    next.owned.record_due.notify_one();
    gw.batch_due.notify_one();
}

/// An item's request; `None` if the item cannot be turned into a valid request.
pub(super) fn outgoing(gw: &Gateway, next: &Next) -> Option<Outgoing> {
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
    let unanswered = next.owned.job.borrow().items[next.item].unanswered;
    let head_timeout = HEAD_TIMEOUT * (1 << unanswered.min(MAX_DOUBLINGS));
    let sent = send(
        gw,
        Send {
            run_guard,
            out: &out,
            left: None,
            after,
            reuse: Reuse::Any,
            until: Instant::now() + head_timeout,
        },
    )
    .await;
    match sent {
        Ok(mut upstream) if upstream.head.status.is_success() => {
            match read_output(gw, next, &mut upstream, (&out, after)).await {
                Ok(()) => {
                    upstream.run_guard.proved();
                    // A run that resumes an item shows nothing about what comes before.
                    if after.is_none() {
                        quarantine_gate::run_completed(gw, || Fingerprint::of(&out.identity()));
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
            let has_restarted = gw.board.borrow().is_from_previous_incarnation(&ticket);
            if has_restarted || matches!(e, NoAnswer::Unknown(_)) {
                crash::check_for_crash(gw, cut_of(next, (&out, after), ticket, began)).await;
            }
            warn!(target: "jobs", job:% = next.job, request:% = next.id, worker:% = worker, outcome:? = e; "no answer to an item");
            if e == NoAnswer::Silent {
                ItemEnd::Unanswered(gw.now() + ITEM_BACKOFF)
            } else {
                back_off(gw)
            }
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
/// may have been cut short by the end of its worker.
async fn read_output(
    gw: &Rc<Gateway>,
    next: &Next,
    upstream: &mut Upstream,
    (out, after): (&Outgoing, Option<u64>),
) -> Result<(), &'static str> {
    read_events(gw, next, upstream, out).await?;
    if !upstream.body.is_unframed() {
        return Ok(());
    }
    let ticket = upstream.run_guard.ticket().clone();
    let run = cut_of(next, (out, after), ticket, upstream.began);
    if crash::was_cut_short(gw, run, upstream.address).await {
        return Err("cut short by its worker's end");
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
    let before = events_of(next);
    let limits = AnswerLimits::of(&out.headers);
    let mut depth = Depth::default();
    let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
    let mut must_check = before > 0;
    loop {
        match timeout_at(silent_at, next_chunk(gw, upstream)).await {
            Ok(Ok(Some(bytes))) => {
                events.push(&bytes);
                let ticket = upstream.run_guard.ticket();
                if std::mem::take(&mut must_check)
                    && !list_check::check_run(gw, ticket, upstream.dispatched).await
                {
                    return Err(OTHER_VERSION);
                }
                let known = events_of(next);
                take_events(
                    gw,
                    next,
                    (&mut events, limits),
                    &mut stream_monitor,
                    upstream,
                )?;
                if events_of(next) > known {
                    silent_at = Instant::now() + SILENCE_TIMEOUT;
                }
                let reached = Depth::of(events_of(next).saturating_sub(before));
                if reached > depth {
                    if next.trial.is_some() && depth == Depth::default() {
                        item_gate::progressed(gw);
                    }
                    depth = reached;
                    upstream.run_guard.proved();
                    let parts = PromptPart::of(out, &next.service);
                    let version = upstream.run_guard.version();
                    quarantine_gate::prompt_progressed(gw, &parts, version, depth);
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
    (events, limits): (&mut Events, AnswerLimits),
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
    while let Some(event) = events.next().map_err(|Oversized| Oversized::REASON)? {
        let Some(id) = event.id else {
            continue;
        };
        let bytes = progress.text().len() + event.data.len();
        if progress.events() >= limits.events || bytes as u64 > limits.bytes {
            // Nothing of it can be relied on.
            job.start_over(next.item);
            return Err(TOO_LONG);
        }
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
        let run = cut_of(next, (out, after), ticket, upstream.began);
        crash::check_for_crash(gw, run).await;
    }
    back_off(gw)
}

/// Describes a run whose response the worker broke off; `after` is the last event before it.
fn cut_of(
    next: &Next,
    (out, after): (&Outgoing, Option<u64>),
    ticket: Ticket,
    began: Moment,
) -> InterruptedRun {
    let last = next.owned.job.borrow().items[next.item].progress.last_id();
    InterruptedRun {
        request: next.id.clone(),
        fingerprint: Fingerprint::of(&out.identity()),
        parts: PromptPart::of(out, &next.service),
        trial_parts: next.permit.trial_parts(),
        trial: next.trial.clone(),
        is_item: true,
        ticket,
        began,
        events: last
            .unwrap_or_default()
            .saturating_sub(after.unwrap_or_default()),
    }
}

fn events_of(next: &Next) -> u64 {
    next.owned.job.borrow().items[next.item].progress.events()
}
