//! The daemons' entries in the store.
//!
//! An entry stands under a lease (see `lease`) and can vanish without any call
//! telling, so each daemon looks for its own entry whenever it reads the others'.

use crate::gateway::Gateway;
use bluebellreel_batch::Owner;
use bluebellreel_kv::{Compare, Key, KeyValue, KvError};
use bluebellreel_members::MemberEntry;
use bluebellreel_types::EntryName;
use log::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Prefix of all daemons' entries.
const MEMBERS: &str = "member/";
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

/// Where this daemon's entry stands.
pub(crate) fn own_key(gw: &Gateway) -> Key {
    key_of(gw.me())
}

/// Whether a run of a daemon has ended, as the store has it.
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
        gw.interrupt_tenure();
    }
    let list = all.iter().filter_map(|kv| read_member(gw, kv)).collect();
    gw.members.borrow_mut().apply_registrations(list, revision);
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
