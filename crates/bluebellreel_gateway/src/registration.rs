//! This daemon's entry in the store, and those of the others.
//!
//! The entry stands under a lease. It can vanish without any call telling, so
//! the daemon looks for its own entry whenever it reads the others', and writes
//! it again.

use crate::gateway::Gateway;
use crate::jobs;
use bluebellreel_batch::{Owner, Stamp};
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, KvError, Put, Txn};
use bluebellreel_members::MemberEntry;
use bluebellreel_types::EntryName;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of all daemons' entries.
const MEMBERS: &str = "member/";
/// Time to live of a daemon's entry. Short, as a dead daemon's jobs wait for
/// it to end; a renewal costs a tenth of a read.
const TTL: Duration = Duration::from_millis(3600);
/// Time between renewals: three within the time to live.
const RENEWAL: Duration = Duration::from_millis(1100);
/// Reads that follow each other soon after the start: daemons that start
/// together read before all of them have registered.
const EARLY_LISTS: u32 = 2;
/// Time between those.
const LIST_PAUSE_EARLY: Duration = Duration::from_millis(1500);
/// Time between reads of all entries.
const LIST_PAUSE: Duration = Duration::from_secs(15);
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(300);

fn key_of(entry: &EntryName) -> Key {
    Key::from(format!("{MEMBERS}{entry}"))
}

fn own_key(gw: &Gateway) -> Key {
    key_of(gw.me())
}

/// Whether a run of a daemon has ended, by the store's word.
pub(crate) enum EntryEnd {
    /// Its entry stands.
    Stands,
    /// It is an earlier run of this daemon.
    Own,
    /// It has ended as long as this guard holds.
    Guard(Compare),
}

/// Asks the store whether the run of a daemon that owns a job has ended.
pub(crate) async fn end_of(gw: &Gateway, owner: &Owner) -> Result<EntryEnd, KvError> {
    if owner.entry == *gw.me() {
        return Ok(EntryEnd::Own);
    }
    let key = key_of(&owner.entry);
    let Some(kv) = gw.store.read(&key).await? else {
        return Ok(EntryEnd::Guard(Compare::Absent(key)));
    };
    // An entry that cannot be read is not the one that run wrote.
    let entry = serde_json::from_slice::<MemberEntry>(&kv.value);
    if entry.is_ok_and(|entry| entry.run == owner.run) {
        return Ok(EntryEnd::Stands);
    }
    Ok(EntryEnd::Guard(Compare::Unchanged(key, kv.revision)))
}

/// The store has renewed this daemon's entry by a call that was sent at `sent`.
fn renewed(gw: &Rc<Gateway>, sent: Stamp) {
    let mut tenure = gw.tenure.get();
    let begins = tenure.renewed(sent, gw.stamp());
    gw.tenure.set(tenure);
    if begins {
        tokio::task::spawn_local(jobs::confirm_all(gw.clone()));
    }
}

/// This daemon's entry has gone, or its lease is not known to run on.
pub(crate) fn interrupted(gw: &Gateway) {
    let mut tenure = gw.tenure.get();
    tenure.interrupt();
    gw.tenure.set(tenure);
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
        renew_while_it_lasts(&gw, lease).await;
    }
}

async fn renew_while_it_lasts(gw: &Rc<Gateway>, lease: i64) {
    while gw.lease.get() == lease && !gw.stopping.get() {
        sleep(RENEWAL).await;
        let sent = gw.stamp();
        match gw.store.renew(lease).await {
            Ok(true) => renewed(gw, sent),
            Ok(false) => {
                interrupted(gw);
                warn!(target: "members", lease; "lease has ended");
                return;
            }
            Err(e) => warn!(target: "members", lease, error:% = e; "lease not renewed"),
        }
    }
}

async fn register(gw: &Rc<Gateway>) -> Result<i64, KvError> {
    let ttl = TTL.max(gw.settings.shortest_lease);
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
    interrupted(gw);
    if let Err(e) = gw.store.release(lease).await {
        warn!(target: "members", lease, error:% = e; "lease not given back");
    }
}

/// Reads the entries of all daemons now and then. A new daemon reads them once
/// and reports to all, so the others hear of it without a read.
pub(crate) async fn list_members(gw: Rc<Gateway>) {
    let mut early = EARLY_LISTS;
    loop {
        let listed = read_members(&gw).await;
        let pause = match (&listed, early) {
            (Err(_), _) => RETRY,
            (Ok(()), 1..) => LIST_PAUSE_EARLY,
            (Ok(()), 0) => LIST_PAUSE,
        };
        early = early.saturating_sub(u32::from(listed.is_ok()));
        if let Err(e) = listed {
            warn!(target: "members", error:% = e; "entries not read");
        }
        sleep(pause).await;
    }
}

/// Reads the entries of all daemons.
pub(crate) async fn read_members(gw: &Rc<Gateway>) -> Result<(), KvError> {
    let (all, revision) = gw.store.list(&Key::from(MEMBERS)).await?;
    if !all.iter().any(|kv| kv.key == own_key(gw)) && gw.lease.get() != 0 {
        warn!(target: "members", revision; "own entry has vanished, registering again");
        gw.lease.set(0);
        interrupted(gw);
    }
    let list = all.iter().filter_map(|kv| read_member(gw, kv)).collect();
    gw.members.borrow_mut().listed(list, revision);
    Ok(())
}

fn read_member(gw: &Gateway, kv: &KeyValue) -> Option<(EntryName, MemberEntry)> {
    let name = EntryName::from(kv.key.as_str().strip_prefix(MEMBERS)?);
    if name == *gw.me() {
        return None;
    }
    match serde_json::from_slice(&kv.value) {
        Ok(entry) => Some((name, entry)),
        Err(e) => {
            warn!(target: "members", peer:% = name, error:% = e; "entry not read");
            None
        }
    }
}
