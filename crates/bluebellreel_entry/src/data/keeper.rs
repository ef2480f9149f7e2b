//! The volume keeper keeps every volume on two disks: it creates volumes and copies
//! those whose other holder is gone.

use crate::data::access::ChunkAccess;
use crate::data::volume_map::KnownVolume;
use crate::handles::DaemonHandles;
use crate::platform::{follow_prefix, volume_key, volume_prefix};
use bluebellreel_chunk::{ChunkStore, DiskId, VolumeId, VolumeRecord, copy_target, holders_for};
use bluebellreel_kv::{Commit, KeyValue, KvClient, Txn, WatchEvent};
use bluebellreel_types::Moment;
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Interval between two checks of the volumes.
const KEEPER_PERIOD: Duration = Duration::from_secs(1);
/// Number of volumes per disk: volumes are added with disks, so that new disks
/// are used.
const VOLUMES_PER_DISK: u32 = 8;
/// Timeout for writing a volume's record.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts the thread that watches the volumes' records.
pub(crate) fn watch_volumes(handles: &DaemonHandles) -> io::Result<()> {
    if !handles.data.is_enabled() {
        return Ok(());
    }
    let handles = handles.clone();
    thread::Builder::new()
        .name("volume-watch".into())
        .spawn(move || {
            follow_prefix(
                &handles.kv,
                &volume_prefix(),
                |all| all.iter().all(|kv| note_volume(&handles.data, kv)),
                |event| match event {
                    WatchEvent::Put(kv) => note_volume(&handles.data, &kv),
                    WatchEvent::Deleted { .. } => true,
                },
            );
        })?;
    Ok(())
}

fn note_volume(data: &ChunkAccess, kv: &KeyValue) -> bool {
    match serde_json::from_slice::<VolumeRecord>(&kv.value) {
        Ok(record) => {
            if let Some(mut volume_map) = data.volume_map_mut() {
                volume_map.note_volume(record, kv.revision);
            }
        }
        Err(e) => {
            log::error!(target: "data", key:% = kv.key, error:% = e; "Volume record cannot be parsed.");
        }
    }
    true
}

/// Starts the volume keeper of this daemon's disk, if it has one; it runs until the
/// daemon stops.
pub(crate) fn keep_volumes(handles: &DaemonHandles) -> io::Result<()> {
    if handles.data.own().is_none() {
        return Ok(());
    }
    let handles = handles.clone();
    thread::Builder::new()
        .name("volume-keeper".into())
        .spawn(move || {
            while handles.lease.load(Ordering::SeqCst) != crate::platform::STOPPED {
                thread::sleep(KEEPER_PERIOD);
                if let Some(own) = handles.data.own()
                    && !handles.kv.seems_down()
                {
                    create_missing(&handles.kv, &handles.data, own);
                    copy_orphaned(&handles.kv, &handles.data, own);
                }
            }
        })?;
    Ok(())
}

/// Creates the missing volumes whose first holder is this disk.
fn create_missing(kv: &KvClient, data: &ChunkAccess, own: &ChunkStore) {
    let Some(missing) = missing_volumes(data, &own.id) else {
        return;
    };
    for record in missing {
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let txn = Txn::create(volume_key(record.id), value);
        if let Commit::Applied { .. } = kv.commit(&txn, kv.now() + WRITE_TIMEOUT) {
            log::info!(target: "data", volume:% = record.id; "Volume created.");
        }
    }
}

fn missing_volumes(data: &ChunkAccess, me: &DiskId) -> Option<Vec<VolumeRecord>> {
    let volume_map = data.volume_map()?;
    let live = volume_map
        .disks
        .values()
        .filter(|status| status.gone_since.is_none());
    let live = u32::try_from(live.count()).ok()?;
    let wanted = (0..live * VOLUMES_PER_DISK).map(VolumeId);
    let missing = wanted.filter(|id| !volume_map.volumes.contains_key(id));
    let records = missing.filter_map(|id| {
        let holders = holders_for(id, &volume_map.disks)?;
        let epoch = 1;
        (holders[0] == *me).then_some(VolumeRecord { id, epoch, holders })
    });
    Some(records.collect())
}

/// A volume to copy, its lost holder, and the disk that replaces it.
struct Move {
    volume: KnownVolume,
    gone: DiskId,
    to: DiskId,
}

fn copy_orphaned(kv: &KvClient, data: &ChunkAccess, own: &ChunkStore) {
    for moving in due_moves(data, &own.id, data.now()) {
        let before = &moving.volume.record;
        // The volume is sealed before its chunks are listed: a chunk that was
        // acknowledged before the seal is in the list, and a later one is refused
        // here, so that its writer tries another volume.
        own.seal(before.id, before.epoch);
        if !copy_all(data, own, &moving) || !record_move(kv, &moving) {
            own.unseal(before.id);
        }
    }
}

fn due_moves(data: &ChunkAccess, me: &DiskId, now: Moment) -> Vec<Move> {
    let Some(patience) = data.settings().map(|settings| settings.recopy_delay) else {
        return Vec::new();
    };
    let Some(mut volume_map) = data.volume_map_mut() else {
        return Vec::new();
    };
    volume_map.mark_unseen_holders_gone(now);
    let due = volume_map.volumes.values().filter_map(|volume| {
        let (gone, to) = copy_target(&volume.record, &volume_map.disks, me, patience, now)?;
        let volume = volume.clone();
        Some(Move { volume, gone, to })
    });
    due.collect()
}

fn copy_all(data: &ChunkAccess, own: &ChunkStore, moving: &Move) -> bool {
    let status = data
        .volume_map()
        .and_then(|volume_map| volume_map.disks.get(&moving.to).cloned());
    let Some(status) = status else { return false };
    let id = moving.volume.record.id;
    let chunks = match own.chunks_of(id) {
        Ok(chunks) => chunks,
        Err(e) => {
            log::error!(target: "data", volume:% = id, error:% = e; "Volume cannot be listed.");
            return false;
        }
    };
    let all = chunks
        .iter()
        .all(|chunk| data.copy_to(status.address, chunk));
    if !all {
        log::warn!(target: "data", volume:% = id, to:% = moving.to; "Volume could not be copied; retrying.");
    }
    all
}

/// Records the new holder. The write is conditional on the record's revision, so
/// that only one of several concurrent moves succeeds. Returns whether the volume
/// stays sealed.
fn record_move(kv: &KvClient, moving: &Move) -> bool {
    let after = moving.volume.record.moved(&moving.gone, &moving.to);
    let value = serde_json::to_vec(&after).unwrap_or_default();
    let txn = Txn::replace(volume_key(after.id), moving.volume.revision, value);
    match kv.commit(&txn, kv.now() + WRITE_TIMEOUT) {
        Commit::Applied { .. } => {
            log::info!(target: "data", volume:% = after.id, from:% = moving.gone, to:% = moving.to; "Volume moved.");
            true
        }
        // The move may have been recorded; the watch on the record shows whether
        // it was. Until then the volume stays sealed, because refusing writes is
        // better than losing them.
        Commit::Unknown(_) => true,
        Commit::Beaten(_) | Commit::NotDone(_) => false,
    }
}
