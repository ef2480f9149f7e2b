//! Periodic tasks.

use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

/// Handle of a task started by [`every`]. Dropping it does not stop the task.
pub type Periodic = JoinHandle<()>;

/// Calls `work` once per `span`. Calls missed while the process was suspended are
/// skipped.
pub fn every(span: Duration, mut work: impl FnMut() + 'static) -> Periodic {
    tokio::task::spawn_local(async move {
        let mut ticks = interval_at(Instant::now() + span, span);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            work();
        }
    })
}
