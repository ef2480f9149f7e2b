//! Detects an event loop that has more work than its processor can do.
//!
//! A task that sleeps wakes up late if other tasks are waiting for their turn. While the
//! loop is saturated, each further connection delays all others; a server that closes it
//! unread lets its caller try another one.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Lag of each sample while the loop is saturated. A caller's first event then comes a
/// quarter of a second late: its request, the worker's answer and the event each wait for
/// a turn.
const SATURATED_LAG: Duration = Duration::from_millis(80);
/// Lag below which the loop is no longer saturated.
const RELIEVED_LAG: Duration = Duration::from_millis(40);
/// Number of late samples in a row that show saturation. A suspended VM and a long
/// calculation delay one.
const MIN_LATE_SAMPLES: u32 = 4;

/// The lag of an event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopLag {
    /// Number of late samples in a row.
    late: u32,
    saturated: bool,
}

impl LoopLag {
    /// Records that the sample that was due at a moment was taken at `now`. Returns whether
    /// that changes [`LoopLag::is_saturated`].
    pub fn note(&mut self, due: Instant, now: Instant) -> bool {
        let lag = now.saturating_duration_since(due);
        let before = self.saturated;
        if lag >= SATURATED_LAG {
            self.late += 1;
            self.saturated |= self.late >= MIN_LATE_SAMPLES;
        } else {
            self.late = 0;
            self.saturated &= lag >= RELIEVED_LAG;
        }
        self.saturated != before
    }

    /// Whether the loop has had more work than it can do for a while.
    #[must_use]
    pub fn is_saturated(&self) -> bool {
        self.saturated
    }
}

/// Samples the lag of the current event loop, in an endless loop. `note` gets the moment
/// that each sample was due.
pub async fn sample_lag(mut note: impl FnMut(Instant)) {
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL;
        sleep_until(due).await;
        note(due);
    }
}
