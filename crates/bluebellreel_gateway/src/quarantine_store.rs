//! Persists quarantined requests, and parts of prompts, in the store.
//!
//! If all gateways are killed at the same moment, none is left to notify those that start
//! afterwards. Each entry has a lease as long as the longest quarantine, so expired
//! entries need no clean-up.

use crate::gateway::Gateway;
use crate::quarantine_gate::Subject;
use crate::store::MAX_SMALL_ENTRY_BYTES;
use bluebellreel_dispatch::{Fingerprint, VersionTag, WorkerTag};
use bluebellreel_kv::{Commit, Key, KeyValue, KvError, Put, Txn};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of all entries.
const ENTRIES_PREFIX: &str = "held";
/// Prefixes of the entries of requests and of parts of prompts.
const REQUESTS_PREFIX: &str = "held/";
const PARTS_PREFIX: &str = "held-part/";
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
    /// Their versions, in the same order; only for a part.
    #[serde(default)]
    versions: Vec<VersionTag>,
}

impl Entry {
    fn of(gw: &Gateway, subject: Subject) -> Self {
        let (workers, versions) = match subject {
            Subject::Request(fingerprint) => {
                let workers = gw.suspects.borrow().crashed_workers(fingerprint);
                (workers, Vec::new())
            }
            Subject::Part(part) => {
                let crashes = gw.part_suspects.borrow().open_crashes(part);
                crashes.into_iter().unzip()
            }
        };
        Self { workers, versions }
    }
}

fn key_of(subject: Subject) -> Key {
    match subject {
        Subject::Request(fingerprint) => Key::from(format!("{REQUESTS_PREFIX}{fingerprint}")),
        Subject::Part(part) => Key::from(format!("{PARTS_PREFIX}{part}")),
    }
}

/// Stores a quarantined request in the background, with retries.
pub(crate) fn store(gw: &Rc<Gateway>, subject: Subject) {
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        let until = Instant::now() + WRITE_TIMEOUT;
        while let Err(e) = write(&gw, subject).await {
            warn!(target: "online", fingerprint:% = subject, error:% = e; "quarantined request not stored");
            if Instant::now() > until {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}

async fn write(gw: &Gateway, subject: Subject) -> Result<(), KvError> {
    let value = serde_json::to_vec(&Entry::of(gw, subject));
    let value = value.map_err(|e| KvError::Refused(e.to_string()))?;
    let lease = gw.store.lease(ENTRY_TTL).await?.id;
    let key = key_of(subject);
    let puts = vec![Put { key, value, lease }];
    let txn = Txn {
        puts,
        ..Txn::default()
    };
    check_committed(gw.store.commit(&txn, Instant::now() + RETRY_PAUSE).await)
}

/// Removes the entry of a request that workers can run again, in the background. If the
/// entry remains, the request is quarantined again when all gateways restart.
pub(crate) fn remove(gw: &Rc<Gateway>, subject: Subject) {
    let gw = gw.clone();
    tokio::task::spawn_local(async move {
        let txn = Txn {
            deletes: vec![key_of(subject)],
            ..Txn::default()
        };
        let until = Instant::now() + WRITE_TIMEOUT;
        if let Err(e) = check_committed(gw.store.commit(&txn, until).await) {
            warn!(target: "online", fingerprint:% = subject, error:% = e; "quarantined request not removed");
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
        let prefix = Key::from(ENTRIES_PREFIX);
        match gw.store.list_stale(&prefix, MAX_SMALL_ENTRY_BYTES).await {
            Ok((all, _)) => break all,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    };
    for kv in &all {
        let Some((subject, entry)) = read(kv) else {
            warn!(target: "online", key:% = kv.key; "quarantined request not read");
            continue;
        };
        let now = gw.now();
        let crashes = entry.workers.len();
        match subject {
            Subject::Request(fingerprint) => {
                let mut suspects = gw.suspects.borrow_mut();
                suspects.recall(fingerprint, &entry.workers, now);
            }
            Subject::Part(part) => {
                let workers = entry.workers.into_iter().zip(entry.versions);
                let workers: Vec<(WorkerTag, VersionTag)> = workers.collect();
                gw.part_suspects.borrow_mut().recall(part, &workers, now);
            }
        }
        info!(target: "online", fingerprint:% = subject, crashes; "quarantined request loaded");
    }
}

fn read(kv: &KeyValue) -> Option<(Subject, Entry)> {
    let key = kv.key.as_str();
    let fingerprint_in = |name: &str| Fingerprint::try_from(name).ok();
    let subject = if let Some(name) = key.strip_prefix(PARTS_PREFIX) {
        Subject::Part(fingerprint_in(name)?)
    } else {
        Subject::Request(fingerprint_in(key.strip_prefix(REQUESTS_PREFIX)?)?)
    };
    Some((subject, serde_json::from_slice(&kv.value).ok()?))
}
