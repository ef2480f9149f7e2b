//! Reserved tokens of teams, as reported to peers.

use crate::gateway::Gateway;
use crate::metrics::Outcome;
use bluebellreel_teams::ReservationReport;
use bluebellreel_types::{EntryName, Incarnation};
use serde::{Deserialize, Serialize};

/// Reserved tokens of teams, as reported to peers: two bytes if there are none, at most
/// about 1.9 KB.
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Reservations(ReservationReport);

impl Reservations {
    pub(super) fn own(gw: &Gateway, is_brief: bool) -> Self {
        Self(gw.reservations.borrow().report(is_brief, gw.elapsed()))
    }

    /// Applies what a peer reports.
    pub(super) fn take(self, gw: &Gateway, peer: &EntryName, run: Incarnation, sequence: u64) {
        let configuration = gw.configuration();
        let teams = configuration.as_ref().and_then(|c| c.teams.as_ref());
        let mut reservations = gw.reservations.borrow_mut();
        let heard = reservations.hear(peer, (run, sequence), &self.0, teams, gw.elapsed());
        let skipped = reservations.take_skipped();
        let count = |outcome, number| {
            let claims = &gw.metrics.token_claims;
            claims.get_or_create(&Outcome { outcome }).inc_by(number);
        };
        if heard.is_err() {
            count("report_invalid", 1);
        }
        if skipped > 0 {
            count("report_entry_invalid", skipped);
        }
    }
}
