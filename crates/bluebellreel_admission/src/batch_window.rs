//! How many batch attempts may stand at the engine beside online ones.
//!
//! Without online work the whole window belongs to batch: idle capacity lasts
//! only seconds. Beside online work the share grows by addition while online
//! streams keep their pace, and is cut by a factor when they do not.

use crate::Lean;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Between two steps of growth.
const GROW_PERIOD: Duration = Duration::from_millis(50);
/// Between two cuts, so that one slow step is not punished twice.
const CUT_PERIOD: Duration = Duration::from_millis(100);
/// Share of the target at which growth stops, in percent.
const GROW_BELOW_PERCENT: u32 = 90;

/// The controller's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BatchWindow {
    full: u32,
    beside_online: u32,
    lean: Lean,
    grow_at: Moment,
    cut_at: Moment,
}

impl BatchWindow {
    /// Starts with the whole window open.
    #[must_use]
    pub fn new(full: u32, lean: Lean) -> Self {
        Self {
            full,
            beside_online: full,
            lean,
            grow_at: Moment(0),
            cut_at: Moment(0),
        }
    }

    /// Most batch attempts while `online` online ones run or wait.
    #[must_use]
    pub fn allowed(&self, online: u32) -> u32 {
        let free = self.full.saturating_sub(online);
        if online == 0 {
            free
        } else {
            free.min(self.beside_online)
        }
    }

    /// Takes in one time between tokens of an online stream.
    pub fn note_online_pace(&mut self, measured: Duration, target: Duration, now: Moment) {
        if measured > target {
            self.cut(now);
        } else if measured < target * GROW_BELOW_PERCENT / 100 {
            self.grow(now);
        }
    }

    fn cut(&mut self, now: Moment) {
        if !self.cut_at.is_past(now) {
            return;
        }
        let (kept, of) = match self.lean {
            Lean::Throughput => (3, 4),
            Lean::Tail => (1, 2),
        };
        self.beside_online = self.beside_online * kept / of;
        self.cut_at = now + CUT_PERIOD;
        self.grow_at = now + CUT_PERIOD;
    }

    fn grow(&mut self, now: Moment) {
        if !self.grow_at.is_past(now) {
            return;
        }
        self.beside_online = (self.beside_online + 1).min(self.full);
        self.grow_at = now + GROW_PERIOD;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slow_online_tokens_cut_the_batch_share() {
        let mut window = BatchWindow::new(32, Lean::Tail);
        let target = Duration::from_millis(10);
        window.note_online_pace(target * 2, target, Moment(0));
        assert_eq!(window.allowed(1), 16);
        assert_eq!(window.allowed(0), 32);
    }

    #[test]
    fn fast_online_tokens_let_the_share_grow_back() {
        let mut window = BatchWindow::new(32, Lean::Tail);
        let target = Duration::from_millis(10);
        window.note_online_pace(target * 2, target, Moment(0));
        let later = Moment(0) + CUT_PERIOD;
        window.note_online_pace(target / 2, target, later);
        window.note_online_pace(target / 2, target, later);
        assert_eq!(window.allowed(1), 17);
    }
}
