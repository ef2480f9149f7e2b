//! Writes to and reads from the keeper's disk.
//!
//! A disk may be full, fail writes or hang for seconds. A separate thread waits for it,
//! so that visits to gateways continue. The stored snapshot is then slightly older,
//! which its confirmation time shows.

use bluebellreel_snapshot::{Snapshot, SnapshotError, newest, write_slot};
use log::warn;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::thread;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Names of a pair of files that are written alternately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotFiles([&'static str; 2]);

/// Files of the snapshot.
pub const SNAPSHOT: SlotFiles = SlotFiles(["snapshot-a", "snapshot-b"]);
/// Files of the progress backups.
pub const PROGRESS: SlotFiles = SlotFiles(["progress-a", "progress-b"]);

/// Files of the records of which versions began streams.
pub const ORIGINS: SlotFiles = SlotFiles(["origins-a", "origins-b"]);

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    /// The data is on stable storage.
    Written,
    /// The disk is full.
    Full,
    /// The write failed for another reason.
    Refused(String),
}

/// A write for the disk thread.
struct WriteRequest {
    sequence: u64,
    body: Vec<u8>,
}

/// Writes to a pair of files on a separate thread, one write at a time.
pub struct Disk {
    requests: std::sync::mpsc::Sender<WriteRequest>,
    outcomes: UnboundedReceiver<DiskOutcome>,
    /// Sequence number of the newest successful write.
    sequence: u64,
    in_progress: bool,
}

impl Disk {
    /// Starts the disk thread for a pair of files. `sequence` is the sequence number of
    /// the newer file.
    #[must_use]
    pub fn start(folder: PathBuf, files: SlotFiles, sequence: u64) -> Self {
        let (requests, queue) = std::sync::mpsc::channel();
        let (tx, outcomes) = unbounded_channel();
        thread::spawn(move || write_all(&folder, files, &queue, &tx));
        Self {
            requests,
            outcomes,
            sequence,
            in_progress: false,
        }
    }

    /// Starts a write. Does nothing while another write is in progress.
    pub fn write(&mut self, body: Vec<u8>) {
        if self.in_progress {
            return;
        }
        // The sequence number selects the file. After a failed write the same number is
        // used again: that file may be torn, and alternating would overwrite the only
        // intact one.
        let request = WriteRequest {
            sequence: self.sequence + 1,
            body,
        };
        // The thread runs as long as `self` exists.
        self.in_progress = self.requests.send(request).is_ok();
    }

    /// Waits until the write in progress ends.
    pub async fn outcome(&mut self) -> Option<DiskOutcome> {
        let outcome = self.outcomes.recv().await;
        self.in_progress = false;
        if outcome == Some(DiskOutcome::Written) {
            self.sequence += 1;
        }
        outcome
    }
}

fn write_all(
    folder: &Path,
    files: SlotFiles,
    queue: &std::sync::mpsc::Receiver<WriteRequest>,
    tx: &UnboundedSender<DiskOutcome>,
) {
    while let Ok(request) = queue.recv() {
        let outcome = match write_one(folder, files, &request) {
            Ok(()) => DiskOutcome::Written,
            Err(e) if e.kind() == ErrorKind::StorageFull => DiskOutcome::Full,
            Err(e) => DiskOutcome::Refused(e.to_string()),
        };
        if tx.send(outcome).is_err() {
            return;
        }
    }
}

/// Overwrites the older file, so that an interrupted write leaves the newer one intact.
fn write_one(folder: &Path, files: SlotFiles, request: &WriteRequest) -> std::io::Result<()> {
    let slot = usize::from(request.sequence % 2 == 1);
    let path = folder.join(files.0[slot]);
    let is_new = !path.exists();
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)?;
    file.write_all(&write_slot(request.sequence, &request.body))?;
    file.sync_data()?;
    if is_new {
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}

/// Reads the newer file of a pair and its sequence number. Unreadable files are logged
/// and skipped: the keeper then starts with less data and gets the rest from gateways.
#[must_use]
pub fn load<T>(
    folder: &Path,
    files: SlotFiles,
    read_body: impl Fn(&[u8]) -> Result<T, SnapshotError>,
) -> (u64, Option<T>) {
    let slots = files.0.map(|name| read(&folder.join(name)));
    let Some((at, sequence, body)) = newest([&slots[0], &slots[1]]) else {
        return (0, None);
    };
    match read_body(body) {
        Ok(read) => (sequence, Some(read)),
        Err(e) => {
            warn!(target: "keeper", path = files.0[at], error:% = e; "snapshot not read");
            (sequence, None)
        }
    }
}

/// Reads the newest snapshot in a folder and its sequence number.
#[must_use]
pub fn load_snapshot(folder: &Path) -> (u64, Snapshot) {
    let (sequence, read) = load(folder, SNAPSHOT, |body| Snapshot::try_from(body));
    (sequence, read.unwrap_or_default())
}

fn read(path: &Path) -> Vec<u8> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(e) => {
            warn!(target: "keeper", path:% = path.display(), error:% = e; "disk read failed");
            return Vec::new();
        }
    };
    if let Err(e) = bluebellreel_snapshot::read_slot(&bytes) {
        warn!(target: "keeper", path:% = path.display(), error:% = e; "snapshot not read");
    }
    bytes
}
