//! Disks that are empty, torn, hold other files, or are not a folder at all.

use bluebellreel_keeper::{Disk, DiskOutcome, SNAPSHOT, load_snapshot};
use bluebellreel_snapshot::{KnownGateway, Snapshot};
use bluebellreel_types::EntryName;
use std::fs;
use std::path::Path;

fn snapshot(gateways: u16) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for n in 0..gateways {
        let gateway = KnownGateway {
            calls: ([10, 0, 0, 9], n).into(),
            data_centre: None,
        };
        snapshot.add_gateway(EntryName::from(format!("entry-{n}")), gateway);
    }
    snapshot
}

/// Writes snapshots with 1, 2, 3 … gateways.
fn write(folder: &Path, count: u16) -> Vec<DiskOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut disk = Disk::start(folder.to_owned(), SNAPSHOT, 0);
    runtime.block_on(async {
        let mut outcomes = Vec::new();
        for gateways in 1..=count {
            disk.write(snapshot(gateways).encode());
            outcomes.push(disk.outcome().await.expect("the disk thread runs"));
        }
        outcomes
    })
}

fn read(folder: &Path) -> (u64, usize) {
    let (count, snapshot) = load_snapshot(folder);
    (count, snapshot.gateways().count())
}

#[test]
fn the_last_write_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(read(folder.path()), (0, 0));
    assert_eq!(write(folder.path(), 3), vec![DiskOutcome::Written; 3]);
    assert_eq!(read(folder.path()), (3, 3));
}

/// Power is lost in the middle of a write. The keeper starts with the previous snapshot
/// and continues its sequence numbers.
#[test]
fn a_torn_write_costs_one_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), 4);
    let newer = folder.path().join("snapshot-a");
    let intact = fs::read(&newer).expect("written");
    fs::write(&newer, &intact[..intact.len() / 2]).expect("torn");
    assert_eq!(read(folder.path()), (3, 3));
    fs::write(folder.path().join("snapshot-b"), b"no snapshot").expect("written");
    assert_eq!(
        read(folder.path()),
        (0, 0),
        "the keeper starts with nothing"
    );
}

/// The disk has been removed. Each write reports that, and the keeper does not end.
#[test]
fn a_failing_disk_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    fs::write(&file, b"").expect("written");
    let outcomes = write(&file, 2);
    assert!(
        outcomes
            .iter()
            .all(|o| matches!(o, DiskOutcome::Refused(_))),
        "{outcomes:?}"
    );
}

/// A write fails in the middle, as it does on a full disk, and the process is killed
/// during the next one. The second attempt overwrote the newest intact snapshot, and
/// the keeper started with nothing.
#[test]
fn a_write_after_a_failed_one_keeps_the_newest_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), 4);
    let newest = folder.path().join("snapshot-a");
    let older = folder.path().join("snapshot-b");
    let intact = fs::read(&newest).expect("written");
    fs::remove_file(&older).expect("written");
    fs::create_dir(&older).expect("it is removed");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut disk = Disk::start(folder.path().to_owned(), SNAPSHOT, 4);
    let mut retry = || {
        disk.write(snapshot(9).encode());
        runtime
            .block_on(disk.outcome())
            .expect("the disk thread runs")
    };
    for _ in 0..3 {
        assert!(matches!(retry(), DiskOutcome::Refused(_)));
        assert_eq!(fs::read(&newest).expect("written"), intact);
    }
    fs::remove_dir(&older).expect("it is empty");
    assert_eq!(retry(), DiskOutcome::Written);
    assert_eq!(read(folder.path()), (5, 9));
}
