//! Replicated storage of job chunks on the disks of a few VMs.
//!
//! A chunk is immutable and named by the SHA-256 of its bytes. Chunks are grouped
//! into volumes. Each volume is replicated on two disks in different data centres,
//! its holders, which a small record in the key-value service names. The loss of a
//! disk therefore costs one write to that service per volume, not one per chunk.
//! [`ChunkStore`] stores the chunks of one disk; the functions on [`VolumeRecord`]
//! choose the holders.
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
