//! Assesses workers by the outcomes of runs, and shows operators what comes of it.

use crate::gateway::Gateway;
use crate::metrics::WorkerStanding;
use bluebellreel_dispatch::{InvalidOutcomes, Standing, StandingChange, WorkerView};
use bluebellreel_types::{EntryName, Moment, WorkerName};
use log::{info, warn};
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of lines about workers in one [`LOG_PERIOD`]. When a data centre fails,
/// all its workers are doubted at once.
const MAX_LOGGED: u32 = 8;
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// What was logged of the evidence on workers.
#[derive(Default)]
pub(crate) struct EvidenceLog {
    /// End of the period in which `logged` lines were written.
    period_end: Moment,
    logged: u32,
    /// Causes of invalid reports that have had their line.
    causes: BTreeSet<&'static str>,
}

impl EvidenceLog {
    fn may_log(&mut self, now: Moment) -> bool {
        if self.period_end.is_past(now) {
            self.period_end = now + LOG_PERIOD;
            self.logged = 0;
        }
        self.logged += 1;
        self.logged <= MAX_LOGGED
    }
}

/// Assesses workers if that is due.
pub(crate) fn assess_workers(gw: &Gateway) {
    let now = gw.now();
    let changes = gw.board.borrow_mut().assess_workers(now);
    for change in changes {
        if change.before.is_doubted() || change.after.is_doubted() {
            log_change(gw, &change, now);
        }
    }
}

fn log_change(gw: &Gateway, change: &StandingChange, now: Moment) {
    if !gw.evidence_log.borrow_mut().may_log(now) {
        return;
    }
    let StandingChange {
        worker,
        after,
        counts,
        share,
        ..
    } = change;
    if after.is_doubted() {
        warn!(target: "online", worker:% = worker, state:% = after, good = counts.good, bad = counts.bad, share; "worker doubted");
    } else {
        info!(target: "online", worker:% = worker, state:% = after, good = counts.good, bad = counts.bad, share; "worker trusted again");
    }
}

/// Records why a peer's outcomes are not used; logs each cause once.
pub(crate) fn note_invalid(gw: &Gateway, peer: &EntryName, invalid: InvalidOutcomes) {
    gw.metrics.reports_invalid.inc();
    let cause = invalid.cause();
    if gw.evidence_log.borrow_mut().causes.insert(cause) {
        warn!(target: "members", peer:% = peer, reason = cause; "outcomes of a peer not used");
    }
}

/// Counts a caller's request that is sent to a failing worker.
pub(crate) fn note_sent(gw: &Gateway, worker: &WorkerName) {
    let board = gw.board.borrow();
    let view = board.worker_view(worker);
    if view.is_some_and(|v| v.standing == Standing::Failing) {
        gw.metrics.sent_to_failing.inc();
    }
}

/// What the outcomes of runs say about a worker, as logged.
pub(crate) fn standing_text(gw: &Gateway, view: &WorkerView) -> &'static str {
    if gw.settings.scheduling.worker_evidence {
        view.standing.as_str()
    } else {
        "off"
    }
}

pub(crate) fn sweep(gw: &Gateway) {
    if let Some(evidence) = &mut gw.board.borrow_mut().evidence {
        evidence.sweep(gw.now());
    }
    assess_workers(gw);
}

pub(crate) fn update_metrics(gw: &Gateway) {
    if !gw.settings.scheduling.worker_evidence {
        return;
    }
    let board = gw.board.borrow();
    for standing in Standing::ALL {
        let count = i64::try_from(board.count_standing(standing)).unwrap_or(i64::MAX);
        let standing = standing.as_str();
        let gauge = gw
            .metrics
            .workers_by_standing
            .get_or_create(&WorkerStanding { standing });
        gauge.set(count);
    }
}
