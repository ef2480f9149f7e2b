//! Registers runs at workers, and deregisters them however they end.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Class, Outcome, Ticket};
use bluebellreel_types::{Moment, WorkerName, WorkerVersion};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Counts one run at a worker until it is dropped.
pub(crate) struct RunGuard {
    gw: Rc<Gateway>,
    ticket: Ticket,
    /// Whether a good outcome of the run was recorded.
    is_good: Cell<bool>,
    /// Whether a bad outcome of the run was recorded.
    is_bad: Cell<bool>,
}

impl RunGuard {
    /// Registers a run, and reports it to peers at once so that none of them uses the
    /// same slot.
    pub(crate) fn acquire(gw: &Rc<Gateway>, worker: &WorkerName, class: Class) -> Self {
        let ticket = gw.board.borrow_mut().start(worker, class);
        gw.report_due.notify_one();
        Self {
            gw: gw.clone(),
            ticket,
            is_good: Cell::new(false),
            is_bad: Cell::new(false),
        }
    }

    pub(crate) fn worker(&self) -> &WorkerName {
        &self.ticket.worker
    }

    /// The version of the worker's software, if it was known when the run was sent.
    pub(crate) fn version(&self) -> Option<&WorkerVersion> {
        self.ticket.version.as_ref()
    }

    pub(crate) fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Records that the run has delivered an event or a complete answer.
    pub(crate) fn succeeded(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().succeeded(&self.ticket, now);
    }

    /// Records that the run has failed in a way that suggests a fault of its worker.
    pub(crate) fn failed(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().failed(&self.ticket, now);
    }

    /// Records that the worker has run the request, or a good part of it. Counts once for
    /// each run.
    pub(crate) fn proved(&self) {
        if !self.is_good.replace(true) {
            note_outcome(&self.gw, &self.ticket, Outcome::Good);
        }
    }

    /// Records that the worker accepted the request and lost it. Counts once for each run.
    pub(crate) fn lost(&self) {
        if !self.is_bad.replace(true) {
            note_outcome(&self.gw, &self.ticket, Outcome::Bad);
        }
    }

    /// Records that nothing of the answer came in time.
    pub(crate) fn late(&self) {
        if !self.is_bad.get() {
            self.is_bad.set(note_late(&self.gw, &self.ticket));
        }
    }

    /// Records that the worker has failed to run a batch item.
    pub(crate) fn failed_item(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().failed_item(&self.ticket, now);
    }
}

/// Records a run of which nothing came in time for the evidence on its worker. Returns
/// whether it was counted.
pub(crate) fn note_late(gw: &Gateway, ticket: &Ticket) -> bool {
    let is_counted = gw.board.borrow_mut().note_late(ticket, gw.now());
    if is_counted {
        gw.report_due.notify_one();
    }
    is_counted
}

/// Records the outcome of a run for the evidence on its worker.
fn note_outcome(gw: &Gateway, ticket: &Ticket, outcome: Outcome) {
    let mut board = gw.board.borrow_mut();
    let is_counted = board.note_outcome(ticket, outcome, gw.now());
    if is_counted && outcome == Outcome::Bad {
        gw.report_due.notify_one();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.gw.board.borrow_mut().end(&self.ticket);
        self.gw.report_due.notify_one();
        self.gw.batch_due.notify_one();
    }
}

/// How long a run may still deliver something after its worker is known to have
/// restarted. The worker may have restarted before the run was sent: its entry in the
/// store appears a few hundred milliseconds after it begins to answer, and events arrive
/// about 30 ms apart.
pub(crate) const RESTART_GRACE: Duration = Duration::from_millis(150);

/// Time within which the entry of a worker that has restarted appears in the store. A run
/// that was sent this shortly before may have reached either incarnation.
pub(crate) const RESTART_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a run, sent at a moment, may have reached a later incarnation of its worker, which is
/// of another version. It has not if the list was known to be complete without that incarnation
/// when its entry would have appeared.
pub(crate) fn may_be_of_other_version(gw: &Gateway, ticket: &Ticket, sent: Moment) -> bool {
    let board = gw.board.borrow();
    let listed = board.version_of(&ticket.worker);
    let has_other_version =
        listed.is_some() && ticket.version.is_some() && listed != ticket.version.as_ref();
    let complete_at = gw.restarts.borrow().get(&ticket.worker).copied();
    has_other_version && complete_at.is_none_or(|at| at < sent + RESTART_REPORT_TIMEOUT)
}

/// Completes once a run's worker is known to have restarted under the same id.
pub(crate) async fn worker_restarted(gw: &Gateway, ticket: &Ticket) {
    loop {
        let restarted = gw.worker_restarted.notified();
        if gw.board.borrow().is_from_previous_incarnation(ticket) {
            return;
        }
        restarted.await;
    }
}
