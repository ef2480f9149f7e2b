//! What the events of one stream show of its worker.

use crate::gateway::Gateway;
use crate::ticket::Place;
use bluebellreel_types::Moment;

/// Follows the events of one run at one worker.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    last: Option<Moment>,
}

impl Pulse {
    /// An event has come: the worker is well, and this is its pace.
    pub(crate) fn beat(&mut self, gw: &Gateway, place: &Place) {
        let now = gw.now();
        let mut board = gw.board.borrow_mut();
        board.succeeded(place.ticket(), now);
        if let Some(last) = self.last.replace(now) {
            board.note_interval(place.ticket(), now.since(last), now);
        }
    }
}
