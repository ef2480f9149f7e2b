//! Asking peers for what they know and this daemon does not.

use super::interval::min_report_interval;
use crate::gateway::Gateway;
use crate::peer_calls;
use crate::workers::apply_workers;
use bluebellreel_members::{Divergence, Question};
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
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which daemons spread their questions after lists differed, for each of
/// them: the first to be asked may have to send all workers to each.
const SPREAD_PER_PEER: Duration = Duration::from_millis(5);

/// Asks a peer for what it knows and we do not; one question at a time.
///
/// All peers hear of news at the same moment, from the two that watch. Each
/// waits a random time, longer the more they are, and asks any that has the
/// news by then: else two daemons would answer hundreds at once.
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
            ask(&gw, &candidates[at], Question::Changes).await;
        }
        is_asking.set(false);
    });
}

fn peers_that_know_more(gw: &Gateway) -> Vec<(EntryName, SocketAddr)> {
    let cluster_state = gw.cluster_state.borrow();
    let members = gw.members.borrow();
    members
        .heard(gw.now())
        .filter(|(_, peer)| cluster_state.lacks(peer.revisions))
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

/// Asks peers, for ever, whose lists of workers differ and are complete to no earlier
/// revision than the one here. Where lists are equal nothing is asked, however the
/// revisions rise.
pub(crate) async fn compare_lists(gw: Rc<Gateway>) {
    let mut divergence = Divergence::default();
    loop {
        sleep(COMPARE_INTERVAL).await;
        let question = {
            let (own, now) = (gw.cluster_state.borrow().list(), gw.now());
            let members = gw.members.borrow();
            let lists = members.heard(now).map(|(_, peer)| peer.list);
            divergence.question(own, lists, now)
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
            info!(target: "facts", peer:% = candidates[at].0, question:? = question; "lists differ");
            ask(&gw, &candidates[at], question).await;
        }
    }
}

fn peers_to_ask(gw: &Gateway, question: Question) -> Vec<(EntryName, SocketAddr)> {
    let own = gw.cluster_state.borrow().list();
    let members = gw.members.borrow();
    members
        .heard(gw.now())
        .filter(|(_, peer)| match question {
            Question::Changes => own.may_learn_from(peer.list),
            Question::All => own.is_behind(peer.list),
        })
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

async fn ask(gw: &Rc<Gateway>, (peer, calls): &(EntryName, SocketAddr), question: Question) {
    let seen = gw.cluster_state.borrow().seen();
    let answer = match question {
        Question::Changes => peer_calls::cluster_state(gw, *calls, seen).await,
        Question::All => peer_calls::full_cluster_state(gw, *calls, seen).await,
    };
    match answer {
        Ok(shared) => learn(gw, shared, peer),
        Err(e) => warn!(target: "facts", peer:% = peer, error:% = e; "facts not brought"),
    }
}

fn learn(gw: &Gateway, shared: SharedFacts, peer: &EntryName) {
    let changed = gw
        .cluster_state
        .borrow_mut()
        .learn(shared, peer.as_str(), gw.now());
    info!(target: "facts", peer:% = peer, changed; "facts taken over");
    if changed {
        apply_workers(gw, peer.as_str());
    }
    gw.report_due.notify_one();
}
