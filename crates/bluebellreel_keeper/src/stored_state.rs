//! State on the keeper's disk at its start.

use crate::disk::{ORIGINS, PROGRESS, load, load_snapshot};
use bluebellreel_origins::{OriginRecords, VersionHistory};
use bluebellreel_snapshot::{ProgressBackups, Snapshot, SnapshotError};
use bluebellreel_types::Moment;
use eyre::eyre;
use log::{info, warn};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Limit of all progress backups: the progress of thousands of half-finished items.
/// The VMs of keepers have at least 130 MB of memory and disks of at least 310 MB.
const PROGRESS_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of streams whose version is kept: those that a data centre begins in some
/// minutes, in some 13 MB.
const MAX_ORIGINS: usize = 131_072;
/// Time without an answer after which the disk counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(1);

/// What was read, each with the sequence number of its last write.
pub(crate) struct StoredState {
    pub(crate) snapshot: (u64, Snapshot),
    pub(crate) progress: (u64, ProgressBackups),
    pub(crate) origins: (u64, StoredOrigins),
}

/// Records of streams, and the history of versions at the time of the write.
pub(crate) struct StoredOrigins {
    pub(crate) records: OriginRecords,
    pub(crate) history: VersionHistory,
    pub(crate) written_at: Moment,
}

impl StoredOrigins {
    fn none() -> Self {
        Self {
            records: OriginRecords::new(MAX_ORIGINS),
            history: VersionHistory::default(),
            written_at: Moment::default(),
        }
    }

    fn decode(body: &[u8]) -> Result<Self, postcard::Error> {
        let mut stored = Self::none();
        let rest = stored.records.read(body)?;
        (stored.history, stored.written_at) = postcard::from_bytes(rest)?;
        Ok(stored)
    }
}

/// Encodes the records of streams and the history of versions for the disk.
///
/// # Panics
///
/// Never: both always serialize to postcard.
pub(crate) fn encode_origins(
    records: &OriginRecords,
    history: &VersionHistory,
    now: Moment,
) -> Vec<u8> {
    let encoded = postcard::to_extend(&(history, now), records.encode());
    encoded.expect("the history serializes to postcard")
}

/// Reads the disk on a separate thread. If the main thread read a disk that hangs, it
/// could not handle signals, and the process could only be killed.
///
/// # Errors
///
/// Returns an error if the thread ended without a result.
pub(crate) async fn read_stored_state(folder: PathBuf) -> eyre::Result<StoredState> {
    let (tx, rx) = oneshot::channel();
    thread::spawn(move || {
        // The receiver is gone if the process is shutting down.
        let _ = tx.send(read(&folder));
    });
    let mut rx = pin!(rx);
    let mut hanging = false;
    loop {
        match timeout(HANG_TIMEOUT, &mut rx).await {
            Ok(stored) => {
                if hanging {
                    info!(target: "keeper", "disk responds again");
                }
                return stored
                    .map_err(|_| eyre!("the thread that reads the disk ended without a result"));
            }
            Err(_) if hanging => {}
            Err(_) => {
                hanging = true;
                warn!(target: "keeper", "disk does not respond");
            }
        }
    }
}

fn read(folder: &Path) -> StoredState {
    let snapshot = load_snapshot(folder);
    let (sequence, progress) = load(folder, PROGRESS, |body| {
        let mut progress = ProgressBackups::new(PROGRESS_BYTES);
        progress.read(body).map(|()| progress)
    });
    let progress = progress.unwrap_or_else(|| ProgressBackups::new(PROGRESS_BYTES));
    StoredState {
        snapshot,
        progress: (sequence, progress),
        origins: read_origins(folder),
    }
}

fn read_origins(folder: &Path) -> (u64, StoredOrigins) {
    let (sequence, stored) = load(folder, ORIGINS, |body| {
        StoredOrigins::decode(body).map_err(|e| SnapshotError::from(e.to_string()))
    });
    (sequence, stored.unwrap_or_else(StoredOrigins::none))
}
