//! Placement of volumes on disks.

use crate::{DiskId, VolumeId};
use bluebellreel_types::{DataCentre, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use twox_hash::XxHash64;

/// The record of a volume in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeRecord {
    /// The volume.
    pub id: VolumeId,
    /// Increases with every change of holders.
    pub epoch: u64,
    /// The disks that hold the volume's chunks.
    pub holders: [DiskId; 2],
}

impl VolumeRecord {
    /// The record with the holder `gone` replaced by `to`, and the next epoch.
    #[must_use]
    pub fn moved(&self, gone: &DiskId, to: &DiskId) -> Self {
        let holders = self.holders.clone();
        Self {
            id: self.id,
            epoch: self.epoch + 1,
            holders: holders.map(|disk| if disk == *gone { to.clone() } else { disk }),
        }
    }
}

/// A disk as known to the other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskStatus {
    /// Address of the daemon that serves the disk.
    pub address: SocketAddr,
    /// The disk's data centre.
    pub data_centre: DataCentre,
    /// When the lease of its daemon was lost; none while the daemon is alive.
    pub gone_since: Option<Moment>,
}

fn rank(volume: VolumeId, disk: &DiskId) -> u64 {
    XxHash64::oneshot(u64::from(volume.0), disk.0.as_bytes())
}

/// The live disk with the highest rank for a volume, among those that `fits`
/// accepts.
fn best_disk(
    volume: VolumeId,
    disks: &BTreeMap<DiskId, DiskStatus>,
    fits: impl Fn(&DiskId, &DiskStatus) -> bool,
) -> Option<&DiskId> {
    disks
        .iter()
        .filter(|(id, disk_status)| disk_status.gone_since.is_none() && fits(id, disk_status))
        .max_by_key(|(id, _)| rank(volume, id))
        .map(|(id, _)| id)
}

/// Chooses the holders of a new volume: two live disks in different data centres.
/// Disks are ranked by a hash of the volume and the disk, so that volumes spread
/// over all disks. None if there are no two such disks.
#[must_use]
pub fn holders_for(volume: VolumeId, disks: &BTreeMap<DiskId, DiskStatus>) -> Option<[DiskId; 2]> {
    let first = best_disk(volume, disks, |_, _| true)?;
    let here = &disks[first].data_centre;
    let second = best_disk(volume, disks, |_, disk_status| {
        disk_status.data_centre != *here
    })?;
    Some([first.clone(), second.clone()])
}

/// Whether a volume accepts writes, which needs both holders to be alive.
#[must_use]
pub fn is_writable(record: &VolumeRecord, disks: &BTreeMap<DiskId, DiskStatus>) -> bool {
    let live = |id| {
        disks
            .get(id)
            .is_some_and(|disk_status: &DiskStatus| disk_status.gone_since.is_none())
    };
    record.holders.iter().all(live)
}

/// The lost holder and the disk to copy the volume to. None unless the disk `me` is
/// one holder, the other one was lost at least `grace` ago, and another disk fits.
#[must_use]
pub fn copy_target(
    record: &VolumeRecord,
    disks: &BTreeMap<DiskId, DiskStatus>,
    me: &DiskId,
    grace: Duration,
    now: Moment,
) -> Option<(DiskId, DiskId)> {
    let [one, other] = &record.holders;
    let partner = if one == me {
        other
    } else if other == me {
        one
    } else {
        return None;
    };
    let gone_since = disks.get(partner)?.gone_since?;
    if !(gone_since + grace).is_past(now) {
        return None;
    }
    let here = &disks.get(me)?.data_centre;
    let to = best_disk(record.id, disks, |id, disk_status| {
        id != me && disk_status.data_centre != *here
    })?;
    Some((partner.clone(), to.clone()))
}
