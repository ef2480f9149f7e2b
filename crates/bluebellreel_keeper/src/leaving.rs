//! How a keeper stops.
//!
//! It visits nobody any more, answers the calls that have come, and writes what
//! it has acknowledged; then it ends. A gateway takes its 200 for kept and does
//! not tell the same again, so it would be lost with the process: items that
//! were half done would run again.

use crate::keeper::Keeper;
use bluebellreel_net::{ConnectionTracker, Stop};
use log::{info, warn};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// Time before the kill at which the process ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(700);
/// Longest wait for calls and visits: a gateway waits 0.6 s for an answer, a body
/// may take 2 s, and a visit has up to three calls.
const CALLS: Duration = Duration::from_millis(2600);
/// Part of the time until the end that calls may take; the rest is the disk's.
const CALLS_PART: f64 = 0.5;
/// Time between looks whether visits are still under way.
const LOOK: Duration = Duration::from_millis(20);

/// The tasks of a keeper.
pub(crate) struct Parts {
    pub(crate) visiting: JoinHandle<()>,
    pub(crate) following: JoinHandle<()>,
    pub(crate) snapshots: JoinHandle<()>,
    pub(crate) progress: JoinHandle<()>,
    pub(crate) stop: Stop,
    pub(crate) served: ConnectionTracker,
}

/// What a keeper had finished when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Connections of gateways that were still open.
    pub calls_cut: usize,
    /// Visits to gateways that were under way.
    pub visits_cut: usize,
    /// Whether what it held of the store is on the disk.
    pub snapshot_kept: bool,
    /// Whether the progress that it had acknowledged is on the disk.
    pub progress_kept: bool,
}

impl Ended {
    /// Whether no call was cut and all is kept. A visit that was cut is made by
    /// others.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.calls_cut == 0 && self.snapshot_kept && self.progress_kept
    }

    /// The end of a keeper that was stopped before it took anything.
    pub(crate) const BEFORE_START: Self = Self {
        calls_cut: 0,
        visits_cut: 0,
        snapshot_kept: true,
        progress_kept: true,
    };
}

/// Finishes what is in progress, and ends before the platform kills.
pub(crate) async fn leave(keeper: &Keeper, parts: Parts) -> Ended {
    let asked_at = Instant::now();
    let left = keeper.grace.get().saturating_sub(BEFORE_KILL);
    let calls_end = asked_at + CALLS.min(left.mul_f64(CALLS_PART));
    parts.visiting.abort();
    parts.following.abort();
    parts.stop.finish();
    info!(target: "keeper", keeper:% = keeper.settings.name, connections = parts.served.open(), visits = keeper.visits.get(); "stopping");
    until_quiet(keeper, &parts.served, calls_end).await;
    // From here on nothing is acknowledged that the last write would not hold.
    keeper.closed.set(true);
    let (calls_cut, visits_cut) = (parts.served.open(), keeper.visits.get());
    keeper.snapshot_due.finish();
    keeper.progress_due.finish();
    let end = asked_at + left;
    // A writer ends only when all is on the disk.
    let snapshot_kept = matches!(timeout_at(end, parts.snapshots).await, Ok(Ok(())));
    let progress_kept = matches!(timeout_at(end, parts.progress).await, Ok(Ok(())));
    let ended = Ended {
        calls_cut,
        visits_cut,
        snapshot_kept,
        progress_kept,
    };
    if calls_cut > 0 {
        warn!(target: "keeper", calls_cut; "calls cut by the stop");
    }
    if !progress_kept {
        let bytes = keeper.progress.borrow().bytes();
        warn!(target: "keeper", bytes; "progress lost by the stop");
    }
    ended
}

/// Waits until no gateway's call and no visit is in progress, at most until then.
async fn until_quiet(keeper: &Keeper, served: &ConnectionTracker, end: Instant) {
    // What is left is counted after it.
    let _ = timeout_at(end, served.wait_closed()).await;
    while keeper.visits.get() > 0 && Instant::now() < end {
        sleep(LOOK).await;
    }
}
