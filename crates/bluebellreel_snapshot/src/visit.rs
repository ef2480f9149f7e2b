//! Decides what a keeper does when it visits a gateway.

use crate::Snapshot;
use bluebellreel_members::Revisions;
use bluebellreel_types::{DataCentre, EntryName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a gateway reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Its name.
    pub entry: EntryName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Revisions of the newest facts that it knows.
    pub newest: Revisions,
    /// Whether it has these facts from the store, directly or through a peer.
    pub from_store: bool,
    /// Whether the store answers it, as far as it knows.
    pub reaches_store: bool,
    /// Whether it needs facts because the store has not answered it since its start.
    pub wants_facts: bool,
    /// Names and call addresses of its peers.
    pub peers: Vec<(EntryName, SocketAddr)>,
}

/// What a keeper does after reading a gateway's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VisitOutcome {
    /// Fetch facts: the gateway has newer ones.
    FetchFacts,
    /// Offer the snapshot: the gateway needs newer facts.
    OfferSnapshot,
    /// Confirm the snapshot: a gateway that reaches the store has no newer facts.
    Confirmed,
    /// Nothing.
    Nothing,
}

/// Decides what to do after reading a gateway's state.
///
/// Facts are fetched only from a gateway that has them from the store. A gateway that
/// runs on a snapshot would make the snapshots of other keepers look younger than they
/// are. Only a gateway that the store currently serves confirms a snapshot, as in an
/// outage no gateway knows what is current.
#[must_use]
pub fn visit_outcome(snapshot: &Snapshot, gateway: &GatewayState) -> VisitOutcome {
    let ours = snapshot.newest();
    let theirs = gateway.newest;
    let knows_more = theirs.configuration > ours.configuration || theirs.workers > ours.workers;
    let knows_less = theirs.configuration < ours.configuration || theirs.workers < ours.workers;
    if gateway.from_store && knows_more {
        VisitOutcome::FetchFacts
    } else if gateway.wants_facts && knows_less {
        VisitOutcome::OfferSnapshot
    } else if gateway.from_store && gateway.reaches_store && !knows_less {
        VisitOutcome::Confirmed
    } else {
        VisitOutcome::Nothing
    }
}
