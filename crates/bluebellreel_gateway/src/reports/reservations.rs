//! Reserved tokens of teams, as reported to peers.

use crate::gateway::Gateway;
use bluebellreel_types::{EntryName, Incarnation};
use serde::{Deserialize, Serialize};

/// Reserved tokens of teams, as reported to peers.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Reservations {}

impl Reservations {
    pub(super) fn own(_gw: &Gateway, _is_brief: bool) -> Self {
        Self {}
    }

    /// Applies what a peer reports.
    #[expect(clippy::unused_self, reason = "the part has no fields yet")]
    pub(super) fn take(self, _gw: &Gateway, _peer: &EntryName, _run: Incarnation, _sequence: u64) {}
}
