//! This daemon's entry in the store, and the lease under which it stands.

use crate::gateway::Gateway;
use crate::jobs;
use crate::registration::own_key;
use bluebellreel_batch::Stamp;
use bluebellreel_kv::{Commit, KvError, Put, Txn};
use bluebellreel_members::MemberEntry;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time to live of a daemon's entry. Short, as a dead daemon's jobs wait for
/// it to end; a renewal costs a tenth of a read.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
/// Time between renewals: three within the time to live.
const RENEW_EVERY: Duration = Duration::from_millis(1100);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(300);

/// The store has renewed this daemon's entry by a call that was sent at `sent`.
fn renewed(gw: &Rc<Gateway>, sent: Stamp) {
    let mut tenure = gw.tenure.get();
    let begins = tenure.renewed(sent, gw.stamp());
    gw.tenure.set(tenure);
    if begins {
        tokio::task::spawn_local(jobs::confirm_all(gw.clone()));
    }
}

/// Keeps this daemon's entry in the store until it stops.
pub(crate) async fn keep_registered(gw: Rc<Gateway>) {
    while !gw.stopping.get() {
        let lease = match register(&gw).await {
            Ok(lease) => lease,
            Err(e) => {
                warn!(target: "members", error:% = e; "not registered");
                sleep(RETRY).await;
                continue;
            }
        };
        gw.lease.set(lease);
        info!(target: "members", lease; "registered");
        renew_until_it_ends(&gw, lease).await;
    }
}

async fn renew_until_it_ends(gw: &Rc<Gateway>, lease: i64) {
    while gw.lease.get() == lease && !gw.stopping.get() {
        sleep(RENEW_EVERY).await;
        let sent = gw.stamp();
        match gw.store.renew(lease).await {
            Ok(true) => renewed(gw, sent),
            Ok(false) => {
                gw.interrupt_tenure();
                warn!(target: "members", lease; "lease has ended");
                return;
            }
            Err(e) => warn!(target: "members", lease, error:% = e; "lease not renewed"),
        }
    }
}

async fn register(gw: &Rc<Gateway>) -> Result<i64, KvError> {
    let ttl = ENTRY_TTL.max(gw.settings.shortest_lease);
    let lease = gw.store.lease(ttl).await?;
    let entry = MemberEntry {
        run: gw.run,
        calls: gw.settings.advertised_peers(),
        reports: gw.settings.advertised_reports(),
    };
    let value = serde_json::to_vec(&entry).map_err(|e| KvError::Refused(e.to_string()))?;
    // Unguarded: the newest run of a name is the one that lives.
    let txn = Txn {
        puts: vec![Put {
            key: own_key(gw),
            value,
            lease: lease.id,
        }],
        ..Txn::default()
    };
    let sent = gw.stamp();
    match gw.store.commit(&txn, Instant::now() + ttl).await {
        Commit::Applied { .. } => {
            renewed(gw, sent);
            Ok(lease.id)
        }
        Commit::Beaten(_) => Err(KvError::NotDone("guard failed".into())),
        Commit::NotDone(reason) => Err(KvError::NotDone(reason)),
        Commit::Unknown(reason) => Err(KvError::Unknown(reason)),
    }
}

/// Gives the lease back, so that the others learn of the stop at once.
pub(crate) async fn unregister(gw: &Gateway) {
    let lease = gw.lease.take();
    if lease == 0 {
        return;
    }
    gw.interrupt_tenure();
    if let Err(e) = gw.store.release(lease).await {
        warn!(target: "members", lease, error:% = e; "lease not given back");
    }
}
