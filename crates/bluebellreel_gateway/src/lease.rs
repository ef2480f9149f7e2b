//! This daemon's entry in the store, and the lease that holds it.

use crate::gateway::Gateway;
use crate::jobs;
use crate::registration::{has_seeds, own_key};
use bluebellreel_batch::Stamp;
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, KvError, Put, Txn};
use bluebellreel_members::{MemberEntry, Upkeep};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a daemon waits at the first start of an installation until it knows how many
/// others start, as its seeds report it: the time to live of its entry depends on it.
const FIRST_START_DELAY: Duration = Duration::from_secs(1);
/// Pause before a failed registration is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of attempts to replace an entry that changes between its read and its
/// write.
const MAX_TRIES: usize = 3;

/// How long this daemon waits after its start before it registers.
pub(crate) fn registration_delay(gw: &Gateway) -> Duration {
    if gw.settings.first_start && has_seeds(gw) {
        FIRST_START_DELAY
    } else {
        Duration::ZERO
    }
}

/// Records that the store has renewed this daemon's entry, by a call sent at `sent`. If a
/// new registration span begins, all jobs are confirmed.
fn record_renewal(gw: &Rc<Gateway>, sent: Stamp) {
    let mut registration_span = gw.registration_span.get();
    let begins = registration_span.renewed(sent, gw.stamp());
    gw.registration_span.set(registration_span);
    if begins {
        tokio::task::spawn_local(jobs::confirm_all(gw.clone()));
    }
}

/// Keeps this daemon's entry in the store until the daemon stops.
pub(crate) async fn keep_registered(gw: Rc<Gateway>) {
    let mut members_read = gw.members_read.subscribe();
    // The sender lives as long as the gateway.
    let _ = members_read.wait_for(|read| *read).await;
    sleep(registration_delay(&gw)).await;
    while !gw.stopping.get() {
        let upkeep = upkeep(&gw);
        let lease = match register(&gw, upkeep.ttl).await {
            Ok(lease) => lease,
            Err(e) => {
                warn!(target: "members", error:% = e; "not registered");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        gw.lease.set(lease);
        info!(target: "members", lease; "registered");
        renew_until_expired(&gw, lease, upkeep.renew_interval).await;
    }
}

async fn renew_until_expired(gw: &Rc<Gateway>, lease: i64, interval: Duration) {
    while gw.lease.get() == lease && !gw.stopping.get() {
        sleep(interval).await;
        let sent = gw.stamp();
        match gw.store.renew(lease).await {
            Ok(true) => record_renewal(gw, sent),
            Ok(false) => {
                gw.interrupt_registration_span();
                warn!(target: "members", lease; "lease has ended");
                return;
            }
            Err(e) => warn!(target: "members", lease, error:% = e; "lease not renewed"),
        }
    }
}

/// How often the registration is renewed, by the largest number of gateways that this
/// daemon or a peer knows.
fn upkeep(gw: &Gateway) -> Upkeep {
    let known = gw.members.borrow().peers().count() + 1;
    let reported = gw.allowances.borrow().most_gateways();
    Upkeep::of_fleet(known.max(reported))
}

async fn register(gw: &Rc<Gateway>, ttl: Duration) -> Result<i64, KvError> {
    let ttl = ttl.max(gw.settings.min_lease_ttl);
    let lease = gw.store.lease(ttl).await?;
    let entry = MemberEntry {
        run: gw.run,
        calls: gw.settings.advertised_peers(),
        reports: gw.settings.advertised_reports(),
    };
    let value = serde_json::to_vec(&entry).map_err(|e| KvError::Refused(e.to_string()))?;
    let put = Put {
        key: own_key(gw),
        value,
        lease: lease.id,
    };
    let mut guard = Compare::Absent(put.key.clone());
    for _ in 0..MAX_TRIES {
        let txn = Txn {
            compares: vec![guard],
            puts: vec![put.clone()],
            ..Txn::default()
        };
        let sent = gw.stamp();
        match gw.store.commit(&txn, Instant::now() + ttl).await {
            Commit::Applied { revision } => {
                gw.registered_revision.set(revision);
                let mut registration_span = gw.registration_span.get();
                registration_span.registered(lease.ttl);
                gw.registration_span.set(registration_span);
                record_renewal(gw, sent);
                return Ok(lease.id);
            }
            // The entry of an earlier incarnation, or this daemon's own, if the answer to
            // its write was lost.
            Commit::Beaten(found) => guard = guard_of(&put.key, &found),
            Commit::NotDone(reason) => return Err(KvError::NotDone(reason)),
            Commit::Unknown(reason) => return Err(KvError::Unknown(reason)),
        }
    }
    Err(KvError::NotDone(
        "entry changed during each attempt to replace it".into(),
    ))
}

/// A guard on the current entry: the newest incarnation of a name is the valid one.
/// Without the guard, a delayed write of an earlier incarnation would replace the entry,
/// which would then expire with that incarnation's lease.
fn guard_of(key: &Key, found: &[KeyValue]) -> Compare {
    match found.iter().find(|kv| kv.key == *key) {
        Some(kv) => Compare::Unchanged(key.clone(), kv.revision),
        None => Compare::Absent(key.clone()),
    }
}

/// Releases the lease, so that the other daemons notice the shutdown at once.
pub(crate) async fn unregister(gw: &Gateway) {
    let lease = gw.lease.take();
    if lease == 0 {
        return;
    }
    gw.interrupt_registration_span();
    if let Err(e) = gw.store.release(lease).await {
        warn!(target: "members", lease, error:% = e; "lease not released");
    }
}
