//! Records of entry daemons and VMs.

use bluebellreel_chunk::DiskId;
use bluebellreel_types::{DataCentre, EntryName, Incarnation, WorkerName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A live entry daemon, stored under its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryRecord {
    /// Name of the daemon.
    pub(crate) name: EntryName,
    /// Incarnation of the daemon.
    pub(crate) run: Incarnation,
    /// Address of the daemon's HTTP server.
    pub(crate) address: SocketAddr,
    /// Data centre of the daemon's VM.
    pub(crate) data_centre: DataCentre,
    /// Disk on which the daemon stores chunks, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) disk: Option<DiskId>,
}

/// A VM with a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct ListedWorker {
    /// The worker's name.
    pub(crate) name: WorkerName,
    /// Address of the worker's side process.
    pub(crate) side: SocketAddr,
    /// Data centre of the VM.
    pub(crate) data_centre: DataCentre,
    /// Whether the VM will be removed.
    pub(crate) state: ListedState,
}

/// Whether a VM will be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListedState {
    /// The VM stays in service.
    Live,
    /// The VM will be removed soon.
    Leaving,
}
