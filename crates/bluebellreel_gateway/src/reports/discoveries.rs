//! Bounds the log lines about peers that were discovered: when a fleet starts, each daemon
//! discovers all others.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Period over which discoveries are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of discoveries per period that are logged one by one.
const MAX_LOGGED: usize = 8;

/// Number of peers discovered in the current period, which begins with a discovery.
#[derive(Debug, Default)]
pub(crate) struct Discoveries {
    count: usize,
    ends_at: Moment,
}

impl Discoveries {
    /// Counts a discovery. Returns whether it is to be logged by itself.
    pub(super) fn note(&mut self, now: Moment) -> bool {
        if self.count == 0 {
            self.ends_at = now + PERIOD;
        }
        self.count += 1;
        self.count <= MAX_LOGGED
    }

    /// Ends the period if it is over. Returns the number of discoveries that were not
    /// logged by themselves, if there are any.
    pub(crate) fn take_unlogged(&mut self, now: Moment) -> Option<usize> {
        if self.count == 0 || !self.ends_at.is_past(now) {
            return None;
        }
        let count = std::mem::take(&mut self.count);
        count
            .checked_sub(MAX_LOGGED)
            .filter(|unlogged| *unlogged > 0)
    }
}
