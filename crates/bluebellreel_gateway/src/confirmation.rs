//! Confirms that the configuration is the newest one.
//!
//! Where revoked keys must open nothing (see `bluebellreel_teams`), it is kept confirmed:
//! the daemons that watch the store check the configuration's revision there about once a
//! second, by a transaction without writes. The others ask one of them. A daemon that
//! gets no recent confirmation from them asks the store itself.
//!
//! Everywhere, a daemon confirms it on demand before it rejects a request for good, in the
//! same order: a change that the daemon has not received yet may allow the request.

use crate::answers;
use crate::gateway::Gateway;
use crate::peer_calls;
use crate::reports::merge_cluster_state;
use crate::watching::is_watcher;
use bluebellreel_kv::{Compare, Key, KvError};
use bluebellreel_net::Body;
use bluebellreel_platform::keys;
use bluebellreel_platform::store::TxnOutcome;
use bluebellreel_types::{EntryName, Moment};
use http::{Response, StatusCode};
use log::{info, warn};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Interval between checks whether a confirmation is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after an attempt without success. Each call to the store has its price, and most
/// of all while it is overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Interval of the calls to peers, in intervals of those to the store: what a peer
/// confirms is up to one such interval old.
const INTERVALS_BETWEEN_CALLS: f64 = 1.5;
/// Age, in intervals of the calls to peers, from which a daemon that gets no confirmation
/// from them asks the store.
const INTERVALS_UNTIL_STORE: f64 = 1.6;
/// Pause between such calls, which all daemons make at the same time if the store is down.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1500);
/// Limit on the time that a request waits for a confirmation.
const ON_DEMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// How old a confirmation may be that a peer gives on demand. Requests at all daemons
/// within this time share one call to the store.
const MAX_SHARED_AGE: Duration = Duration::from_secs(1);

/// The answer to a peer that asks for a confirmation.
#[derive(Serialize, Deserialize)]
pub(crate) struct Confirmed {
    /// Revision of the newest configuration.
    revision: i64,
    /// How long ago that was certainly the newest one.
    age: Duration,
}

/// State of confirmations on demand.
#[derive(Default)]
pub(crate) struct OnDemand {
    /// Held during a call, which concurrent requests share.
    calling: Mutex<()>,
    /// Until when no call is made, as the last one has failed.
    retry_at: Cell<Moment>,
}

/// The configuration may not be the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unconfirmed;

/// Confirms that the held configuration allows rejecting requests for good. A newer one
/// that is found is put into force first.
///
/// # Errors
///
/// Returns an error if neither the store nor a peer confirms it in time.
pub(crate) async fn confirm_for_rejection(gw: &Rc<Gateway>) -> Result<(), Unconfirmed> {
    if gw.allows_rejection() {
        return Ok(());
    }
    let confirmed = timeout(ON_DEMAND_TIMEOUT, async {
        let _turn = gw.confirmation_on_demand.calling.lock().await;
        let retry_at = &gw.confirmation_on_demand.retry_at;
        if !gw.allows_rejection() && retry_at.get().is_past(gw.elapsed()) {
            confirm(gw).await;
            if !gw.allows_rejection() {
                retry_at.set(gw.elapsed() + RETRY_PAUSE);
            }
        }
    });
    // A timeout leaves the age of the last confirmation to decide.
    let _ = confirmed.await;
    if gw.allows_rejection() {
        return Ok(());
    }
    let confirmed_ms = gw.confirmation_age().map(|age| age.as_millis());
    info!(target: "facts", confirmed_ms:? = confirmed_ms; "configuration not confirmed");
    Err(Unconfirmed)
}

/// Makes one attempt to confirm the held configuration.
async fn confirm(gw: &Rc<Gateway>) {
    if !is_watcher(gw) || gw.store.is_lost() {
        ask_peer(gw, Some(MAX_SHARED_AGE)).await;
    }
    // Renewals of the registration show when a lost store answers again.
    if !gw.allows_rejection() && !gw.store.is_lost() {
        check_store(gw).await;
    }
}

/// Keeps the configuration confirmed, forever.
pub(crate) async fn keep_confirmed(gw: Rc<Gateway>) {
    let Some(terms) = gw.revocation else {
        return;
    };
    let mut was_valid = true;
    let mut next_attempt = Moment::default();
    let mut next_store_call = Moment::default();
    loop {
        sleep(POLL_INTERVAL).await;
        let is_valid = gw.accepts_keys();
        if is_valid != was_valid && gw.configuration().is_some() {
            let confirmed_ms = gw.confirmation_age().map(|age| age.as_millis());
            if is_valid {
                info!(target: "teams", confirmed_ms:? = confirmed_ms; "keys confirmed");
            } else {
                warn!(target: "teams", confirmed_ms:? = confirmed_ms; "keys no longer confirmed");
            }
            was_valid = is_valid;
        }
        let peers = gw.members.borrow().alive_peers(gw.now()).count();
        // While the store is lost, every daemon may be elected.
        let is_watcher = is_watcher(&gw) && !gw.store.is_lost();
        let mut interval = terms.interval(peers);
        if !is_watcher {
            interval = interval.mul_f64(INTERVALS_BETWEEN_CALLS);
        }
        let now = gw.elapsed();
        if !is_older_than(&gw, interval) || !next_attempt.is_past(now) {
            continue;
        }
        if gw.configuration().is_none() {
            continue;
        }
        if is_watcher {
            check_store(&gw).await;
        } else {
            ask_peer(&gw, None).await;
            let is_late = is_older_than(&gw, interval.mul_f64(INTERVALS_UNTIL_STORE));
            if is_late && next_store_call.is_past(now) {
                let spread = gw.rng.borrow_mut().random_range(0.5..1.5);
                next_store_call = now + STORE_RETRY_PAUSE.mul_f64(spread);
                check_store(&gw).await;
            }
        }
        if is_older_than(&gw, interval) {
            next_attempt = gw.elapsed() + RETRY_PAUSE;
        }
    }
}

fn is_older_than(gw: &Gateway, limit: Duration) -> bool {
    gw.confirmation_age().is_none_or(|age| age >= limit)
}

/// Checks in the store that the held configuration is the newest one, and logs a failure.
async fn check_store(gw: &Rc<Gateway>) {
    if let Err(e) = compare_with_store(gw).await {
        info!(target: "teams", error:% = e; "configuration not confirmed by the store");
    }
}

/// Checks in the store that the held configuration is the newest one, and takes over a
/// newer one.
async fn compare_with_store(gw: &Rc<Gateway>) -> Result<(), KvError> {
    let asked = gw.elapsed();
    let held = gw.cluster_state.borrow().held_revision();
    let key = Key::from(keys::CONFIGURATION);
    let guard = Compare::Unchanged(key.clone(), held);
    match gw.store.check(vec![guard], gw.store.is_lost()).await? {
        TxnOutcome::Done(_) => gw.note_confirmation(held, asked),
        TxnOutcome::Conflict(found) => {
            if let Some(kv) = found.iter().find(|kv| kv.key == key) {
                gw.take_configuration(kv);
                gw.note_confirmation(kv.revision, asked);
            }
        }
        TxnOutcome::NoLease => {}
    }
    Ok(())
}

/// Asks one of the daemons that watch the store, and fetches a newer configuration from
/// it. With `max_age`, it confirms the configuration anew unless its last confirmation is
/// more recent.
async fn ask_peer(gw: &Gateway, max_age: Option<Duration>) {
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
    let confirmed = match peer_calls::confirmation(gw, *calls, max_age).await {
        Ok(confirmed) => confirmed,
        Err(e) => {
            info!(target: "teams", peer:% = peer, error:% = e; "configuration not confirmed by a peer");
            return;
        }
    };
    gw.note_confirmation(confirmed.revision, asked - confirmed.age);
    let seen = gw.cluster_state.borrow().seen();
    if gw.cluster_state.borrow().held_revision() >= confirmed.revision {
        return;
    }
    match peer_calls::cluster_state(gw, *calls, seen).await {
        Ok(shared) => merge_cluster_state(gw, shared, peer),
        Err(e) => warn!(target: "facts", peer:% = peer, error:% = e; "facts not brought"),
    }
}

/// Answers a peer that asks for a confirmation, of at most the age `max_age` if given.
pub(crate) async fn answer_peer(gw: &Rc<Gateway>, max_age: Option<Duration>) -> Response<Body> {
    if let Some(max_age) = max_age {
        let _turn = gw.confirmation_on_demand.calling.lock().await;
        if is_older_than(gw, max_age) {
            check_store(gw).await;
        }
    }
    let Some((revision, age)) = gw.newest_confirmed() else {
        return answers::failure(StatusCode::SERVICE_UNAVAILABLE, "not confirmed");
    };
    match postcard::to_allocvec(&Confirmed { revision, age }) {
        Ok(bytes) => answers::bytes(bytes),
        Err(e) => answers::failure(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}
