//! A run's place at its worker, given back however the run ends.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Class, Ticket};
use bluebellreel_types::WorkerName;
use std::rc::Rc;
use std::time::Duration;

/// Counts one run at a worker until it is dropped.
pub(crate) struct RunGuard {
    gw: Rc<Gateway>,
    ticket: Ticket,
}

impl RunGuard {
    /// Takes a place, and reports it to peers at once, so that none takes the same
    /// slot.
    pub(crate) fn acquire(gw: &Rc<Gateway>, worker: &WorkerName, class: Class) -> Self {
        let ticket = gw.board.borrow_mut().start(worker, class);
        gw.report_due.notify_one();
        Self {
            gw: gw.clone(),
            ticket,
        }
    }

    pub(crate) fn worker(&self) -> &WorkerName {
        &self.ticket.worker
    }

    pub(crate) fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// The run has given an event or a whole answer.
    pub(crate) fn succeeded(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().succeeded(&self.ticket, now);
    }

    /// The run has failed in a way that speaks against its worker.
    pub(crate) fn failed(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().failed(&self.ticket, now);
    }

    /// The worker has failed at a batch item.
    pub(crate) fn failed_item(&self) {
        let now = self.gw.now();
        self.gw.board.borrow_mut().failed_item(&self.ticket, now);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.gw.board.borrow_mut().end(&self.ticket);
        self.gw.report_due.notify_one();
        self.gw.batch_due.notify_one();
    }
}

/// How long a run may still bring something once its worker is known to have
/// started again. The worker may have done so before the run was sent: its entry
/// comes some hundred milliseconds after its first answers, and events come some
/// 30 ms apart.
pub(crate) const RESTART_GRACE: Duration = Duration::from_millis(150);

/// Ends once a run's worker is known to have started again under its id.
pub(crate) async fn worker_restarted(gw: &Gateway, ticket: &Ticket) {
    loop {
        let restarted = gw.worker_restarted.notified();
        if gw.board.borrow().is_of_former_life(ticket) {
            return;
        }
        restarted.await;
    }
}
