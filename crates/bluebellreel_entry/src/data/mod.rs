//! Chunks of large jobs on the disks of two VMs in two data centres.
//!
//! A daemon without a disk sends chunks to daemons that have one. The key-value
//! service records the holders of each volume, and all daemons watch these
//! records. Without a `[data]` table in the settings, chunks are not stored on
//! disks, and everything is stored in the key-value service.

mod access;
mod endpoint;
mod keeper;
mod volume_map;
mod wire;

pub(crate) use access::{ChunkAccess, PutError};
pub(crate) use endpoint::handle;
pub(crate) use keeper::{keep_volumes, watch_volumes};
pub(crate) use volume_map::VolumesSummary;
pub(crate) use wire::PATH_PREFIX;
