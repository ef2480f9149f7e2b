//! How many batch attempts may stand at the engine beside online ones.
//!
//! Without online work the whole window belongs to batch: idle capacity lasts
//! only seconds. Beside online work the share grows by addition while online
//! streams keep their pace, and is cut by a factor when they do not. The pace
//! to keep is learned: a little above the best that this engine has shown, and
//! never above the target of the settings.

use crate::Priority;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Between two steps of growth.
const GROW_PERIOD: Duration = Duration::from_millis(100);
/// Between two cuts, so that one slow step is not punished twice.
const CUT_PERIOD: Duration = Duration::from_millis(60);
/// Time in which the best pace is forgotten by a hundredth, so that an engine
/// that has become slower for good is not held to what it once was.
const FORGET_PERIOD: Duration = Duration::from_secs(1);
/// Part of the whole window that batch starts with beside online work.
const FIRST_SHARE: u32 = 8;

/// The controller's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BatchWindow {
    full: u32,
    beside_online: u32,
    priority: Priority,
    best: Duration,
    forget_at: Moment,
    grow_at: Moment,
    cut_at: Moment,
}

impl BatchWindow {
    /// Starts with the whole window open.
    #[must_use]
    pub fn new(full: u32, priority: Priority) -> Self {
        Self {
            full,
            beside_online: full / FIRST_SHARE,
            priority,
            best: Duration::ZERO,
            forget_at: Moment(0),
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
        self.learn(measured, now);
        if measured > self.limit().min(target) {
            self.cut(now);
        } else {
            self.grow(now);
        }
    }

    fn learn(&mut self, measured: Duration, now: Moment) {
        if self.best.is_zero() || measured < self.best {
            self.best = measured;
        }
        if self.forget_at.is_past(now) {
            self.best += self.best / 100;
            self.forget_at = now + FORGET_PERIOD;
        }
    }

    /// The pace above which batch has to give way: what the deployment lets
    /// online pay for batch, in hundredths of the best pace.
    fn limit(&self) -> Duration {
        let hundredths = match self.priority {
            Priority::Throughput => 4,
            Priority::Tail => 2,
        };
        self.best + self.best * hundredths / 100
    }

    fn cut(&mut self, now: Moment) {
        if !self.cut_at.is_past(now) {
            return;
        }
        let (kept, of) = match self.priority {
            Priority::Throughput => (3, 4),
            Priority::Tail => (1, 2),
        };
        self.beside_online = self.beside_online * kept / of;
        self.cut_at = now + CUT_PERIOD;
        self.grow_at = now + GROW_PERIOD;
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

    const BEST: Duration = Duration::from_millis(10);

    fn window() -> BatchWindow {
        let mut window = BatchWindow::new(32, Priority::Tail);
        window.note_online_pace(BEST, BEST * 4, Moment(0));
        window
    }

    #[test]
    fn slow_online_tokens_cut_the_batch_share() {
        let mut window = window();
        let before = window.allowed(1);
        window.note_online_pace(BEST * 11 / 10, BEST * 4, Moment(0) + CUT_PERIOD);
        assert_eq!(window.allowed(1), before / 2);
        assert_eq!(window.allowed(0), 32, "idle capacity is all batch's");
    }

    #[test]
    fn kept_pace_lets_the_share_grow_back() {
        let mut window = window();
        let before = window.allowed(1);
        let later = Moment(0) + GROW_PERIOD;
        window.note_online_pace(BEST, BEST * 4, later);
        window.note_online_pace(BEST, BEST * 4, later);
        assert_eq!(window.allowed(1), before + 1);
    }

    #[test]
    fn the_settings_target_is_never_passed() {
        let mut window = window();
        let before = window.allowed(1);
        window.note_online_pace(BEST, BEST / 2, Moment(0) + CUT_PERIOD);
        assert!(window.allowed(1) < before);
    }
}
