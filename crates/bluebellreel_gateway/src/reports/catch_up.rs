//! Asking peers for what they know and this daemon does not.

use super::gap::gap;
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

/// Time between comparisons of lists; peers report theirs as often.
const COMPARE_EVERY: Duration = Duration::from_millis(250);
/// Time over which daemons spread their questions after lists differed, for each of
/// them: the first to be asked may have to send all workers to each.
const SPREAD_EACH: Duration = Duration::from_millis(5);

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
            ask(&gw, &knowing[at], SyncRequest::Changes).await;
        }
        asking.set(false);
    });
}

fn peers_that_know_more(gw: &Gateway) -> Vec<(EntryName, SocketAddr)> {
    let facts = gw.facts.borrow();
    let members = gw.members.borrow();
    members
        .alive_peers(gw.now())
        .filter(|(_, peer)| facts.lacks(peer.revisions))
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

/// Asks peers, for ever, whose lists of workers differ and are complete to no earlier
/// revision than the one here. Where lists are equal nothing is asked, however the
/// revisions rise.
pub(crate) async fn compare_lists(gw: Rc<Gateway>) {
    let mut divergence = Divergence::default();
    loop {
        sleep(COMPARE_EVERY).await;
        let question = {
            let (own, now) = (gw.facts.borrow().list(), gw.now());
            let members = gw.members.borrow();
            let lists = members.alive_peers(now).map(|(_, peer)| peer.list);
            divergence.next_request(own, lists, now)
        };
        let Some(question) = question else {
            continue;
        };
        let peers = u32::try_from(gw.members.borrow().peers().count()).unwrap_or(u32::MAX);
        let spread = SPREAD_EACH.saturating_mul(peers);
        let wait = spread.mul_f64(gw.rng.borrow_mut().random_range(0.0..1.0));
        sleep(wait).await;
        let ahead = peers_to_ask(&gw, question);
        if !ahead.is_empty() {
            let at = gw.rng.borrow_mut().random_range(0..ahead.len());
            info!(target: "facts", peer:% = ahead[at].0, question:? = question; "lists differ");
            ask(&gw, &ahead[at], question).await;
        }
    }
}

fn peers_to_ask(gw: &Gateway, question: SyncRequest) -> Vec<(EntryName, SocketAddr)> {
    let own = gw.facts.borrow().list();
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

async fn ask(gw: &Rc<Gateway>, (peer, calls): &(EntryName, SocketAddr), question: SyncRequest) {
    let seen = gw.facts.borrow().seen();
    let answer = match question {
        SyncRequest::Changes => peer_calls::facts(gw, *calls, seen).await,
        SyncRequest::All => peer_calls::all_facts(gw, *calls, seen).await,
    };
    match answer {
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
