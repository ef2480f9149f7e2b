//! Who holds which volume.

use crate::{DiskId, VolumeId};
use bluebellreel_types::{DataCentre, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use twox_hash::XxHash64;

/// A volume as the key-value service keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VolumeRecord {
    /// Its number.
    pub id: VolumeId,
    /// Grows with every change of holders.
    pub epoch: u64,
    /// The disks that hold it.
    pub holders: [DiskId; 2],
}

impl VolumeRecord {
    /// The record with one holder in another's place.
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

/// A disk as others see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskStatus {
    /// The daemon before it.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Since when its daemon's lease is gone; none while it is there.
    pub gone_since: Option<Moment>,
}

fn rank(volume: VolumeId, disk: &DiskId) -> u64 {
    XxHash64::oneshot(u64::from(volume.0), disk.0.as_bytes())
}

/// The best live disk for a volume that is not excluded.
fn best(
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

/// Holders for a new volume: two live disks in two data centres, ranked by the
/// volume so that volumes spread over all disks. None with too few disks.
#[must_use]
pub fn holders_for(volume: VolumeId, disks: &BTreeMap<DiskId, DiskStatus>) -> Option<[DiskId; 2]> {
    let first = best(volume, disks, |_, _| true)?;
    let here = &disks[first].data_centre;
    let second = best(volume, disks, |_, disk_status| {
        disk_status.data_centre != *here
    })?;
    Some([first.clone(), second.clone()])
}

/// Whether a volume takes writes: both holders are there.
#[must_use]
pub fn is_writable(record: &VolumeRecord, disks: &BTreeMap<DiskId, DiskStatus>) -> bool {
    let live = |id| {
        disks
            .get(id)
            .is_some_and(|disk_status: &DiskStatus| disk_status.gone_since.is_none())
    };
    record.holders.iter().all(live)
}

/// The holder that is gone and the disk to copy the volume to, if the disk `me`
/// is the holder that is left and the other has been gone for `grace`.
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
    let to = best(record.id, disks, |id, disk_status| {
        id != me && disk_status.data_centre != *here
    })?;
    Some((partner.clone(), to.clone()))
}
