//! Placement of volumes while VMs leave and return.

use bluebellreel_chunk::{
    DiskId, DiskStatus, VolumeId, VolumeRecord, copy_target, holders_for, is_writable,
};
use bluebellreel_types::{DataCentre, Moment};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const GRACE: Duration = Duration::from_mins(1);

fn disk(number: usize) -> DiskId {
    DiskId(Arc::from(format!("disk-{number}")))
}

fn disk_status(number: usize) -> DiskStatus {
    DiskStatus {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: DataCentre::from(format!("dc-{}", number % 3)),
        gone_since: None,
    }
}

fn disk_statuses(count: usize) -> BTreeMap<DiskId, DiskStatus> {
    (0..count)
        .map(|number| (disk(number), disk_status(number)))
        .collect()
}

fn record(holders: [DiskId; 2]) -> VolumeRecord {
    let (id, epoch) = (VolumeId(1), 1);
    VolumeRecord { id, epoch, holders }
}

#[test]
fn volumes_spread_over_all_disks_in_two_data_centres_each() {
    let disks = disk_statuses(6);
    let mut held: BTreeMap<DiskId, u32> = BTreeMap::new();
    for number in 0..64 {
        let [one, other] = holders_for(VolumeId(number), &disks).expect("enough disks");
        assert_ne!(disks[&one].data_centre, disks[&other].data_centre);
        *held.entry(one).or_default() += 1;
        *held.entry(other).or_default() += 1;
    }
    assert_eq!(held.len(), 6, "{held:?}");
}

#[test]
fn one_data_centre_is_not_enough() {
    let mut disks = disk_statuses(2);
    for disk_status in disks.values_mut() {
        disk_status.data_centre = DataCentre::from("Sligo");
    }
    assert_eq!(holders_for(VolumeId(1), &disks), None);
}

#[test]
fn only_the_remaining_holder_copies_and_only_after_the_grace_period() {
    let mut disks = disk_statuses(3);
    let volume = record([disk(0), disk(1)]);
    let gone = Moment(0) + Duration::from_secs(100);
    if let Some(disk_status) = disks.get_mut(&disk(1)) {
        disk_status.gone_since = Some(gone);
    }
    let at = |me: usize, now| copy_target(&volume, &disks, &disk(me), GRACE, now);
    assert!(!is_writable(&volume, &disks));
    assert_eq!(at(0, gone), None, "it may come back");
    let later = gone + GRACE;
    assert_eq!(at(0, later), Some((disk(1), disk(2))));
    assert_eq!(at(1, later), None, "the lost holder");
    assert_eq!(at(2, later), None, "not a holder");
}

/// Disks leave and return at random. The two holders of a volume must always be in
/// different data centres, and each epoch must share a holder with the next one, so
/// that the chunks can be copied on.
#[test]
fn holders_stay_in_two_data_centres_and_overlap_between_epochs() {
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec((0_usize..5, any::<bool>()), 0..60);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut disks = disk_statuses(5);
        let mut volume = record(holders_for(VolumeId(1), &disks).expect("enough disks"));
        let mut now = Moment(1_000_000);
        for (number, leaves) in steps {
            now = now + GRACE;
            if let Some(disk_status) = disks.get_mut(&disk(number)) {
                disk_status.gone_since = leaves.then_some(now);
            }
            now = now + GRACE;
            for me in 0..5 {
                let live = disks[&disk(me)].gone_since.is_none();
                let target = copy_target(&volume, &disks, &disk(me), GRACE, now);
                if let Some((gone, to)) = target.filter(|_| live) {
                    let next = volume.moved(&gone, &to);
                    prop_assert!(next.holders.contains(&disk(me)));
                    prop_assert!(volume.holders.contains(&disk(me)));
                    prop_assert_eq!(next.epoch, volume.epoch + 1);
                    volume = next;
                }
            }
            let [one, other] = &volume.holders;
            prop_assert_ne!(&disks[one].data_centre, &disks[other].data_centre);
        }
        Ok(())
    });
    run.expect("the invariants hold");
}
