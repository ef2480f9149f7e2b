//! Persists quarantined requests in the store.
//!
//! If all gateways are killed at the same moment, none is left to notify those that start
//! afterwards. Each entry has a lease as long as the longest quarantine, so expired
//! entries need no clean-up.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Fingerprint, WorkerTag};
use bluebellreel_kv::{Commit, Key, KeyValue, KvError, Put, Txn};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of all entries.
const ENTRIES_PREFIX: &str = "held/";
/// Time to live of an entry: the longest lease that the store grants, which is also the
/// longest quarantine.
const ENTRY_TTL: Duration = Duration::from_mins(10);
/// How long a failed write is retried. After that another gateway has seen the next
/// crash, or the request has not been sent again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The value of an entry: the incarnations of workers that crashed.
#[derive(Serialize, Deserialize)]
struct Entry {
    workers: Vec<WorkerTag>,
}

fn key_of(fingerprint: Fingerprint) -> Key {
    Key::from(format!("{ENTRIES_PREFIX}{fingerprint}"))
}

/// Stores a quarantined request in the background, with retries.
pub(crate) fn store(gw: &Rc<Gateway>, fingerprint: Fingerprint) {
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        let until = Instant::now() + WRITE_TIMEOUT;
        while let Err(e) = write(&gw, fingerprint).await {
            warn!(target: "online", fingerprint:% = fingerprint, error:% = e; "quarantined request not stored");
            if Instant::now() > until {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}

async fn write(gw: &Gateway, fingerprint: Fingerprint) -> Result<(), KvError> {
    let workers = gw.suspects.borrow().crashed_workers(fingerprint);
    let value = serde_json::to_vec(&Entry { workers });
    let value = value.map_err(|e| KvError::Refused(e.to_string()))?;
    let lease = gw.store.lease(ENTRY_TTL).await?.id;
    let key = key_of(fingerprint);
    let puts = vec![Put { key, value, lease }];
    let txn = Txn {
        puts,
        ..Txn::default()
    };
    check_committed(gw.store.commit(&txn, Instant::now() + RETRY_PAUSE).await)
}

/// Removes the entry of a request that workers can run again, in the background. If the
/// entry remains, the request is quarantined again when all gateways restart.
pub(crate) fn remove(gw: &Rc<Gateway>, fingerprint: Fingerprint) {
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        let txn = Txn {
            deletes: vec![key_of(fingerprint)],
            ..Txn::default()
        };
        let until = Instant::now() + WRITE_TIMEOUT;
        if let Err(e) = check_committed(gw.store.commit(&txn, until).await) {
            warn!(target: "online", fingerprint:% = fingerprint, error:% = e; "quarantined request not removed");
        }
    });
}

fn check_committed(commit: Commit) -> Result<(), KvError> {
    match commit {
        Commit::Applied { .. } => Ok(()),
        Commit::Beaten(_) => Err(KvError::NotDone("guard failed".into())),
        Commit::NotDone(reason) => Err(KvError::NotDone(reason)),
        Commit::Unknown(reason) => Err(KvError::Unknown(reason)),
    }
}

/// Loads the quarantined requests from the store, once at the start.
pub(crate) async fn load(gw: Rc<Gateway>) {
    let all = loop {
        match gw.store.list_stale(&Key::from(ENTRIES_PREFIX)).await {
            Ok((all, _)) => break all,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    };
    for kv in &all {
        let Some((fingerprint, entry)) = read(kv) else {
            warn!(target: "online", key:% = kv.key; "quarantined request not read");
            continue;
        };
        let now = gw.now();
        let mut suspects = gw.suspects.borrow_mut();
        suspects.recall(fingerprint, &entry.workers, now);
        info!(target: "online", fingerprint:% = fingerprint, crashes = entry.workers.len(); "quarantined request loaded");
    }
}

fn read(kv: &KeyValue) -> Option<(Fingerprint, Entry)> {
    let name = kv.key.as_str().strip_prefix(ENTRIES_PREFIX)?;
    let fingerprint = Fingerprint::try_from(name).ok()?;
    Some((fingerprint, serde_json::from_slice(&kv.value).ok()?))
}
