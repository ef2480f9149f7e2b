//! A daemon's view of volumes and disks.

use crate::platform::EntryRecord;
use bluebellreel_chunk::{DiskId, DiskStatus, VolumeId, VolumeRecord, is_writable};
use bluebellreel_types::{EntryName, Moment};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long no chunks are written to a disk after it was full.
const FULL_DISK_BACKOFF: Duration = Duration::from_secs(30);

/// A volume and the revision of its record.
#[derive(Clone, Debug)]
pub(crate) struct KnownVolume {
    pub(crate) record: VolumeRecord,
    pub(crate) revision: i64,
}

/// State of the volumes, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct VolumesSummary {
    /// Number of volumes.
    pub(crate) volumes: usize,
    /// Volumes with only one live holder: if it is lost as well, items are lost.
    pub(crate) on_one_disk: usize,
    /// Volumes without a live holder.
    pub(crate) unreadable: usize,
}

/// Volumes, disks, and the daemon that serves each disk.
#[derive(Debug, Default)]
pub(crate) struct VolumeMap {
    pub(crate) volumes: BTreeMap<VolumeId, KnownVolume>,
    pub(crate) disks: BTreeMap<DiskId, DiskStatus>,
    daemons: BTreeMap<EntryName, DiskId>,
    full_until: BTreeMap<DiskId, Moment>,
}

impl VolumeMap {
    /// Stores a volume's record, unless the same or a later revision is known: a list
    /// that was read before a change may be processed after it.
    pub(crate) fn note_volume(&mut self, record: VolumeRecord, revision: i64) {
        let known = self.volumes.get(&record.id);
        if known.is_none_or(|known| known.revision < revision) {
            let id = record.id;
            self.volumes.insert(id, KnownVolume { record, revision });
        }
    }

    /// Records a live daemon and its disk. If it had another disk before, that
    /// one counts as gone.
    pub(crate) fn note_daemon(&mut self, record: &EntryRecord, now: Moment) {
        let before = self.daemons.remove(&record.name);
        if let Some(before) = before.filter(|disk| Some(disk) != record.disk.as_ref()) {
            self.note_disk_gone(&before, now);
        }
        if let Some(disk) = &record.disk {
            self.daemons.insert(record.name.clone(), disk.clone());
            let status = DiskStatus {
                address: record.address,
                data_centre: record.data_centre.clone(),
                gone_since: None,
            };
            self.disks.insert(disk.clone(), status);
        }
    }

    /// Records that a daemon's lease has ended: its disk counts as gone.
    pub(crate) fn note_daemon_gone(&mut self, name: &EntryName, now: Moment) {
        if let Some(disk) = self.daemons.remove(name) {
            self.note_disk_gone(&disk, now);
        }
    }

    fn note_disk_gone(&mut self, disk: &DiskId, now: Moment) {
        if let Some(status) = self.disks.get_mut(disk) {
            status.gone_since.get_or_insert(now);
        }
    }

    /// Marks holders that no known daemon has served as gone from now on: they left
    /// before this daemon started.
    pub(crate) fn mark_unseen_holders_gone(&mut self, now: Moment) {
        let holders = self.volumes.values().flat_map(|v| v.record.holders.iter());
        let unseen: Vec<DiskId> = holders
            .filter(|disk| !self.disks.contains_key(disk))
            .cloned()
            .collect();
        for disk in unseen {
            let status = DiskStatus {
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                data_centre: "".into(),
                gone_since: Some(now),
            };
            self.disks.insert(disk, status);
        }
    }

    /// Records that a disk is full.
    pub(crate) fn note_full(&mut self, disk: &DiskId, now: Moment) {
        self.full_until
            .insert(disk.clone(), now + FULL_DISK_BACKOFF);
    }

    fn is_full(&self, disk: &DiskId, now: Moment) -> bool {
        let until = self.full_until.get(disk);
        until.is_some_and(|until| !until.is_past(now))
    }

    /// Volumes whose two holders are live and not full.
    pub(crate) fn writable(&self, now: Moment) -> Vec<VolumeRecord> {
        let volumes = self.volumes.values().map(|known| &known.record);
        volumes
            .filter(|record| is_writable(record, &self.disks))
            .filter(|record| !record.holders.iter().any(|disk| self.is_full(disk, now)))
            .cloned()
            .collect()
    }

    /// Counts the volumes by number of live holders.
    pub(crate) fn summary(&self) -> VolumesSummary {
        let mut summary = VolumesSummary::default();
        for known in self.volumes.values() {
            let live = |disk| {
                let status = self.disks.get(disk);
                status.is_some_and(|status: &DiskStatus| status.gone_since.is_none())
            };
            summary.volumes += 1;
            match known
                .record
                .holders
                .iter()
                .filter(|disk| live(disk))
                .count()
            {
                0 => summary.unreadable += 1,
                1 => summary.on_one_disk += 1,
                _ => {}
            }
        }
        summary
    }

    /// Whether some volume has two live holders. If none is writable nevertheless, full
    /// disks are the reason.
    pub(crate) fn is_blocked_by_full_disks(&self) -> bool {
        let mut volumes = self.volumes.values();
        volumes.any(|known| is_writable(&known.record, &self.disks))
    }
}
