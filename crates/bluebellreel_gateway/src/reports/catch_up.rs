//! Fetches newer cluster state from peers.

use super::interval::min_report_interval;
use crate::gateway::Gateway;
use crate::peer_calls;
use crate::workers::apply_workers;
use bluebellreel_members::{Divergence, SyncRequest};
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_types::EntryName;
use log::{info, warn};
use rand::RngExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between comparisons of lists of workers; peers report theirs as often.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which daemons spread their requests after lists differed, per peer: a single
/// peer may have to send all workers to each of them.
const SPREAD_PER_PEER: Duration = Duration::from_millis(5);

/// Fetches newer state from a peer, one request at a time.
///
/// All daemons are notified of a change at the same moment, by the two that watch the
/// store. Each waits a random time, longer the more peers there are, and then fetches the
/// change from any peer that has it. Otherwise two daemons would have to answer hundreds at once.
pub(super) fn catch_up(gw: &Rc<Gateway>, is_asking: &Rc<Cell<bool>>) {
    if is_asking.replace(true) {
        return;
    }
    let (gw, is_asking) = (gw.clone(), is_asking.clone());
    tokio::task::spawn_local(async move {
        let peers = gw.members.borrow().peers().count();
        let wait = min_report_interval(peers).mul_f64(gw.rng.borrow_mut().random_range(0.0..1.0));
        sleep(wait).await;
        let candidates = peers_that_know_more(&gw);
        if !candidates.is_empty() {
            let at = gw.rng.borrow_mut().random_range(0..candidates.len());
            ask(&gw, &candidates[at], SyncRequest::Changes).await;
        }
        is_asking.set(false);
    });
}

fn peers_that_know_more(gw: &Gateway) -> Vec<(EntryName, SocketAddr)> {
    let cluster_state = gw.cluster_state.borrow();
    let members = gw.members.borrow();
    members
        .alive_peers(gw.now())
        .filter(|(_, peer)| cluster_state.lacks(peer.revisions))
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

/// Compares this daemon's list of workers with those of its peers, forever, and fetches
/// state from a peer whose list differs and is complete up to at least the same revision.
/// Nothing is fetched while the lists are equal, even if peers know later revisions.
pub(crate) async fn compare_lists(gw: Rc<Gateway>) {
    let mut divergence = Divergence::default();
    loop {
        sleep(COMPARE_INTERVAL).await;
        let question = {
            let (own, now) = (gw.cluster_state.borrow().list(), gw.now());
            let members = gw.members.borrow();
            let lists = members.alive_peers(now).map(|(_, peer)| peer.list);
            divergence.next_request(own, lists, now)
        };
        let Some(question) = question else {
            continue;
        };
        let peers = u32::try_from(gw.members.borrow().peers().count()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_PEER.saturating_mul(peers);
        let wait = spread.mul_f64(gw.rng.borrow_mut().random_range(0.0..1.0));
        sleep(wait).await;
        let candidates = peers_to_ask(&gw, question);
        if !candidates.is_empty() {
            let at = gw.rng.borrow_mut().random_range(0..candidates.len());
            info!(target: "facts", peer:% = candidates[at].0, question:? = question; "worker lists differ");
            if !ask(&gw, &candidates[at], question).await {
                divergence.request_failed(gw.now());
            }
        }
    }
}

fn peers_to_ask(gw: &Gateway, question: SyncRequest) -> Vec<(EntryName, SocketAddr)> {
    let own = gw.cluster_state.borrow().list();
    let members = gw.members.borrow();
    members
        .alive_peers(gw.now())
        .filter(|(_, peer)| match question {
            SyncRequest::Changes => own.may_learn_from(peer.list),
            SyncRequest::All => own.is_behind(peer.list),
        })
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

/// Fetches state from a peer. Returns whether the peer has sent it.
async fn ask(
    gw: &Rc<Gateway>,
    (peer, calls): &(EntryName, SocketAddr),
    question: SyncRequest,
) -> bool {
    let seen = gw.cluster_state.borrow().seen();
    let answer = match question {
        SyncRequest::Changes => peer_calls::cluster_state(gw, *calls, seen).await,
        SyncRequest::All => peer_calls::full_cluster_state(gw, *calls, seen).await,
    };
    match answer {
        Ok(shared) => {
            merge_cluster_state(gw, shared, peer);
            true
        }
        Err(e) => {
            warn!(target: "facts", peer:% = peer, error:% = e; "facts not brought");
            false
        }
    }
}

pub(crate) fn merge_cluster_state(gw: &Gateway, shared: SharedFacts, peer: &EntryName) {
    let changed = gw
        .cluster_state
        .borrow_mut()
        .merge(shared, peer.as_str(), gw.now());
    info!(target: "facts", peer:% = peer, changed; "facts taken over");
    if changed {
        apply_workers(gw, peer.as_str());
    }
    gw.report_due.notify_one();
}
