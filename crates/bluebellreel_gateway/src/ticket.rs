//! A run's place at its worker, given back however the run ends.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Class, Ticket};
use bluebellreel_types::WorkerName;
use std::rc::Rc;

/// Counts one run at a worker until it is dropped.
pub(crate) struct Place {
    gw: Rc<Gateway>,
    ticket: Ticket,
}

impl Place {
    /// Takes a place. Peers are told at once, so that none takes the same
    /// slot, and batch there makes room.
    pub(crate) fn take(gw: &Rc<Gateway>, worker: &WorkerName, class: Class) -> Self {
        let ticket = gw.board.borrow_mut().start(worker, class);
        gw.report_due.notify_one();
        if class == Class::Online {
            crate::jobs::make_room(gw);
        }
        Self {
            gw: gw.clone(),
            ticket,
        }
    }

    pub(crate) fn worker(&self) -> &WorkerName {
        &self.ticket.worker
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gw.board.borrow_mut().end(&self.ticket);
        self.gw.report_due.notify_one();
        self.gw.batch_due.notify_one();
    }
}
