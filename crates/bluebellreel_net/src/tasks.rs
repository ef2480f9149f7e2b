//! Work that comes again and again.

use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

/// A task that [`every`] started; dropped, it goes on.
pub type Periodic = JoinHandle<()>;

/// Calls `work` once each `span`. After a pause of the process it goes on
/// from the present and does not make up for what it missed.
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
