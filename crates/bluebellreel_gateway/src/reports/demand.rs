//! Waiting batch items, as reported to peers.

use crate::gateway::Gateway;
use crate::jobs::own_demand;
use bluebellreel_types::{EntryName, Incarnation};
use serde::{Deserialize, Serialize};

/// Waiting batch items, as reported to peers.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Demand {
    /// Number of items that can be in time, and of the others; none if no items wait.
    waiting: Option<(u32, u32)>,
}

impl Demand {
    pub(super) fn own(gw: &Gateway, _is_brief: bool) -> Self {
        let demand = own_demand(gw);
        gw.board.borrow_mut().demands.set_own(demand);
        let waiting = (demand.in_time(), demand.late());
        Self {
            waiting: (waiting != (0, 0)).then_some(waiting),
        }
    }

    /// Applies what a peer reports. A peer that reports impossible numbers counts as one
    /// whose build does not report any.
    pub(super) fn take(self, gw: &Gateway, peer: &EntryName, _run: Incarnation, sequence: u64) {
        let demand = match self.waiting.map(bluebellreel_dispatch::Demand::try_from) {
            Some(Ok(demand)) => Some(demand),
            Some(Err(_)) => {
                gw.metrics.reports_invalid.inc();
                None
            }
            None => None,
        };
        let mut board = gw.board.borrow_mut();
        board.demands.hear(peer, sequence, demand);
    }
}
