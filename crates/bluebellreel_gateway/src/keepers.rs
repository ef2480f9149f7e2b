//! What keepers of snapshots ask and bring.
//!
//! They come by themselves; a gateway knows none of them. It tells what it
//! knows, and while the store has not answered it since its start it takes what
//! they have.

use crate::answers;
use crate::facts::follow_workers;
use crate::gateway::Gateway;
use bluebellreel_net::Body;
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::EntryName;
use http::{Response, StatusCode};
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;

/// Whether the store has not told this daemon anything yet.
fn wants_facts(gw: &Gateway) -> bool {
    let facts = gw.facts.borrow();
    let knows_nothing = facts.configuration().is_none() && gw.store.finds_nobody();
    knows_nothing || facts.is_from_snapshot()
}

/// Tells a keeper what is known here.
pub(crate) fn state(gw: &Gateway) -> Response<Body> {
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
/// All gateways may be killed while the store is away. Without a snapshot each
/// caller is refused until it is back: 1.5 s of requests where an outage lasted
/// 6 s and the kill came in its fifth.
pub(crate) fn take_offer(gw: &Rc<Gateway>, body: &[u8]) -> Response<Body> {
    let offered = match postcard::from_bytes::<SharedFacts>(body) {
        Ok(offered) => offered,
        Err(e) => {
            warn!(target: "facts", error:% = e; "snapshot not read");
            return answers::failure(StatusCode::BAD_REQUEST, "not read");
        }
    };
    if offered.believed_for.is_none() || !wants_facts(gw) {
        return answers::failure(StatusCode::CONFLICT, "the store has answered");
    }
    let workers = offered.workers.len();
    let believed_ms = offered.believed_for.map_or(0, crate::online::millis);
    let revision = offered.configuration.as_ref().map_or(0, |(r, _)| *r);
    let changed = gw.facts.borrow_mut().learn(offered, "snapshot", gw.now());
    info!(target: "facts", revision, workers, believed_ms; "snapshot taken over");
    if changed {
        follow_workers(gw, "snapshot");
    }
    gw.report_due.notify_one();
    answers::status(StatusCode::OK)
}
