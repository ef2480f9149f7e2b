//! What the events of one stream show of its worker.

use crate::gateway::Gateway;
use crate::ticket::RunGuard;
use bluebellreel_types::Moment;

/// Follows the events of one run at one worker.
#[derive(Debug, Default)]
pub(crate) struct StreamMonitor {
    last: Option<Moment>,
}

impl StreamMonitor {
    /// An event has come: the worker is well, and this is its pace.
    pub(crate) fn record_event(&mut self, gw: &Gateway, run_guard: &RunGuard) {
        let now = gw.now();
        let mut board = gw.board.borrow_mut();
        board.succeeded(run_guard.ticket(), now);
        if let Some(last) = self.last.replace(now) {
            board.note_interval(run_guard.ticket(), now.since(last), now);
        }
    }
}
