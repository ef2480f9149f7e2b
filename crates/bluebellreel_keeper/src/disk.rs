//! The keeper's disk.
//!
//! A disk may be full, refuse writes or hang for seconds. A thread of its own
//! waits for it, so that gateways are visited meanwhile; what it holds is a
//! moment older then, which its age says.

use bluebellreel_snapshot::{Snapshot, newest, write_slot};
use log::warn;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::thread;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The two files that are written by turns.
const SLOTS: [&str; 2] = ["snapshot-a", "snapshot-b"];

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
    count: u64,
    underway: bool,
}

impl Disk {
    /// Writes to a folder from now on; `count` is that of the newest snapshot
    /// there.
    #[must_use]
    pub fn start(folder: PathBuf, count: u64) -> Self {
        let (orders, due) = std::sync::mpsc::channel();
        let (tx, outcomes) = unbounded_channel();
        thread::spawn(move || write_all(&folder, &due, &tx));
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
        self.count += 1;
        let order = Order {
            count: self.count,
            body,
        };
        // The thread lives as long as this does.
        self.underway = self.orders.send(order).is_ok();
    }

    /// Waits for the end of the write under way.
    pub async fn outcome(&mut self) -> Option<DiskOutcome> {
        let outcome = self.outcomes.recv().await;
        self.underway = false;
        outcome
    }
}

fn write_all(
    folder: &Path,
    due: &std::sync::mpsc::Receiver<Order>,
    tx: &UnboundedSender<DiskOutcome>,
) {
    while let Ok(order) = due.recv() {
        let outcome = match write_one(folder, &order) {
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
fn write_one(folder: &Path, order: &Order) -> std::io::Result<()> {
    let slot = usize::from(order.count % 2 == 1);
    let path = folder.join(SLOTS[slot]);
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

/// Reads the newest snapshot of a folder, with its count. What cannot be read is
/// told of and passed over: the keeper begins with less, which gateways bring.
#[must_use]
pub fn load(folder: &Path) -> (u64, Snapshot) {
    let slots = SLOTS.map(|name| read(&folder.join(name)));
    let Some((at, count, body)) = newest([&slots[0], &slots[1]]) else {
        return (0, Snapshot::default());
    };
    match Snapshot::try_from(body) {
        Ok(snapshot) => (count, snapshot),
        Err(e) => {
            warn!(target: "keeper", path = SLOTS[at], error:% = e; "snapshot not read");
            (count, Snapshot::default())
        }
    }
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
