//! Items of jobs under which workers have crashed.
//!
//! An item is owed until a worker has said that it cannot be done, so crashes delay it only
//! until workers are calm: a fixed time after the last crash under it, however many there
//! were. A daemon runs few such items at a time, more with each that a worker gets ahead
//! with, and one again after the next crash.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Time after the last crash under an item after which it may run again. Other workers have
/// taken over by then, and those that were killed with its worker are known.
const CALM_PERIOD: Duration = Duration::from_secs(1);

/// Whether an item may be sent to a worker, by the crashes under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemStatus {
    /// Few crashes are attributed to it.
    Clear,
    /// It may run since this moment, beside few others like it.
    OnTrial(Moment),
    /// It waits until this moment.
    Waiting(Moment),
}

impl ItemStatus {
    /// The status of an item after enough crashes, of which the last one was at a moment.
    pub(crate) fn after_crash(last: Moment, now: Moment) -> Self {
        let calm_at = last + CALM_PERIOD;
        if calm_at.is_past(now) {
            Self::OnTrial(calm_at)
        } else {
            Self::Waiting(calm_at)
        }
    }
}

/// How many items on trial a daemon may run at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemTrials {
    limit: u32,
    running: u32,
}

impl Default for ItemTrials {
    fn default() -> Self {
        Self {
            limit: 1,
            running: 0,
        }
    }
}

impl ItemTrials {
    /// Whether one more may begin.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.running < self.limit
    }

    /// Records that one has begun.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Records that one has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that a worker has got ahead with one.
    pub fn progressed(&mut self) {
        self.limit = self.limit.saturating_add(1);
    }

    /// Records that a worker has crashed under one.
    pub fn crashed(&mut self) {
        self.limit = 1;
    }
}
