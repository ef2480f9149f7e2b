//! Derives a worker's health and speed from the events of one stream.

use crate::gateway::Gateway;
use crate::ticket::RunGuard;
use bluebellreel_types::Moment;

/// Monitors the events of one run at one worker.
#[derive(Debug, Default)]
pub(crate) struct StreamMonitor {
    last: Option<Moment>,
}

impl StreamMonitor {
    /// Records the arrival of an event: the worker is healthy, and the time since the
    /// previous event is a sample of its speed.
    pub(crate) fn record_event(&mut self, gw: &Gateway, run_guard: &RunGuard) {
        let now = gw.now();
        let mut board = gw.board.borrow_mut();
        board.succeeded(run_guard.ticket(), now);
        if let Some(last) = self.last.replace(now) {
            board.note_interval(run_guard.ticket(), now.since(last), now);
        }
    }
}
