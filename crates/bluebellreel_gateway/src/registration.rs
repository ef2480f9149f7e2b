//! The daemons' entries in the store.
//!
//! An entry is held by a lease (see `lease`) and can disappear without any call
//! reporting it. Each daemon therefore checks that its own entry exists whenever it
//! reads those of the others.

use crate::gateway::Gateway;
use crate::join;
use crate::lease::registration_delay;
use crate::reports;
use crate::store::MAX_SMALL_ENTRY_BYTES;
use bluebellreel_batch::Owner;
use bluebellreel_kv::{Compare, Key, KeyValue, KvError};
use bluebellreel_members::{MemberEntry, Upkeep};
use bluebellreel_types::EntryName;
use log::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Prefix of all daemons' entries.
const MEMBER_PREFIX: &str = "member/";
/// Number of reads in quick succession after the start: daemons that start at the same
/// time read the entries before all of them have registered.
const EARLY_LIST_COUNT: u32 = 2;
/// Interval between these early reads.
const EARLY_LIST_INTERVAL: Duration = Duration::from_millis(1500);
/// Pause before a failed read is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

fn key_of(entry: &EntryName) -> Key {
    Key::from(format!("{MEMBER_PREFIX}{entry}"))
}

/// The key of this daemon's entry.
pub(crate) fn own_key(gw: &Gateway) -> Key {
    key_of(gw.me())
}

/// Whether an incarnation of a daemon has ended, according to the store.
pub(crate) enum OwnerStatus {
    /// Its entry exists.
    Alive,
    /// It is an earlier incarnation of this daemon.
    EarlierRun,
    /// It has ended, provided that this guard still holds when a write is applied.
    Guard(Compare),
}

/// Checks in the store whether the incarnation of the daemon that owns a job has ended.
pub(crate) async fn owner_status(gw: &Gateway, owner: &Owner) -> Result<OwnerStatus, KvError> {
    if owner.entry == *gw.me() {
        return Ok(OwnerStatus::EarlierRun);
    }
    let key = key_of(&owner.entry);
    let Some(kv) = gw.store.read(&key).await? else {
        return Ok(OwnerStatus::Guard(Compare::Absent(key)));
    };
    // An entry that cannot be parsed was not written by that incarnation.
    let entry = serde_json::from_slice::<MemberEntry>(&kv.value);
    if entry.is_ok_and(|entry| entry.run == owner.run) {
        return Ok(OwnerStatus::Alive);
    }
    Ok(OwnerStatus::Guard(Compare::Unchanged(key, kv.revision)))
}

/// Reads the entries of all daemons periodically, forever. A new daemon sends reports
/// to all members that it finds, so the others discover it without a read.
pub(crate) async fn list_members(gw: Rc<Gateway>) {
    let mut early = EARLY_LIST_COUNT;
    let mut join = Some(join::join(gw.clone()));
    loop {
        let listed = read_members(&gw).await;
        if let Some(join) = join.take() {
            gw.members_read.send_replace(true);
            spawn_local(join);
            // The next read is to find the daemons that start at the same time.
            sleep(registration_delay(&gw)).await;
        }
        let pause = match (&listed, early) {
            (Err(_), _) => RETRY_PAUSE,
            (Ok(()), 1..) => EARLY_LIST_INTERVAL,
            (Ok(()), 0) => list_interval(&gw),
        };
        early = early.saturating_sub(u32::from(listed.is_ok()));
        if listed.is_ok() {
            stand_for_election(&gw, early);
        }
        if let Err(e) = listed {
            warn!(target: "members", error:% = e; "entries not read");
        }
        sleep(pause).await;
    }
}

/// Interval between reads of all entries once the early ones are made. It does not grow
/// with the fleet while few daemons are heard: their entries show whether they have ended.
fn list_interval(gw: &Gateway) -> Duration {
    if gw.isolated_since.get().is_some() {
        return Upkeep::of_fleet(1).list_interval;
    }
    gw.members.borrow().upkeep().list_interval
}

/// Makes this daemon a candidate in elections of watchers once it knows its peers: after
/// the early reads, or at once if it has no peers.
fn stand_for_election(gw: &Gateway, reads_left: u32) {
    let peers = gw.members.borrow().peers().count();
    let is_alone = peers == 0 && !has_seeds(gw);
    if is_alone || reads_left == 0 {
        let report_time = reports::report_time(peers);
        gw.watch_duty.borrow_mut().stand(report_time, gw.now());
    }
}

/// Whether the settings name other daemons.
pub(crate) fn has_seeds(gw: &Gateway) -> bool {
    let own = gw.settings.advertised_peers();
    gw.seeds.borrow().iter().any(|seed| *seed != own)
}

/// Reads the entries of all daemons and updates the members. If this daemon's own
/// entry is missing, it registers again.
pub(crate) async fn read_members(gw: &Rc<Gateway>) -> Result<(), KvError> {
    let (all, revision) = gw
        .store
        .list_stale(&Key::from(MEMBER_PREFIX), MAX_SMALL_ENTRY_BYTES)
        .await?;
    // A list from before the registration lacks this daemon's entry.
    let is_newer = revision >= gw.registered_revision.get();
    if is_newer && !all.iter().any(|kv| kv.key == own_key(gw)) && gw.lease.get() != 0 {
        warn!(target: "members", revision; "own entry has vanished, registering again");
        gw.lease.set(0);
        gw.interrupt_registration_span();
    }
    let list = all.iter().filter_map(|kv| read_member(gw, kv)).collect();
    gw.members.borrow_mut().apply_registrations(list, revision);
    Ok(())
}

fn read_member(gw: &Gateway, kv: &KeyValue) -> Option<(EntryName, MemberEntry)> {
    let name = EntryName::from(kv.key.as_str().strip_prefix(MEMBER_PREFIX)?);
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
