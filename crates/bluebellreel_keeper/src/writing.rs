//! When what a keeper holds goes to its disk.

use crate::disk::{Disk, DiskOutcome};
use crate::keeper::Keeper;
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time after which a snapshot is written again that only got younger: by what a
/// restart would make it older than it is.
const REFRESH: Duration = Duration::from_secs(10);
/// Least time between two writes of a snapshot: a wave of changes is written
/// once.
const GATHER: Duration = Duration::from_millis(200);
/// Least time between two writes of progress. Owners tell it once a second.
const GATHER_PROGRESS: Duration = Duration::from_millis(300);
/// Least time between two writes of which the first failed. A stop that has to
/// end tries some times more.
const AGAIN: Duration = Duration::from_millis(100);
/// Time without an end after which a write counts as hanging.
const HANGS: Duration = Duration::from_secs(1);

/// Something that is not on the disk yet.
#[derive(Default)]
pub(crate) struct Due {
    changed: Cell<bool>,
    last: Cell<bool>,
    wake: Notify,
}

impl Due {
    /// There is something new.
    pub(crate) fn note(&self) {
        self.changed.set(true);
        self.wake.notify_one();
    }

    /// Nothing new comes after this: what there is is written without a rest,
    /// and then the writing ends.
    pub(crate) fn finish(&self) {
        self.last.set(true);
        self.wake.notify_one();
    }

    /// Waits until something is new, at most for `longest`; whether it is.
    async fn wait(&self, longest: Duration) -> bool {
        if !self.changed.get() && !self.last.get() {
            // A timeout is the next look.
            let _ = timeout(longest, self.wake.notified()).await;
        }
        self.changed.get()
    }

    /// Rests until then, or until nothing new comes.
    async fn rest_until(&self, end: Instant) {
        while !self.last.get() && Instant::now() < end {
            // What is new meanwhile is seen by the next wait.
            let _ = timeout_at(end, self.wake.notified()).await;
        }
    }

    fn is_over(&self) -> bool {
        self.last.get() && !self.changed.get()
    }

    /// Writes what is due then. What was not written stays due: it has been
    /// acknowledged, and nobody may tell it again.
    async fn write(&self, disk: &mut Disk, gather: Duration, encode: impl FnOnce() -> Vec<u8>) {
        self.rest_until(Instant::now() + gather).await;
        self.changed.set(false);
        if write(disk, encode()).await != DiskOutcome::Written {
            self.changed.set(true);
            self.rest_until(Instant::now() + REFRESH).await;
            sleep(AGAIN).await;
        }
    }
}

/// Writes the snapshot whenever it has changed, until nothing new comes.
pub(crate) async fn write_snapshots(keeper: Rc<Keeper>, mut disk: Disk) {
    let due = &keeper.snapshot_due;
    let mut written = None;
    while !due.is_over() {
        let changed = due.wait(REFRESH).await;
        let confirmed_at = keeper.snapshot.borrow().confirmed_at();
        if !changed && confirmed_at == written {
            continue;
        }
        written = confirmed_at;
        let encode = || keeper.snapshot.borrow().encode();
        due.write(&mut disk, GATHER, encode).await;
    }
}

/// Writes the progress of items whenever it has changed, until nothing new
/// comes.
pub(crate) async fn write_progress(keeper: Rc<Keeper>, mut disk: Disk) {
    let due = &keeper.progress_due;
    while !due.is_over() {
        let forgot = keeper.progress.borrow_mut().sweep(keeper.now());
        if !due.wait(REFRESH).await && !forgot {
            continue;
        }
        let encode = || keeper.progress.borrow().encode();
        due.write(&mut disk, GATHER_PROGRESS, encode).await;
    }
}

/// Writes to the disk and waits for it, and tells what came of it.
async fn write(disk: &mut Disk, body: Vec<u8>) -> DiskOutcome {
    let bytes = body.len();
    disk.write(body);
    let mut hangs = false;
    let outcome = loop {
        match timeout(HANGS, disk.outcome()).await {
            Ok(Some(outcome)) => break outcome,
            Ok(None) => break DiskOutcome::Refused("its thread has ended".into()),
            Err(_) => {
                if !std::mem::replace(&mut hangs, true) {
                    warn!(target: "keeper", bytes; "disk hangs");
                }
            }
        }
    };
    match &outcome {
        DiskOutcome::Written if hangs => info!(target: "keeper", bytes; "disk answers again"),
        DiskOutcome::Written => {}
        DiskOutcome::Full => warn!(target: "keeper", bytes; "disk full"),
        DiskOutcome::Refused(reason) => {
            warn!(target: "keeper", bytes, error = reason.as_str(); "disk refuses a write");
        }
    }
    outcome
}
