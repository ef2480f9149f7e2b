//! Calls of keepers of snapshots.
//!
//! Keepers visit the gateways on their own schedule. A gateway sends them its cluster
//! state, and accepts their snapshots as long as the store has not answered since the
//! gateway's start.

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
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a daemon that has just started waits for a keeper's first visit before it asks
/// for the version of a stream, or records one. It exceeds the time between a keeper's visits
/// to a daemon that is down.
pub(crate) const FIRST_VISIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether the store has not answered this daemon yet, so that it accepts a snapshot.
fn needs_snapshot(gw: &Gateway) -> bool {
    let cluster_state = gw.cluster_state.borrow();
    let knows_nothing = cluster_state.configuration().is_none() && gw.store.has_never_answered();
    knows_nothing || cluster_state.is_from_snapshot()
}

/// Records the visit of the keeper that makes the call.
fn note_visit(gw: &Gateway, query: &str) {
    let pairs = form_urlencoded::parse(query.as_bytes());
    let mut address = None;
    let mut is_near = false;
    let mut next_in = Duration::ZERO;
    for (name, value) in pairs {
        match &*name {
            "keeper" => address = value.parse().ok(),
            "next_in_ms" => next_in = Duration::from_millis(value.parse().unwrap_or(0)),
            "data_centre" => is_near = *value == *gw.settings.data_centre.as_str(),
            _ => {}
        }
    }
    if let Some(at) = address {
        let mut keepers = gw.keepers.borrow_mut();
        keepers.record_visit(at, is_near, next_in, gw.now());
        gw.keeper_visited.notify_waiters();
    }
}

/// Waits until a keeper of this data centre has visited this daemon, which may just have
/// started, at most until `deadline`: a daemon knows the keepers by their visits only.
pub(crate) async fn first_visit(gw: &Gateway, deadline: Instant) {
    while gw.keepers.borrow().near(gw.now()).is_none() {
        let visited = gw.keeper_visited.notified();
        if timeout_at(deadline, visited).await.is_err() {
            return;
        }
    }
}

/// Answers a keeper with this gateway's state. `query` identifies the keeper.
pub(crate) fn state(gw: &Gateway, query: &str) -> Response<Body> {
    note_visit(gw, query);
    let peers: Vec<(EntryName, SocketAddr)> = {
        let members = gw.members.borrow();
        let peers = members.peers();
        peers
            .map(|(name, peer)| (name.clone(), peer.calls))
            .collect()
    };
    let cluster_state = gw.cluster_state.borrow();
    let state = GatewayState {
        entry: gw.me().clone(),
        data_centre: gw.settings.data_centre.clone(),
        newest: cluster_state.revisions(),
        from_store: cluster_state.configuration().is_some() && !cluster_state.is_from_snapshot(),
        reaches_store: !gw.store.is_lost(),
        wants_facts: needs_snapshot(gw),
        peers,
    };
    let keepers = gw.keepers.borrow().all(gw.now());
    // Keepers of earlier builds read the first part, or the first two.
    match postcard::to_allocvec(&(state, keepers, gw.list_age())) {
        Ok(bytes) => answers::bytes(bytes),
        Err(e) => answers::failure(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Accepts a snapshot, if the store has not answered yet.
///
/// All gateways may be killed while the store is unavailable. Without a snapshot every
/// caller would be refused until the store is available again.
pub(crate) fn accept_snapshot(gw: &Rc<Gateway>, body: &[u8]) -> Response<Body> {
    let offered = match SharedFacts::decode(body) {
        Ok(offered) => offered,
        Err(e) => {
            warn!(target: "facts", error:% = e; "snapshot not read");
            return answers::failure(StatusCode::BAD_REQUEST, "not read");
        }
    };
    if offered.valid_for.is_none() || !needs_snapshot(gw) {
        return answers::failure(StatusCode::CONFLICT, "the store has answered");
    }
    let workers = offered.workers.len();
    let believed_ms = offered.valid_for.map_or(0, millis);
    let revision = offered.configuration.as_ref().map_or(0, |(r, _)| *r);
    let changed = gw
        .cluster_state
        .borrow_mut()
        .merge(offered, "snapshot", gw.now());
    info!(target: "facts", revision, workers, believed_ms; "snapshot taken over");
    if changed {
        apply_workers(gw, "snapshot");
    }
    gw.report_due.notify_one();
    answers::status(StatusCode::OK)
}
