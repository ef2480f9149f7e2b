//! The chunk store across restarts, full disks, damaged files and moves of volumes.

use bluebellreel_chunk::{ChunkFolder, ChunkName, ChunkStore, StoreError, StoreLimits, VolumeId};
use std::fs;
use std::path::Path;

const LARGE_LIMITS: StoreLimits = StoreLimits { bytes: 1 << 20 };

fn folder(volume: u32) -> ChunkFolder {
    ChunkFolder::new(VolumeId(volume), "job", "upload")
}

fn open(root: &Path) -> ChunkStore {
    ChunkStore::open(root, LARGE_LIMITS).expect("the folder opens")
}

#[test]
fn chunks_persist_across_restarts() {
    let root = tempfile::tempdir().expect("a folder");
    let before = open(root.path());
    let digest = before.write(&folder(1), 1, b"text").expect("stored");
    let after = open(root.path());
    assert_eq!(after.id, before.id);
    assert_eq!(after.used(), 4);
    let read = after.read(&folder(1), &digest).expect("readable");
    assert_eq!(read.as_deref(), Some(b"text".as_slice()));
}

/// A power failure interrupted the write of a chunk. The partial file must neither
/// count as a chunk nor take up space forever.
#[test]
fn partial_chunk_is_removed_on_restart() {
    let root = tempfile::tempdir().expect("a folder");
    let store = open(root.path());
    store.write(&folder(1), 1, b"text").expect("stored");
    let path = folder(1).path_in(root.path()).expect("a valid name");
    fs::write(path.join("7.part"), b"hal").expect("written");
    let store = open(root.path());
    assert_eq!(store.used(), 4);
    assert_eq!(store.chunks_of(VolumeId(1)).expect("listed").len(), 1);
    assert!(!path.join("7.part").exists());
}

/// A bit flipped on the disk. A reader must not get bytes that differ from those
/// accepted, and it must be possible to store an intact copy under the same name.
#[test]
fn damaged_chunk_is_not_read_and_can_be_copied_again() {
    let root = tempfile::tempdir().expect("a folder");
    let store = open(root.path());
    let digest = store.write(&folder(1), 1, b"text").expect("stored");
    let path = folder(1).path_in(root.path()).expect("a valid name");
    fs::write(path.join(&digest), b"teXt").expect("written");
    assert_eq!(store.read(&folder(1), &digest).expect("no failure"), None);
    let chunk = ChunkName {
        folder: folder(1),
        digest: digest.clone(),
    };
    assert!(!store.has(&chunk), "it must not count as a copy");
    store.copy_in(&folder(1), b"text").expect("stored");
    let read = store.read(&folder(1), &digest).expect("readable");
    assert_eq!(read.as_deref(), Some(b"text".as_slice()));
}

#[test]
fn full_disk_refuses_writes_until_a_removal() {
    let root = tempfile::tempdir().expect("a folder");
    let store = ChunkStore::open(root.path(), StoreLimits { bytes: 10 }).expect("it opens");
    store.write(&folder(1), 1, b"12345678").expect("stored");
    let refused = store.write(&folder(2), 1, b"abc");
    assert!(matches!(refused, Err(StoreError::Full)), "{refused:?}");
    store
        .write(&folder(1), 1, b"12345678")
        .expect("a chunk already stored takes no space");
    store.remove(&folder(1)).expect("it is removed");
    assert_eq!(store.used(), 0);
    store.write(&folder(2), 1, b"abc").expect("stored");
}

/// A volume is being copied to a new holder. A writer with a stale record writes to
/// the remaining holder after the chunks to copy were listed, so its chunk would be
/// missing on the new holder. The remaining holder must refuse the write.
#[test]
fn sealed_volume_refuses_late_writes() {
    let root = tempfile::tempdir().expect("a folder");
    let store = open(root.path());
    store.write(&folder(1), 1, b"before").expect("stored");
    store.seal(VolumeId(1), 1);
    let late = store.write(&folder(1), 1, b"late");
    assert!(matches!(late, Err(StoreError::Moved)), "{late:?}");
    store
        .write(&folder(2), 1, b"other")
        .expect("another volume");
    store
        .write(&folder(1), 2, b"new view")
        .expect("the next epoch");
    store.seal(VolumeId(2), 1);
    store.unseal(VolumeId(2));
    store
        .write(&folder(2), 1, b"again")
        .expect("the move failed");
}

#[test]
fn names_cannot_lead_out_of_the_folder() {
    let root = tempfile::tempdir().expect("a folder");
    let store = open(root.path());
    for bad in ["..", "a/b", "", "a\0"] {
        let folder = ChunkFolder::new(VolumeId(1), bad, "upload");
        let written = store.write(&folder, 1, b"x");
        assert!(matches!(written, Err(StoreError::InvalidName)), "{bad:?}");
    }
    let read = store.read(&folder(1), "../disk-id");
    assert!(matches!(read, Err(StoreError::InvalidName)));
}
