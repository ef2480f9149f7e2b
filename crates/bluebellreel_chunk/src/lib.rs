//! Chunks of jobs on the disks of a few VMs.
//!
//! A chunk is immutable and named by the SHA-256 of its bytes. Chunks lie in
//! volumes; each volume has two holders, disks in two data centres, named by a
//! small record in the key-value service. A disk that leaves costs one write
//! for each of its volumes, not one for each chunk. [`ChunkStore`] is the disk;
//! the functions beside [`VolumeRecord`] decide who holds what.
//!
//! ```
//! use bluebellreel_chunk::{ChunkFolder, ChunkStore, StoreLimits, VolumeId};
//!
//! let folder = std::env::temp_dir().join(format!("chunks-{}", std::process::id()));
//! let store = ChunkStore::open(&folder, StoreLimits { bytes: 1 << 20 }).unwrap();
//! let place = ChunkFolder::new(VolumeId(1), "job", "upload");
//! let digest = store.copy_in(&place, b"text").unwrap();
//! assert_eq!(store.read(&place, &digest).unwrap().unwrap(), b"text");
//! # std::fs::remove_dir_all(folder).unwrap();
//! ```

mod error;
mod name;
mod store;
mod volume;

pub use error::StoreError;
pub use name::{ChunkFolder, DiskId, VolumeId};
pub use store::{ChunkName, ChunkStore, StoreLimits};
pub use volume::{DiskStatus, VolumeRecord, copy_target, holders_for, is_writable};
