//! Checks that the list of workers is complete.
//!
//! A daemon that is cut off or stopped keeps its last list, and nothing tells it that others
//! have a newer one. What is true only of the newest list therefore counts only as long as the
//! list is known to be complete: since the store, or a peer that has it from the store, was
//! asked for newer changes. The age counts from the question, as an answer may wait in this
//! daemon's buffers while it is stopped.
//!
//! The daemons that watch the store learn this by their watches, the others ask one of them
//! every few seconds. A run that goes on after output of an earlier one needs a recent check,
//! before it is sent and before its output is used: workers restart under their ids, and with
//! another version. While the store answers nobody, no list is newer: it is enough then that
//! all keepers, and peers of a majority, say that they reach no store and know no more.

use crate::answers;
use crate::gateway::Gateway;
use crate::peer_calls;
use crate::reports::merge_cluster_state;
use crate::watching::{is_watcher, refresh_workers};
use bluebellreel_dispatch::Ticket;
use bluebellreel_net::Body;
use bluebellreel_types::{EntryName, Moment};
use futures::future::join_all;
use http::{Response, StatusCode};
use log::info;
use rand::RngExt;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Minimum interval at which a daemon that does not watch the store asks one that does.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum interval.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Interval per peer, which bounds the questions to the two daemons that watch the store.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(20);
/// Age up to which a check allows a run to go on. It is shorter than a worker takes to restart.
const MAX_AGE: Duration = Duration::from_millis(250);
/// Limit on a check by the store itself, after which a peer is asked to make it.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit on a check by a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of peers that are asked, beside all keepers, while the store answers nobody.
const PEERS_ASKED: usize = 2;
/// How much later than others a daemon may notice that the store is lost.
const OUTAGE_SLACK: Duration = Duration::from_millis(300);
/// Limit on the wait for a check, together with those before it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// State of checks on demand.
#[derive(Default)]
pub(crate) struct ListChecks {
    /// Held during a check, which concurrent requests share.
    checking: Mutex<()>,
    /// When others last said that they know no more, on the clock of [`Gateway::elapsed`].
    agreed_at: Cell<Option<Moment>>,
}

/// The answer to a peer that asks whether its list is complete.
#[derive(Serialize, Deserialize)]
pub(crate) struct Completeness {
    /// Revision up to which all changes are known.
    pub(crate) revision: i64,
    /// How long ago there was certainly no later change.
    pub(crate) age: Duration,
}

/// Checks that the list is complete enough for a run to go on that is sent now.
pub(crate) async fn check_for_send(gw: &Rc<Gateway>) -> bool {
    let since = gw.elapsed() - MAX_AGE;
    check_since(gw, since).await || others_agree(gw, since).await
}

/// Checks that a run which was sent at `sent`, to continue earlier output, went to the worker
/// that was meant: one that has not restarted by then.
pub(crate) async fn check_run(gw: &Rc<Gateway>, ticket: &Ticket, sent: Moment) -> bool {
    let since = sent - MAX_AGE;
    let is_newest = check_since(gw, since).await || others_agree(gw, since).await;
    is_newest && !gw.board.borrow().is_from_previous_incarnation(ticket)
}

/// Checks that the list was complete at `since` or later, and brings it up to date for that.
/// Returns whether it was.
pub(crate) async fn check_since(gw: &Rc<Gateway>, since: Moment) -> bool {
    let is_complete = || gw.list_complete_at.get() >= Some(since);
    if is_complete() {
        return true;
    }
    // A timeout leaves the last check to decide.
    let _ = timeout(CHECK_TIMEOUT, async {
        let _turn = gw.list_checks.checking.lock().await;
        if !is_complete() && !check_at_store(gw).await {
            check_at_peer(gw, Some(Duration::ZERO)).await;
        }
    })
    .await;
    is_complete()
}

/// Reads the changes from the store. Returns whether it answered.
async fn check_at_store(gw: &Rc<Gateway>) -> bool {
    if gw.store.is_lost() {
        return false;
    }
    let refreshed = timeout(STORE_TIMEOUT, refresh_workers(gw)).await;
    refreshed.unwrap_or(false)
}

/// Asks a daemon that watches the store, and fetches its changes. With `max_age`, it checks its
/// list anew unless the last check is more recent.
async fn check_at_peer(gw: &Rc<Gateway>, max_age: Option<Duration>) {
    let watchers: Vec<(EntryName, SocketAddr)> = {
        let members = gw.members.borrow();
        let watchers = members.watchers(gw.now());
        watchers
            .map(|(name, peer)| (name.clone(), peer.calls))
            .collect()
    };
    if watchers.is_empty() {
        return;
    }
    let at = gw.rng.borrow_mut().random_range(0..watchers.len());
    let (peer, calls) = &watchers[at];
    let asked = gw.elapsed();
    let answer = timeout(PEER_TIMEOUT, peer_calls::completeness(gw, *calls, max_age)).await;
    let Ok(Ok(theirs)) = answer else {
        return;
    };
    let seen = gw.cluster_state.borrow().seen();
    if seen.workers < theirs.revision {
        match peer_calls::cluster_state(gw, *calls, seen).await {
            Ok(shared) => merge_cluster_state(gw, shared, peer),
            Err(e) => {
                info!(target: "facts", peer:% = peer, error:% = e; "list not completed by a peer");
                return;
            }
        }
    }
    if gw.cluster_state.borrow().seen().workers >= theirs.revision {
        gw.note_list_complete(asked - theirs.age);
    }
}

/// Whether the store answers nobody, and all keepers and some peers said at `since` or later that
/// they know no more of the workers than this daemon.
async fn others_agree(gw: &Rc<Gateway>, since: Moment) -> bool {
    let has_agreed = || gw.list_checks.agreed_at.get() >= Some(since);
    let _turn = gw.list_checks.checking.lock().await;
    if has_agreed() {
        return true;
    }
    let now = gw.now();
    let keepers = gw.keepers.borrow().known(now);
    let asked = {
        let members = gw.members.borrow();
        let is_outage = gw.store.is_lost() && members.alive_with_store(now).next().is_none();
        let are_most = if keepers.is_empty() {
            members.all_peers_alive(now)
        } else {
            members.has_quorum(now)
        };
        if !is_outage || !are_most {
            return false;
        }
        let peers = members.alive_peers(now).map(|(_, peer)| peer.calls);
        let peers = peers.sample(&mut *gw.rng.borrow_mut(), PEERS_ASKED);
        keepers.into_iter().chain(peers).collect::<Vec<_>>()
    };
    let asked_at = gw.elapsed();
    let ask = async |to| {
        let answer = timeout(PEER_TIMEOUT, peer_calls::completeness(gw, to, None)).await;
        answer.ok()?.ok()
    };
    let answers = join_all(asked.into_iter().map(ask)).await;
    let own = gw.cluster_state.borrow().seen().workers;
    // Whoever has reached the store since it was lost here tells that there is no outage.
    let lost_for = gw.store.failing_for().unwrap_or_default();
    let agrees = |answer: &Option<Completeness>| {
        let answer = answer.as_ref();
        answer.is_some_and(|c| c.revision <= own && c.age + OUTAGE_SLACK >= lost_for)
    };
    if !answers.is_empty() && answers.iter().all(agrees) {
        gw.list_checks.agreed_at.set(Some(asked_at));
    }
    has_agreed()
}

/// Answers a peer that asks whether its list is complete, with a check of at most the age
/// `max_age` if given.
pub(crate) async fn answer_peer(gw: &Rc<Gateway>, max_age: Option<Duration>) -> Response<Body> {
    if let Some(max_age) = max_age {
        // A check that began since the peer asked serves all who waited for their turn.
        let since = gw.elapsed() - max_age;
        let _turn = gw.list_checks.checking.lock().await;
        if gw.list_complete_at.get() < Some(since) {
            check_at_store(gw).await;
        }
    }
    let Some(age) = gw.list_age() else {
        return answers::failure(StatusCode::SERVICE_UNAVAILABLE, "not checked");
    };
    let revision = gw.cluster_state.borrow().seen().workers;
    match postcard::to_allocvec(&Completeness { revision, age }) {
        Ok(bytes) => answers::bytes(bytes),
        Err(e) => answers::failure(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Keeps the list checked, forever.
pub(crate) async fn keep_checked(gw: Rc<Gateway>) {
    loop {
        let peers = gw.members.borrow().peers().count();
        let per_peer = INTERVAL_PER_PEER.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX));
        let interval = per_peer.clamp(MIN_INTERVAL, MAX_INTERVAL);
        let spread = gw.rng.borrow_mut().random_range(0.9..1.1);
        sleep(interval.mul_f64(spread)).await;
        if gw.list_age().is_some_and(|age| age < interval) {
            continue;
        }
        if !is_watcher(&gw) {
            check_at_peer(&gw, None).await;
        }
        if gw.list_age().is_some_and(|age| age >= interval * 2) {
            check_at_store(&gw).await;
        }
    }
}
