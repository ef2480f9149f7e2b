//! Outcomes of runs at workers, as reported to peers.

use crate::evidence;
use crate::gateway::Gateway;
use bluebellreel_dispatch::{InvalidOutcomes, RawOutcome, ReportId, ReportedOutcomes};
use bluebellreel_types::{EntryName, Incarnation};
use serde::{Deserialize, Serialize};

/// Outcomes of runs at workers, as reported to peers.
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Evidence(Vec<RawOutcome>);

impl Evidence {
    pub(super) fn own(gw: &Gateway, is_brief: bool) -> Self {
        let board = gw.board.borrow();
        let own = board.evidence.as_ref();
        Self(own.map_or_else(Vec::new, |e| e.report(is_brief, gw.now())))
    }

    /// Applies what a peer reports.
    pub(super) fn take(self, gw: &Gateway, peer: &EntryName, run: Incarnation, sequence: u64) {
        let id = ReportId { run, sequence };
        if let Err(invalid) = self.apply(gw, peer, id) {
            evidence::note_invalid(gw, peer, invalid);
        }
    }

    fn apply(self, gw: &Gateway, peer: &EntryName, id: ReportId) -> Result<(), InvalidOutcomes> {
        let outcomes = ReportedOutcomes::try_from(self.0)?;
        let mut board = gw.board.borrow_mut();
        board.take_outcomes(peer, id, outcomes, gw.now())
    }
}
