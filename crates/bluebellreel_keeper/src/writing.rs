//! When what a keeper holds goes to its disk.

use crate::disk::{Disk, DiskOutcome};
use crate::keeper::Keeper;
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Time after which a snapshot is written again that only got younger: by what a
/// restart would make it older than it is.
const REFRESH: Duration = Duration::from_secs(10);
/// Least time between two writes of a snapshot: a wave of changes is written
/// once.
const GATHER: Duration = Duration::from_millis(200);
/// Least time between two writes of progress. Owners tell it once a second.
const GATHER_PROGRESS: Duration = Duration::from_millis(300);
/// Time without an end after which a write counts as hanging.
const HANGS: Duration = Duration::from_secs(1);

/// Something that is not on the disk yet.
#[derive(Default)]
pub(crate) struct Due {
    changed: Cell<bool>,
    wake: Notify,
}

impl Due {
    /// There is something new.
    pub(crate) fn note(&self) {
        self.changed.set(true);
        self.wake.notify_one();
    }

    /// Waits until something is new, at most for `longest`; whether it is.
    async fn wait(&self, longest: Duration) -> bool {
        if !self.changed.get() {
            // A timeout is the next look.
            let _ = timeout(longest, self.wake.notified()).await;
        }
        self.changed.get()
    }
}

/// Writes the snapshot whenever it has changed, for ever.
pub(crate) async fn write_snapshots(keeper: Rc<Keeper>, mut disk: Disk) {
    let mut written = None;
    loop {
        let changed = keeper.snapshot_due.wait(REFRESH).await;
        let confirmed_at = keeper.snapshot.borrow().confirmed_at();
        if !changed && confirmed_at == written {
            continue;
        }
        sleep(GATHER).await;
        keeper.snapshot_due.changed.set(false);
        let body = keeper.snapshot.borrow().encode();
        written = confirmed_at;
        if write(&mut disk, body).await != DiskOutcome::Written {
            keeper.snapshot_due.changed.set(true);
            sleep(REFRESH).await;
        }
    }
}

/// Writes the progress of items whenever it has changed, for ever.
pub(crate) async fn write_progress(keeper: Rc<Keeper>, mut disk: Disk) {
    loop {
        let forgot = keeper.progress.borrow_mut().sweep(keeper.now());
        if !keeper.progress_due.wait(REFRESH).await && !forgot {
            continue;
        }
        sleep(GATHER_PROGRESS).await;
        keeper.progress_due.changed.set(false);
        let body = keeper.progress.borrow().encode();
        if write(&mut disk, body).await != DiskOutcome::Written {
            // Nothing is lost but with this process; owners tell more soon.
            sleep(REFRESH).await;
        }
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
