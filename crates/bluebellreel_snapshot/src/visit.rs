//! What a keeper does at a gateway.

use crate::Snapshot;
use bluebellreel_members::Revisions;
use bluebellreel_types::{DataCentre, EntryName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Its name.
    pub entry: EntryName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Revisions of the newest facts that it knows.
    pub newest: Revisions,
    /// Whether it has these facts from the store, or from a peer that has.
    pub from_store: bool,
    /// Whether the store answers it, as far as it knows.
    pub reaches_store: bool,
    /// Whether it wants facts: the store has not answered since its start.
    pub wants_facts: bool,
    /// Its peers, with where they take calls.
    pub peers: Vec<(EntryName, SocketAddr)>,
}

/// What a visit calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VisitOutcome {
    /// The gateway knows more: the keeper asks for it.
    Ask,
    /// It wants what the keeper has.
    Offer,
    /// It knows just this from the store: the snapshot is current.
    Confirmed,
    /// Nothing.
    Nothing,
}

/// Decides what a visit calls for.
///
/// Only facts of a gateway that has them from the store are taken: one that
/// lives by a snapshot would make each keeper's age look less than it is. And
/// only one that the store serves right now confirms: in an outage nobody knows
/// what is current.
#[must_use]
pub fn after_visit(snapshot: &Snapshot, gateway: &GatewayState) -> VisitOutcome {
    let ours = snapshot.newest();
    let theirs = gateway.newest;
    let knows_more = theirs.configuration > ours.configuration || theirs.workers > ours.workers;
    let knows_less = theirs.configuration < ours.configuration || theirs.workers < ours.workers;
    if gateway.from_store && knows_more {
        VisitOutcome::Ask
    } else if gateway.wants_facts && knows_less {
        VisitOutcome::Offer
    } else if gateway.from_store && gateway.reaches_store && !knows_less {
        VisitOutcome::Confirmed
    } else {
        VisitOutcome::Nothing
    }
}
