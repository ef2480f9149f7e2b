//! Decides when the keeper's state is written to its disk.

use crate::disk::{Disk, DiskOutcome};
use crate::keeper::Keeper;
use crate::stored_state::encode_origins;
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Interval at which the snapshot is written although only its confirmation time has
/// changed. After a restart, the snapshot may look older than it is by this time.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// The same for the history of versions, which says less the longer ago the list of workers was
/// known to be complete.
const ORIGINS_REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum time between two writes of the snapshot, so that a burst of changes is
/// written once.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two writes of progress backups. Owners send them once a second.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_millis(300);
/// The same for a write whose sender waits for it.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum time between two checkpoints of the records of streams. Between them, records are
/// appended to the log.
const MIN_ORIGINS_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay after a failed write. A shutdown, which skips longer delays, retries
/// several times within its deadline.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without an outcome after which a write counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(1);

/// State that is not on the disk yet.
#[derive(Default)]
pub(crate) struct PendingWrite {
    changed: Cell<bool>,
    /// Whether the sender of a change waits until it is on the disk.
    urgent: Cell<bool>,
    finishing: Cell<bool>,
    wake: Notify,
    /// Number of changes so far, and of those that are on the disk.
    changes: Cell<u64>,
    written: watch::Sender<u64>,
}

impl PendingWrite {
    /// Marks the state as changed.
    pub(crate) fn mark_changed(&self) {
        self.changed.set(true);
        self.changes.update(|n| n + 1);
        self.wake.notify_one();
    }

    /// Waits until all changes so far are on the disk, at most for `max_wait`. Returns whether
    /// they are. The next write is made sooner than usual.
    pub(crate) async fn written(&self, max_wait: Duration) -> bool {
        self.urgent.set(true);
        self.wake.notify_one();
        let changes = self.changes.get();
        let mut written = self.written.subscribe();
        let wait = timeout(max_wait, written.wait_for(|n| *n >= changes));
        matches!(wait.await, Ok(Ok(_)))
    }

    /// Signals that no more changes follow. Pending changes are written without delay,
    /// and then the writer ends.
    pub(crate) fn finish(&self) {
        self.finishing.set(true);
        self.wake.notify_one();
    }

    /// Waits for a change, at most for `max_wait`. Returns whether there is one.
    async fn wait(&self, max_wait: Duration) -> bool {
        if !self.changed.get() && !self.finishing.get() {
            // After a timeout the caller checks again.
            let _ = timeout(max_wait, self.wake.notified()).await;
        }
        self.changed.get()
    }

    /// Waits until `end`, or until `finish` is called or, if it `may_be_urgent`, a write is
    /// urgent.
    async fn pause_until(&self, end: Instant, may_be_urgent: bool) {
        let is_due = || self.finishing.get() || (may_be_urgent && self.urgent.get());
        while !is_due() && Instant::now() < end {
            // Changes that arrive meanwhile are seen by the next `wait`.
            let _ = timeout_at(end, self.wake.notified()).await;
        }
    }

    fn is_finished(&self) -> bool {
        self.finishing.get() && !self.changed.get()
    }

    /// Writes the state after `delay`. If the write fails, the state stays pending: it
    /// has been acknowledged, and its sender may not send it again. Returns whether the write
    /// has succeeded.
    async fn write(
        &self,
        disk: &mut Disk,
        delay: Duration,
        encode: impl FnOnce() -> Vec<u8>,
    ) -> bool {
        let began = Instant::now();
        self.pause_until(began + MIN_URGENT_INTERVAL.min(delay), false)
            .await;
        self.pause_until(began + delay, true).await;
        self.changed.set(false);
        self.urgent.set(false);
        let changes = self.changes.get();
        let is_written = write(disk, encode()).await == DiskOutcome::Written;
        if is_written {
            self.written.send_replace(changes);
        } else {
            self.changed.set(true);
            self.pause_until(Instant::now() + REFRESH_INTERVAL, false)
                .await;
            sleep(RETRY_DELAY).await;
        }
        is_written
    }
}

/// Writes the snapshot whenever it has changed, until `finish` is called and everything
/// is written.
pub(crate) async fn write_snapshots(keeper: Rc<Keeper>, mut disk: Disk) {
    let pending = &keeper.pending_snapshot;
    let mut written = None;
    while !pending.is_finished() {
        let changed = pending.wait(REFRESH_INTERVAL).await;
        let confirmed_at = keeper.snapshot.borrow().confirmed_at();
        if !changed && confirmed_at == written {
            continue;
        }
        written = confirmed_at;
        let encode = || keeper.snapshot.borrow().encode();
        pending
            .write(&mut disk, MIN_SNAPSHOT_INTERVAL, encode)
            .await;
    }
}

/// Writes the progress backups whenever they have changed, until `finish` is called and
/// everything is written.
pub(crate) async fn write_progress(keeper: Rc<Keeper>, mut disk: Disk) {
    let pending = &keeper.pending_progress;
    while !pending.is_finished() {
        let evicted = keeper.progress.borrow_mut().sweep(keeper.now());
        if !pending.wait(REFRESH_INTERVAL).await && !evicted {
            continue;
        }
        let encode = || keeper.progress.borrow().encode();
        pending
            .write(&mut disk, MIN_PROGRESS_INTERVAL, encode)
            .await;
    }
}

/// Writes checkpoints of the records of streams and the history of versions whenever the
/// history has changed, and at intervals, as only a recent history is continued after a
/// restart and as the log grows. Ends when `finish` is called and everything is written.
///
/// `checkpointed` is the generation of the log that began with the last checkpoint.
pub(crate) async fn write_origins(keeper: Rc<Keeper>, mut disk: Disk, mut checkpointed: u64) {
    let pending = &keeper.pending_origins;
    while !pending.is_finished() {
        keeper.origins.borrow_mut().sweep(keeper.now());
        if !pending.wait(ORIGINS_REFRESH_INTERVAL).await && pending.is_finished() {
            continue;
        }
        let encode = || {
            let generation = &keeper.log_generation;
            if checkpointed == generation.get() {
                // The older one of the two files is not needed any more.
                generation.set(generation.get() + 1);
            }
            encode_origins(&keeper)
        };
        if pending.write(&mut disk, MIN_ORIGINS_INTERVAL, encode).await {
            checkpointed = keeper.log_generation.get();
        }
    }
}

/// Writes to the disk, waits for the outcome and logs failures.
async fn write(disk: &mut Disk, body: Vec<u8>) -> DiskOutcome {
    let bytes = body.len();
    disk.write(body);
    let mut hanging = false;
    let outcome = loop {
        match timeout(HANG_TIMEOUT, disk.outcome()).await {
            Ok(Some(outcome)) => break outcome,
            Ok(None) => break DiskOutcome::Refused("disk thread has ended".into()),
            Err(_) => {
                if !std::mem::replace(&mut hanging, true) {
                    warn!(target: "keeper", bytes; "disk does not respond");
                }
            }
        }
    };
    match &outcome {
        DiskOutcome::Written if hanging => info!(target: "keeper", bytes; "disk responds again"),
        DiskOutcome::Written => {}
        DiskOutcome::Full => warn!(target: "keeper", bytes; "disk full"),
        DiskOutcome::Refused(reason) => {
            warn!(target: "keeper", bytes, error = reason.as_str(); "disk write failed");
        }
    }
    outcome
}
