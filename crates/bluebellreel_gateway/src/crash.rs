//! Detects whether a worker has crashed during a run.
//!
//! A run that is broken off may have lost only its connection. The worker has crashed if
//! its VM refuses connections right afterwards, or if the worker has restarted or is no
//! longer listed a moment later without having announced that it leaves.

use crate::gateway::Gateway;
use crate::health::{self, Check, Health};
use crate::millis::millis;
use crate::quarantine_gate::{PromptPart, Subject, Trial};
use crate::quarantine_store;
use crate::workers::version_text;
use bluebellreel_dispatch::{
    CrashNotice, CrashedRun, Depth, Fingerprint, PartCrash, PartNotice, QuarantineStatus, Ticket,
    VersionTag, WorkerState, WorkerTag,
};
use bluebellreel_net::ProbeResult;
use bluebellreel_types::Moment;
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a broken-off run waits for the probe of its worker before it is resumed
/// elsewhere. A VM answers within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);
/// How long the worker of a broken-off run is watched: if it has restarted, its new
/// incarnation is listed by then instead of the previous one.
const RECHECK_DELAY: Duration = Duration::from_millis(2500);
/// How long a worker may take to show that it is alive. A health check waits for a slot.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before another health check after one whose connection broke.
const LIVENESS_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A run that its worker broke off.
pub(crate) struct InterruptedRun {
    /// Id of the caller's request or of the batch item.
    pub(crate) request: Arc<str>,
    pub(crate) fingerprint: Fingerprint,
    /// The shared parts of its prompt.
    pub(crate) parts: Vec<PromptPart>,
    /// The parts of which it was a trial.
    pub(crate) trial_parts: Vec<Fingerprint>,
    /// Whether it was a run of a batch item.
    pub(crate) is_item: bool,
    /// The trial that it was, which lasts until its end is known.
    pub(crate) trial: Option<Rc<Trial>>,
    pub(crate) ticket: Ticket,
    /// When the request was sent.
    pub(crate) began: Moment,
    /// Number of events that the worker wrote in it.
    pub(crate) events: u64,
}

/// Checks whether a run was broken off because its worker has crashed. Returns after
/// [`PROBE_TIMEOUT`] at the latest; a crash that is detected later is recorded as well.
pub(crate) async fn check_for_crash(gw: &Rc<Gateway>, run: InterruptedRun) {
    let Some(address) = ready_address(gw, &run.ticket) else {
        // The worker is leaving, so a run that it breaks off does not indicate a crash.
        log_no_crash(&run, gw.now(), "worker leaves");
        return;
    };
    let probing = tokio::task::spawn_local(confirm_crash(gw.clone(), run, address, gw.now()));
    // After the timeout the spawned task continues by itself.
    let _ = timeout(PROBE_TIMEOUT, probing).await;
}

/// The address of a run's worker, unless the worker has announced that it leaves.
fn ready_address(gw: &Gateway, ticket: &Ticket) -> Option<SocketAddr> {
    let board = gw.board.borrow();
    let worker_view = board.worker_view(&ticket.worker)?;
    (worker_view.record.state == WorkerState::Ready).then_some(worker_view.record.address)
}

/// What is known of the worker of a run that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// It has answered a health check.
    Alive,
    /// Its process has ended.
    Ended,
    /// Neither was found out in time.
    Unknown,
}

/// Whether the answer of a run at an address, which ended with its connection, was cut short
/// by the end of its worker. Without an answer to a health check within [`LIVENESS_TIMEOUT`]
/// it counts as cut short.
pub(crate) async fn was_cut_short(
    gw: &Rc<Gateway>,
    run: InterruptedRun,
    address: SocketAddr,
) -> bool {
    let until = Instant::now() + LIVENESS_TIMEOUT;
    let at = (gw.now(), until);
    find_liveness(gw, &run, address, at, Check::NotSent).await != Liveness::Alive
}

/// Finds out whether the worker of a run that ended at a moment is alive, and records a crash
/// if it is not and has not announced that it leaves.
///
/// The connections of a killed process close before its listener does, so an open port shows
/// nothing: the worker has to answer a health check.
async fn find_liveness(
    gw: &Rc<Gateway>,
    run: &InterruptedRun,
    address: SocketAddr,
    (at, until): (Moment, Instant),
    check: Check,
) -> Liveness {
    loop {
        let is_ready = ready_address(gw, &run.ticket) == Some(address);
        let ended_by = |reason| {
            if is_ready {
                record_crash(gw, run, at, reason);
            }
            Liveness::Ended
        };
        if is_ready && has_restarted(gw, &run.ticket) {
            return ended_by("started again");
        }
        let health = health::check(gw, &run.ticket.worker, address, check);
        match timeout_at(until, health).await {
            Ok(Health::Alive) => return Liveness::Alive,
            Ok(Health::Refused) => return ended_by("refuses connections"),
            Ok(Health::OtherWorker) => return ended_by("another worker answers"),
            Ok(Health::Unknown) => sleep(LIVENESS_RETRY_PAUSE).await,
            Err(_) => return Liveness::Unknown,
        }
    }
}

async fn confirm_crash(gw: Rc<Gateway>, mut run: InterruptedRun, address: SocketAddr, at: Moment) {
    let until = Instant::now() + RECHECK_DELAY;
    match probe_for_crash(&gw, &run, address, at).await {
        ProbeResult::Refused => return,
        ProbeResult::Unknown => return log_no_crash(&run, at, "no answer to a probe"),
        ProbeResult::Open => {}
    }
    let reason = match find_liveness(&gw, &run, address, (at, until), Check::Any).await {
        Liveness::Ended => return,
        Liveness::Alive => "alive",
        Liveness::Unknown => "no answer to a health check",
    };
    log_no_crash(&run, at, reason);
    run.trial = None;
    // A worker that has restarted under its id is listed as a new incarnation by then.
    sleep_until(until).await;
    if has_restarted(&gw, &run.ticket) {
        record_crash(&gw, &run, at, "started again");
    }
}

/// Logs why a run that was broken off at a moment is not taken for one that a crash ended.
fn log_no_crash(run: &InterruptedRun, at: Moment, reason: &str) {
    let lasted = millis(at.since(run.began));
    info!(target: "online", request:% = run.request, fingerprint:% = run.fingerprint, worker:% = run.ticket.worker, events = run.events, took_ms = lasted, reason; "run broken off without a crash");
}

/// Probes the worker of a run that ended at a moment. If no process listens there any more,
/// or only a later incarnation, records a crash and returns [`ProbeResult::Refused`].
async fn probe_for_crash(
    gw: &Rc<Gateway>,
    run: &InterruptedRun,
    address: SocketAddr,
    at: Moment,
) -> ProbeResult {
    if has_restarted(gw, &run.ticket) {
        record_crash(gw, run, at, "started again");
        return ProbeResult::Refused;
    }
    let found = gw.workers.probe(address).await;
    if found == ProbeResult::Refused {
        record_crash(gw, run, at, "refuses connections");
    }
    found
}

/// Whether a run's worker has restarted or is no longer listed.
fn has_restarted(gw: &Gateway, ticket: &Ticket) -> bool {
    let board = gw.board.borrow();
    let gone = board.worker_view(&ticket.worker).is_none();
    gone || board.is_from_previous_incarnation(ticket)
}

fn record_crash(gw: &Rc<Gateway>, run: &InterruptedRun, at: Moment, reason: &str) {
    let lasted = millis(at.since(run.began));
    gw.metrics.crashes.inc();
    let crashed_run = CrashedRun {
        began: run.began,
        crashed: at,
        cleared: false,
    };
    let worker = WorkerTag::of(&run.ticket.worker, run.ticket.boot);
    let notice = CrashNotice {
        fingerprint: run.fingerprint,
        worker,
        crashed_run,
    };
    let now = gw.now();
    let crashes = gw.suspects.borrow_mut().note_own_crash(notice, now);
    let parts = record_parts(gw, run, worker, crashed_run);
    gw.report_due.notify_one();
    if run.trial.as_ref().is_some_and(|t| t.is_item) {
        gw.item_trials.borrow_mut().crashed();
    }
    let quarantine_status = gw.suspects.borrow().quarantine_status(run.fingerprint, now);
    if !run.is_item && matches!(quarantine_status, QuarantineStatus::Quarantined(_)) {
        quarantine_store::store(gw, Subject::Request(run.fingerprint));
    }
    warn!(target: "online", request:% = run.request, fingerprint:% = run.fingerprint, worker:% = run.ticket.worker, worker_version = version_text(run.ticket.version.as_ref()), parts, events = run.events, took_ms = lasted, crashes, reason; "worker crashed under a run");
}

/// Records the crash for each part of the run's prompt. Returns the parts for the log, each
/// with its number of crashes.
fn record_parts(
    gw: &Rc<Gateway>,
    run: &InterruptedRun,
    worker: WorkerTag,
    crashed_run: CrashedRun,
) -> String {
    let version = VersionTag::of(run.ticket.version.as_ref());
    let now = gw.now();
    let mut logged = Vec::new();
    for PromptPart { id, fingerprint } in &run.parts {
        let mut suspects = gw.part_suspects.borrow_mut();
        let crash = PartCrash {
            run: crashed_run,
            version,
            depth: Depth::of(run.events),
            written: false,
            progressed: false,
            trial: run.trial_parts.contains(fingerprint),
        };
        let notice = PartNotice {
            part: *fingerprint,
            worker,
            crash,
        };
        let crashes = suspects.note_own_crash(notice, now);
        let status = suspects.verdict(&[*fingerprint], version, now).status;
        drop(suspects);
        if matches!(status, QuarantineStatus::Quarantined(_)) {
            quarantine_store::store(gw, Subject::Part(*fingerprint));
        }
        logged.push(format!("{id}:{crashes}"));
    }
    logged.join(",")
}
