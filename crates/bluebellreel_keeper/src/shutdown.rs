//! Shutdown of a keeper.
//!
//! The keeper starts no new visits, answers the calls in progress, writes what it has
//! acknowledged, and then ends. A gateway treats a 200 as stored and does not send the
//! same progress again. If acknowledged progress were lost, half-finished items would
//! run again from the beginning.

use crate::keeper::Keeper;
use bluebellreel_net::{ConnectionTracker, Stop};
use log::{info, warn};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Time before the kill by the platform at which the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Maximum wait for calls and visits. A gateway waits 0.6 s for an answer, a body may
/// take 2 s, and a visit makes up to three calls.
const MAX_CALL_WAIT: Duration = Duration::from_millis(2600);
/// Share of the remaining time that calls may take; the rest is for the disk.
const CALL_WAIT_SHARE: f64 = 0.5;
/// Time between two checks whether visits are still in progress.
const VISIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Tasks of a keeper and the state of its server.
pub(crate) struct KeeperTasks {
    pub(crate) visitor: JoinHandle<()>,
    pub(crate) settings_watcher: JoinHandle<()>,
    pub(crate) snapshots: JoinHandle<()>,
    pub(crate) progress: JoinHandle<()>,
    pub(crate) origins: JoinHandle<()>,
    pub(crate) stop: Stop,
    pub(crate) served: ConnectionTracker,
}

/// What a keeper had completed when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSummary {
    /// Connections of gateways that were still open.
    pub calls_cut: usize,
    /// Visits to gateways that were still in progress.
    pub visits_cut: usize,
    /// Whether the latest snapshot is on the disk.
    pub snapshot_kept: bool,
    /// Whether all acknowledged progress is on the disk.
    pub progress_kept: bool,
    /// Whether all records of streams are on the disk.
    pub origins_kept: bool,
}

impl StopSummary {
    /// Whether no call was cut off and all data is on the disk. Visits that were cut
    /// off do not count, as other keepers visit the same gateways.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.calls_cut == 0 && self.snapshot_kept && self.progress_kept && self.origins_kept
    }

    /// Summary of a keeper that was stopped before it accepted any data.
    pub(crate) const STOPPED_BEFORE_START: Self = Self {
        calls_cut: 0,
        visits_cut: 0,
        snapshot_kept: true,
        progress_kept: true,
        origins_kept: true,
    };
}

/// Completes the work in progress and ends before the platform kills the process.
pub(crate) async fn shut_down(keeper: &Keeper, tasks: KeeperTasks) -> StopSummary {
    let requested_at = Instant::now();
    let left = keeper.grace.get().saturating_sub(KILL_MARGIN);
    let calls_end = requested_at + MAX_CALL_WAIT.min(left.mul_f64(CALL_WAIT_SHARE));
    tasks.visitor.abort();
    tasks.settings_watcher.abort();
    tasks.stop.finish();
    info!(target: "keeper", keeper:% = keeper.settings.name, connections = tasks.served.open(), visits = keeper.visits.get(); "stopping");
    wait_until_idle(keeper, &tasks.served, calls_end).await;
    // Nothing is acknowledged after this, so the last write contains everything that was.
    keeper.closed.set(true);
    let (calls_cut, visits_cut) = (tasks.served.open(), keeper.visits.get());
    keeper.pending_snapshot.finish();
    keeper.pending_progress.finish();
    keeper.pending_origins.finish();
    let end = requested_at + left;
    // A writer ends only when everything is on the disk.
    let snapshot_kept = matches!(timeout_at(end, tasks.snapshots).await, Ok(Ok(())));
    let progress_kept = matches!(timeout_at(end, tasks.progress).await, Ok(Ok(())));
    let origins_kept = matches!(timeout_at(end, tasks.origins).await, Ok(Ok(())));
    let summary = StopSummary {
        calls_cut,
        visits_cut,
        snapshot_kept,
        progress_kept,
        origins_kept,
    };
    if calls_cut > 0 {
        warn!(target: "keeper", calls_cut; "calls cut off by the shutdown");
    }
    if !progress_kept {
        let bytes = keeper.progress.borrow().bytes();
        warn!(target: "keeper", bytes; "progress lost in the shutdown");
    }
    summary
}

/// Waits until no call of a gateway and no visit is in progress, at most until `end`.
async fn wait_until_idle(keeper: &Keeper, served: &ConnectionTracker, end: Instant) {
    // Remaining connections are counted afterwards.
    let _ = timeout_at(end, served.wait_closed()).await;
    while keeper.visits.get() > 0 && Instant::now() < end {
        sleep(VISIT_CHECK_INTERVAL).await;
    }
}
