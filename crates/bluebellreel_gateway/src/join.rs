//! Fetches the cluster state from peers when this daemon starts.

use crate::gateway::Gateway;
use crate::peer_calls;
use crate::registration;
use crate::reports::merge_cluster_state;
use bluebellreel_members::{Revisions, reads_store_at};
use bluebellreel_types::EntryName;
use log::info;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between requests to peers.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Fetches the cluster state from a registered peer, until one has sent it or this daemon
/// has to read the store itself. Then the tasks that wait for [`joined`] go on.
pub(crate) async fn join(gw: Rc<Gateway>) {
    let peers = gw.members.borrow().peers().count();
    let read_store_at = {
        let mut rng = gw.rng.borrow_mut();
        let draw = |n| rng.random_range(0..n);
        let has_seeds = registration::has_seeds(&gw);
        let is_first_start = gw.settings.first_start;
        reads_store_at(peers, has_seeds, is_first_start, gw.now(), draw)
    };
    while !has_state(&gw) && !read_store_at.is_past(gw.now()) {
        ask_a_peer(&gw).await;
        sleep(ASK_INTERVAL).await;
    }
    let from_peers = has_state(&gw);
    info!(target: "facts", peers, from_peers; "joined");
    gw.joined.send_replace(true);
}

/// Waits until [`join`] has ended.
pub(crate) async fn joined(gw: &Gateway) {
    let mut joined = gw.joined.subscribe();
    // The sender lives as long as the gateway.
    let _ = joined.wait_for(|joined| *joined).await;
}

/// Whether this daemon has a cluster state that the store has confirmed.
fn has_state(gw: &Gateway) -> bool {
    let cluster_state = gw.cluster_state.borrow();
    let is_complete = cluster_state.operator_seen > 0 && cluster_state.catalog.revision() > 0;
    is_complete && !cluster_state.is_from_snapshot()
}

async fn ask_a_peer(gw: &Gateway) {
    let Some((peer, calls)) = any_peer(gw) else {
        return;
    };
    // A peer that does not answer is probably starting as well.
    let answer = peer_calls::cluster_state(gw, calls, Revisions::default()).await;
    if let Ok(shared) = answer
        && shared.configuration.is_some()
        && shared.workers_seen > 0
        && shared.valid_for.is_none()
        && !has_state(gw)
    {
        merge_cluster_state(gw, shared, &peer);
    }
}

/// A registered peer, at random; preferably one of this data centre.
fn any_peer(gw: &Gateway) -> Option<(EntryName, SocketAddr)> {
    let members = gw.members.borrow();
    let is_local = |d| d == Some(&gw.settings.data_centre);
    let staying = || members.peers().filter(|(_, peer)| !peer.stopping);
    let mut peers: Vec<_> = staying()
        .filter(|(_, peer)| is_local(peer.data_centre.as_ref()))
        .collect();
    if peers.is_empty() {
        peers = staying().collect();
    }
    if peers.is_empty() {
        return None;
    }
    let at = gw.rng.borrow_mut().random_range(0..peers.len());
    let (name, peer) = peers[at];
    Some((name.clone(), peer.calls))
}
