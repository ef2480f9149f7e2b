//! What the platform tells of daemons and of VMs.

use bluebellreel_chunk::DiskId;
use bluebellreel_types::{DataCentre, EntryName, Incarnation, WorkerName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A live daemon, as its lease's key tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryRecord {
    /// Its name.
    pub(crate) name: EntryName,
    /// Its run.
    pub(crate) run: Incarnation,
    /// Where operators reach it.
    pub(crate) address: SocketAddr,
    /// Where it stands.
    pub(crate) data_centre: DataCentre,
    /// Its disk for chunks, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) disk: Option<DiskId>,
}

/// A VM with a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct ListedWorker {
    /// The worker's name.
    pub(crate) name: WorkerName,
    /// Where its side process listens.
    pub(crate) side: SocketAddr,
    /// Where it stands.
    pub(crate) data_centre: DataCentre,
    /// Whether it stays.
    pub(crate) state: ListedState,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListedState {
    /// It stays.
    Live,
    /// It will be taken away.
    Leaving,
}
