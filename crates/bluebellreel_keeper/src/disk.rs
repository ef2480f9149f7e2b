//! The keeper's disk.
//!
//! A disk may be full, refuse writes or hang for seconds. A thread of its own
//! waits for it, so that gateways are visited meanwhile; what it holds is a
//! moment older then, which its age says.

use bluebellreel_snapshot::{Snapshot, SnapshotError, newest, write_slot};
use log::warn;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::thread;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A pair of files that are written by turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair([&'static str; 2]);

/// What gateways know of the store.
pub const SNAPSHOT: Pair = Pair(["snapshot-a", "snapshot-b"]);
/// How far the items of jobs are.
pub const PROGRESS: Pair = Pair(["progress-a", "progress-b"]);

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    /// It lasts.
    Written,
    /// There is no room.
    Full,
    /// The disk refuses it.
    Refused(String),
}

/// A snapshot on its way to the disk.
struct Order {
    count: u64,
    body: Vec<u8>,
}

/// Writes snapshots, one after the other, on a thread of its own.
pub struct Disk {
    orders: std::sync::mpsc::Sender<Order>,
    outcomes: UnboundedReceiver<DiskOutcome>,
    /// Count of the newest that lasts.
    count: u64,
    underway: bool,
}

impl Disk {
    /// Writes to a pair of files from now on; `count` is that of the newer one.
    #[must_use]
    pub fn start(folder: PathBuf, pair: Pair, count: u64) -> Self {
        let (orders, due) = std::sync::mpsc::channel();
        let (tx, outcomes) = unbounded_channel();
        thread::spawn(move || write_all(&folder, pair, &due, &tx));
        Self {
            orders,
            outcomes,
            count,
            underway: false,
        }
    }

    /// Begins a write. Nothing, while one is under way.
    pub fn write(&mut self, body: Vec<u8>) {
        if self.underway {
            return;
        }
        // After a write that failed, the same place again: it is torn, and going
        // on by turns would write over the only one that is whole.
        let order = Order {
            count: self.count + 1,
            body,
        };
        // The thread lives as long as this does.
        self.underway = self.orders.send(order).is_ok();
    }

    /// Waits for the end of the write under way.
    pub async fn outcome(&mut self) -> Option<DiskOutcome> {
        let outcome = self.outcomes.recv().await;
        self.underway = false;
        if outcome == Some(DiskOutcome::Written) {
            self.count += 1;
        }
        outcome
    }
}

fn write_all(
    folder: &Path,
    pair: Pair,
    due: &std::sync::mpsc::Receiver<Order>,
    tx: &UnboundedSender<DiskOutcome>,
) {
    while let Ok(order) = due.recv() {
        let outcome = match write_one(folder, pair, &order) {
            Ok(()) => DiskOutcome::Written,
            Err(e) if e.kind() == ErrorKind::StorageFull => DiskOutcome::Full,
            Err(e) => DiskOutcome::Refused(e.to_string()),
        };
        if tx.send(outcome).is_err() {
            return;
        }
    }
}

/// Writes over the older of the two places, so that a write which is cut leaves
/// the newer one whole.
fn write_one(folder: &Path, pair: Pair, order: &Order) -> std::io::Result<()> {
    let slot = usize::from(order.count % 2 == 1);
    let path = folder.join(pair.0[slot]);
    let is_new = !path.exists();
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)?;
    file.write_all(&write_slot(order.count, &order.body))?;
    file.sync_data()?;
    if is_new {
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}

/// Reads the newer of a pair, with its count. What cannot be read is told of and
/// passed over: the keeper begins with less, which gateways bring.
#[must_use]
pub fn load<T>(
    folder: &Path,
    pair: Pair,
    read_body: impl Fn(&[u8]) -> Result<T, SnapshotError>,
) -> (u64, Option<T>) {
    let slots = pair.0.map(|name| read(&folder.join(name)));
    let Some((at, count, body)) = newest([&slots[0], &slots[1]]) else {
        return (0, None);
    };
    match read_body(body) {
        Ok(read) => (count, Some(read)),
        Err(e) => {
            warn!(target: "keeper", path = pair.0[at], error:% = e; "snapshot not read");
            (count, None)
        }
    }
}

/// Reads the newest snapshot of a folder, with its count.
#[must_use]
pub fn load_snapshot(folder: &Path) -> (u64, Snapshot) {
    let (count, read) = load(folder, SNAPSHOT, |body| Snapshot::try_from(body));
    (count, read.unwrap_or_default())
}

fn read(path: &Path) -> Vec<u8> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(e) => {
            warn!(target: "keeper", path:% = path.display(), error:% = e; "disk not read");
            return Vec::new();
        }
    };
    if let Err(e) = bluebellreel_snapshot::read_slot(&bytes) {
        warn!(target: "keeper", path:% = path.display(), error:% = e; "snapshot not read");
    }
    bytes
}
