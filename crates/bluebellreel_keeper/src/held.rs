//! What a keeper has on its disk when it starts.

use crate::disk::{PROGRESS, load, load_snapshot};
use bluebellreel_snapshot::{ProgressBackups, Snapshot};
use eyre::eyre;
use log::{info, warn};
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Bytes of progress that are kept: some thousand items half done. Keepers' VMs
/// have 130 MB and more, and disks of 310 MB and more.
const PROGRESS_BYTES: usize = 32 * 1024 * 1024;
/// Time without an end after which the disk counts as hanging.
const HANGS: Duration = Duration::from_secs(1);

/// What was read, each with the count of its last write.
pub(crate) struct Held {
    pub(crate) snapshot: (u64, Snapshot),
    pub(crate) progress: (u64, ProgressBackups),
}

/// Reads the disk on a thread of its own: one that hangs would keep the signals
/// from the loop, and the process could only be killed.
///
/// # Errors
///
/// If the thread has ended without an answer.
pub(crate) async fn read_held(folder: PathBuf) -> eyre::Result<Held> {
    let (tx, rx) = oneshot::channel();
    thread::spawn(move || {
        // Nobody waits any more when the process is stopping.
        let _ = tx.send(read(&folder));
    });
    let mut rx = pin!(rx);
    let mut hangs = false;
    loop {
        match timeout(HANGS, &mut rx).await {
            Ok(held) => {
                if hangs {
                    info!(target: "keeper", "disk answers again");
                }
                return held.map_err(|_| eyre!("the disk was not read"));
            }
            Err(_) if hangs => {}
            Err(_) => {
                hangs = true;
                warn!(target: "keeper", "disk hangs");
            }
        }
    }
}

fn read(folder: &Path) -> Held {
    let snapshot = load_snapshot(folder);
    let (count, progress) = load(folder, PROGRESS, |body| {
        let mut progress = ProgressBackups::new(PROGRESS_BYTES);
        progress.read(body).map(|()| progress)
    });
    let progress = progress.unwrap_or_else(|| ProgressBackups::new(PROGRESS_BYTES));
    Held {
        snapshot,
        progress: (count, progress),
    }
}
