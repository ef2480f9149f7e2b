//! Chunks of large jobs on the disks of two VMs in two data centres.
//!
//! A daemon without a disk sends chunks to those that have one. Who holds which
//! volume stands in the key-value service; all daemons watch it. Without a
//! `[data]` table in the settings, all of this is off and everything is kept in
//! the key-value service.

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
