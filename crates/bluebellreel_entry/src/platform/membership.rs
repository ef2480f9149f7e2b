//! Membership of entry daemons: each daemon holds a lease, and all watch the
//! leases.

use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::keys::{entry_key, entry_prefix};
use crate::platform::records::EntryRecord;
use bluebellreel_kv::{
    Backoff, Commit, Key, KeyValue, KvClient, KvError, Put, Txn, Watch, WatchEvent,
};
use bluebellreel_types::EntryName;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Value of the shared lease id after the daemon has stopped.
pub(crate) const STOPPED: i64 = -1;
/// Minimum delay before a prefix is read again and its watch reopened.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts the thread that holds the daemon's lease until the daemon stops.
pub(crate) fn hold_lease(handles: &DaemonHandles, address: SocketAddr) -> io::Result<()> {
    let handles = handles.clone();
    let record = EntryRecord {
        name: handles.settings.name.clone(),
        run: handles.run,
        address,
        data_centre: handles.settings.data_centre.clone(),
        disk: handles.data.own().map(|own| own.id.clone()),
    };
    thread::Builder::new()
        .name("entry-lease".into())
        .spawn(move || {
            let ttl = handles.settings.lease;
            let mut lease = None;
            while handles.lease.load(Ordering::SeqCst) != STOPPED {
                lease = renew(&handles.kv, lease, ttl, &record);
                handles.publish_lease(lease.unwrap_or(0));
                thread::sleep(ttl / 3);
            }
        })?;
    Ok(())
}

impl DaemonHandles {
    /// Publishes the lease to the other threads. If the daemon has stopped meanwhile,
    /// the lease is revoked at once instead.
    fn publish_lease(&self, lease: i64) {
        let published = self
            .lease
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |known| {
                (known != STOPPED).then_some(lease)
            });
        if published.is_err() && lease > 0 {
            self.kv.revoke(lease).ok();
        }
    }
}

/// Renews the lease, or acquires a new one if it has expired.
fn renew(kv: &KvClient, lease: Option<i64>, ttl: Duration, record: &EntryRecord) -> Option<i64> {
    if let Some(id) = lease {
        match kv.keep_alive(id) {
            Ok(true) => return Some(id),
            Ok(false) => log::warn!(target: "entry", "Lease expired; acquiring a new one."),
            Err(e) => {
                log::warn!(target: "entry", error:% = e; "Lease could not be renewed; retrying.");
                return Some(id);
            }
        }
    }
    match register(kv, ttl, record) {
        Ok(id) => Some(id),
        Err(e) => {
            log::warn!(target: "entry", error:% = e; "Lease could not be acquired; retrying.");
            None
        }
    }
}

fn register(kv: &KvClient, ttl: Duration, record: &EntryRecord) -> Result<i64, KvError> {
    let id = kv.grant(ttl)?;
    let value = serde_json::to_vec(record).unwrap_or_default();
    let txn = Txn {
        puts: vec![Put {
            key: entry_key(&record.name),
            value,
            lease: id,
        }],
        ..Txn::default()
    };
    match kv.commit(&txn, kv.now() + ttl) {
        Commit::Applied { .. } => Ok(id),
        Commit::Beaten(_) => Err(KvError::Refused(
            "unconditional write reported a failed condition".into(),
        )),
        Commit::NotDone(reason) => Err(KvError::NotDone(reason)),
        Commit::Unknown(reason) => Err(KvError::Unknown(reason)),
    }
}

/// Starts the thread that watches the leases of all daemons.
pub(crate) fn watch_entries(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("entry-watch".into())
        .spawn(move || {
            let mut known = BTreeSet::new();
            follow_prefix(
                &handles.kv,
                &entry_prefix(),
                |all| note_all(&handles, &mut known, &all),
                |event| note_event(&handles, event),
            );
        })?;
    Ok(())
}

/// Reads a prefix, then follows its changes, and reads it again when the watch
/// cannot continue. Returns only when a callback returns false.
pub(crate) fn follow_prefix(
    kv: &KvClient,
    prefix: &Key,
    mut on_all: impl FnMut(Vec<KeyValue>) -> bool,
    mut on_event: impl FnMut(WatchEvent) -> bool,
) {
    let mut backoff = Backoff::default();
    loop {
        if let Ok((all, revision)) = kv.list(prefix) {
            backoff = Backoff::default();
            if !on_all(all) {
                return;
            }
            if !follow_from(kv, prefix, revision + 1, &mut on_event) {
                return;
            }
        }
        // Random jitter, because all daemons start over after an outage.
        thread::sleep(WATCH_RETRY_DELAY + backoff.next(&mut rand::rng()));
    }
}

/// Follows changes for as long as watches can be opened. Returns false if
/// `on_event` returned false.
fn follow_from(
    kv: &KvClient,
    prefix: &Key,
    mut next: i64,
    on_event: &mut impl FnMut(WatchEvent) -> bool,
) -> bool {
    while let Ok(mut watch) = Watch::open(kv, prefix, next) {
        loop {
            match watch.wait() {
                Ok(events) => {
                    for event in events {
                        if !on_event(event) {
                            return false;
                        }
                    }
                }
                Err(KvError::Refused(_)) => return true,
                Err(_) => break,
            }
        }
        next = watch.next_revision();
    }
    true
}

fn record_of(kv: &KeyValue) -> Option<EntryRecord> {
    serde_json::from_slice(&kv.value).ok()
}

fn note_all(handles: &DaemonHandles, known: &mut BTreeSet<EntryName>, all: &[KeyValue]) -> bool {
    let records: Vec<EntryRecord> = all.iter().filter_map(record_of).collect();
    let present: BTreeSet<EntryName> = records.iter().map(|r| r.name.clone()).collect();
    let gone: Vec<EntryName> = known.difference(&present).cloned().collect();
    *known = present;
    for name in &gone {
        handles.data.note_daemon_gone(name);
    }
    for record in &records {
        handles.data.note_daemon(record);
    }
    let seen = records.into_iter().map(Message::EntryJoined);
    let gone = gone.into_iter().map(Message::EntryLeft);
    gone.chain(seen)
        .all(|message| handles.send_message(message))
}

fn note_event(handles: &DaemonHandles, event: WatchEvent) -> bool {
    match event {
        WatchEvent::Put(kv) => match record_of(&kv) {
            Some(record) => {
                handles.data.note_daemon(&record);
                handles.send_message(Message::EntryJoined(record))
            }
            None => true,
        },
        WatchEvent::Deleted { key, .. } => {
            let text = key.as_str();
            let name = EntryName::from(text.strip_prefix("entry/").unwrap_or(text));
            handles.data.note_daemon_gone(&name);
            handles.send_message(Message::EntryLeft(name))
        }
    }
}
