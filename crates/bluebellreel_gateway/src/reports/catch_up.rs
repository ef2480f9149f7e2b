//! Asking peers for what they know and this daemon does not.

use super::gap::gap;
use crate::gateway::Gateway;
use crate::peer_calls;
use crate::workers::apply_workers;
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_types::EntryName;
use log::{info, warn};
use rand::RngExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::sleep;

/// Asks a peer for what it knows and we do not; one question at a time.
///
/// All peers hear of news at the same moment, from the two that watch. Each
/// waits a random time, longer the more they are, and asks any that has the
/// news by then: else two daemons would answer hundreds at once.
pub(super) fn catch_up(gw: &Rc<Gateway>, asking: &Rc<Cell<bool>>) {
    if asking.replace(true) {
        return;
    }
    let (gw, asking) = (gw.clone(), asking.clone());
    tokio::task::spawn_local(async move {
        let peers = gw.members.borrow().peers().count();
        let wait = gap(peers).mul_f64(gw.rng.borrow_mut().random_range(0.0..1.0));
        sleep(wait).await;
        let knowing = peers_that_know_more(&gw);
        if !knowing.is_empty() {
            let at = gw.rng.borrow_mut().random_range(0..knowing.len());
            ask(&gw, &knowing[at]).await;
        }
        asking.set(false);
    });
}

fn peers_that_know_more(gw: &Gateway) -> Vec<(EntryName, SocketAddr)> {
    let facts = gw.facts.borrow();
    let members = gw.members.borrow();
    members
        .heard(gw.now())
        .filter(|(_, peer)| facts.lacks(peer.revisions))
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

async fn ask(gw: &Rc<Gateway>, (peer, calls): &(EntryName, SocketAddr)) {
    let seen = gw.facts.borrow().seen();
    match peer_calls::facts(gw, *calls, seen).await {
        Ok(shared) => learn(gw, shared, peer),
        Err(e) => warn!(target: "facts", peer:% = peer, error:% = e; "facts not brought"),
    }
}

fn learn(gw: &Gateway, shared: SharedFacts, peer: &EntryName) {
    let changed = gw.facts.borrow_mut().learn(shared, peer.as_str(), gw.now());
    info!(target: "facts", peer:% = peer, changed; "facts taken over");
    if changed {
        apply_workers(gw, peer.as_str());
    }
    gw.report_due.notify_one();
}
