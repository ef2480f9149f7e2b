//! What keepers of snapshots ask and bring.
//!
//! They come by themselves. A gateway gives them what it knows, and while the
//! store has not answered it since its start it takes what they have.

use crate::answers;
use crate::gateway::Gateway;
use crate::millis::millis;
use crate::workers::apply_workers;
use bluebellreel_net::Body;
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::EntryName;
use http::{Response, StatusCode};
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;

/// Whether the store has not answered this daemon yet.
fn wants_facts(gw: &Gateway) -> bool {
    let facts = gw.facts.borrow();
    let knows_nothing = facts.configuration().is_none() && gw.store.finds_nobody();
    knows_nothing || facts.is_from_snapshot()
}

/// Notes the visit of the keeper that asks.
fn note_visit(gw: &Gateway, query: &str) {
    let pairs = form_urlencoded::parse(query.as_bytes());
    let mut address = None;
    let mut is_near = false;
    for (name, value) in pairs {
        match &*name {
            "keeper" => address = value.parse().ok(),
            "data_centre" => is_near = *value == *gw.settings.data_centre.as_str(),
            _ => {}
        }
    }
    if let Some(at) = address {
        let mut keepers = gw.keepers.borrow_mut();
        keepers.visited(at, is_near, gw.now());
    }
}

/// Answers a keeper with what is known here. `query` says who asks.
pub(crate) fn state(gw: &Gateway, query: &str) -> Response<Body> {
    note_visit(gw, query);
    let peers: Vec<(EntryName, SocketAddr)> = {
        let members = gw.members.borrow();
        let peers = members.peers();
        peers
            .map(|(name, peer)| (name.clone(), peer.calls))
            .collect()
    };
    let facts = gw.facts.borrow();
    let state = GatewayState {
        entry: gw.me().clone(),
        data_centre: gw.settings.data_centre.clone(),
        newest: facts.revisions(),
        from_store: facts.configuration().is_some() && !facts.is_from_snapshot(),
        reaches_store: !gw.store.is_lost(),
        wants_facts: wants_facts(gw),
        peers,
    };
    match postcard::to_allocvec(&state) {
        Ok(bytes) => answers::bytes(bytes),
        Err(e) => answers::failure(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Takes a snapshot, if the store does not answer.
///
/// Guard: all gateways may be killed while the store is away. Without a snapshot
/// each caller is refused until it is back.
pub(crate) fn take_offer(gw: &Rc<Gateway>, body: &[u8]) -> Response<Body> {
    let offered = match postcard::from_bytes::<SharedFacts>(body) {
        Ok(offered) => offered,
        Err(e) => {
            warn!(target: "facts", error:% = e; "snapshot not read");
            return answers::failure(StatusCode::BAD_REQUEST, "not read");
        }
    };
    if offered.valid_for.is_none() || !wants_facts(gw) {
        return answers::failure(StatusCode::CONFLICT, "the store has answered");
    }
    let workers = offered.workers.len();
    let believed_ms = offered.valid_for.map_or(0, millis);
    let revision = offered.configuration.as_ref().map_or(0, |(r, _)| *r);
    let changed = gw.facts.borrow_mut().learn(offered, "snapshot", gw.now());
    info!(target: "facts", revision, workers, believed_ms; "snapshot taken over");
    if changed {
        apply_workers(gw, "snapshot");
    }
    gw.report_due.notify_one();
    answers::status(StatusCode::OK)
}
