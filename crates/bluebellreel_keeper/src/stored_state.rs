//! State on the keeper's disk at its start.

use crate::disk::{ORIGINS, PROGRESS, load, load_snapshot};
use crate::keeper::Keeper;
use crate::origin_log::{LogEnd, read_log};
use bluebellreel_origins::{OriginRecords, VersionHistory};
use bluebellreel_snapshot::{ProgressBackups, Snapshot, SnapshotError};
use bluebellreel_types::Moment;
use eyre::eyre;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Limit of all progress backups: the progress of thousands of half-finished items. Disks of
/// keepers have at least 310 MB.
const PROGRESS_BYTES: usize = 32 * 1024 * 1024;
/// Fraction of the machine's memory that progress backups may take. As much is needed twice more
/// while they are encoded for the disk.
const PROGRESS_FRACTION: usize = 8;
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
    /// Since when all acknowledged records were kept; none without a checkpoint.
    pub(crate) records_since: Option<Moment>,
    pub(crate) keepers: Vec<SocketAddr>,
    /// The generation of the log that began with the checkpoint.
    pub(crate) checkpointed: u64,
    pub(crate) log_end: LogEnd,
}

/// Decodes a part that checkpoints of an earlier build lack. Also returns the rest.
fn take_or_default<'a, T: Deserialize<'a> + Default>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

/// The part of a checkpoint on the log.
#[derive(Default, Serialize, Deserialize)]
struct LogState {
    generation: u64,
    records_since: Moment,
    keepers: Vec<SocketAddr>,
}

impl StoredOrigins {
    fn none() -> Self {
        Self {
            records: OriginRecords::new(MAX_ORIGINS),
            history: VersionHistory::default(),
            written_at: Moment::default(),
            records_since: None,
            keepers: Vec::new(),
            checkpointed: 0,
            log_end: LogEnd::default(),
        }
    }

    fn decode(body: &[u8]) -> Result<Self, postcard::Error> {
        let mut stored = Self::none();
        let rest = stored.records.read(body)?;
        let ((history, written_at), rest) = postcard::take_from_bytes(rest)?;
        (stored.history, stored.written_at) = (history, written_at);
        let (log, rest) = take_or_default::<LogState>(rest)?;
        let (proven, _) = take_or_default(rest)?;
        stored.history.restore_proven(proven);
        stored.records_since = Some(log.records_since);
        stored.keepers = log.keepers;
        stored.checkpointed = log.generation;
        Ok(stored)
    }
}

/// Encodes a checkpoint: the records of streams, the history of versions, and where the log
/// goes on.
///
/// # Panics
///
/// Never: all parts serialize to postcard.
pub(crate) fn encode_origins(keeper: &Keeper) -> Vec<u8> {
    let log = LogState {
        generation: keeper.log_generation.get(),
        records_since: keeper.records_since,
        keepers: keeper.keepers.borrow().addresses().collect(),
    };
    let versions = keeper.versions.borrow();
    let rest = (&*versions, keeper.now(), log, versions.proven());
    let encoded = postcard::to_extend(&rest, keeper.origins.borrow().encode());
    encoded.expect("a checkpoint serializes to postcard")
}

/// Reads the disk on a separate thread. If the main thread read a disk that hangs, it
/// could not handle signals, and the process could only be killed. `memory` is that of the
/// machine in bytes.
///
/// # Errors
///
/// Returns an error if the thread ended without a result.
pub(crate) async fn read_stored_state(folder: PathBuf, memory: usize) -> eyre::Result<StoredState> {
    let (tx, rx) = oneshot::channel();
    thread::spawn(move || {
        // The receiver is gone if the process is shutting down.
        let _ = tx.send(read(&folder, memory));
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

fn read(folder: &Path, memory: usize) -> StoredState {
    let progress_bytes = PROGRESS_BYTES.min(memory / PROGRESS_FRACTION);
    let snapshot = load_snapshot(folder);
    let (sequence, progress) = load(folder, PROGRESS, |body| {
        let mut progress = ProgressBackups::new(progress_bytes);
        progress.read(body).map(|()| progress)
    });
    let progress = progress.unwrap_or_else(|| ProgressBackups::new(progress_bytes));
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
    let mut stored = stored.unwrap_or_else(StoredOrigins::none);
    let (entries, end) = read_log(folder, stored.checkpointed);
    for (origin, expires_at) in entries {
        let records = &mut stored.records;
        records.keep(origin.stream, &origin.version, expires_at);
    }
    stored.log_end = end;
    (sequence, stored)
}
