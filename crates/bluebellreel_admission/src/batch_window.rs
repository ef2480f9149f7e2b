//! Limits the number of batch attempts that run at the engine alongside online
//! ones.
//!
//! Without online work, batch may use the whole window, since idle capacity
//! lasts only seconds. Alongside online work, the batch share follows AIMD
//! control: it grows by one while the time between online tokens stays below a
//! threshold, and is multiplied by a factor below one when it does not. The
//! threshold is a few hundredths above the best time seen on this engine, and
//! never above the target in the settings.

use crate::Priority;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Minimum time between two increases of the share.
const GROW_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two cuts, so that one slow engine step does not cut the
/// share twice.
const CUT_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which the best time is raised by a hundredth, so that the
/// threshold adapts to an engine that has become permanently slower.
const BEST_DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// The share of batch alongside online work starts at the window divided by this.
const INITIAL_SHARE_DIVISOR: u32 = 8;

/// AIMD controller for the batch share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BatchWindow {
    size: u32,
    share_with_online: u32,
    priority: Priority,
    best_inter_token: Duration,
    decay_at: Moment,
    grow_at: Moment,
    cut_at: Moment,
}

impl BatchWindow {
    /// A controller for a window of `size` attempts.
    #[must_use]
    pub fn new(size: u32, priority: Priority) -> Self {
        Self {
            size,
            share_with_online: size / INITIAL_SHARE_DIVISOR,
            priority,
            best_inter_token: Duration::ZERO,
            decay_at: Moment(0),
            grow_at: Moment(0),
            cut_at: Moment(0),
        }
    }

    /// Maximum number of batch attempts while `online` online attempts are running
    /// or queued.
    #[must_use]
    pub fn allowed(&self, online: u32) -> u32 {
        let free = self.size.saturating_sub(online);
        if online == 0 {
            free
        } else {
            free.min(self.share_with_online)
        }
    }

    /// Updates the share from the mean time between tokens of online streams.
    pub fn note_online_pace(&mut self, measured: Duration, target: Duration, now: Moment) {
        self.update_best(measured, now);
        if measured > self.cut_threshold().min(target) {
            self.cut(now);
        } else {
            self.grow(now);
        }
    }

    fn update_best(&mut self, measured: Duration, now: Moment) {
        if self.best_inter_token.is_zero() || measured < self.best_inter_token {
            self.best_inter_token = measured;
        }
        if self.decay_at.is_past(now) {
            self.best_inter_token += self.best_inter_token / 100;
            self.decay_at = now + BEST_DECAY_INTERVAL;
        }
    }

    /// The time between online tokens above which the batch share is cut: the best
    /// time plus the slowdown that the deployment tolerates, in hundredths of it.
    fn cut_threshold(&self) -> Duration {
        let hundredths = match self.priority {
            Priority::Throughput => 4,
            Priority::Tail => 2,
        };
        self.best_inter_token + self.best_inter_token * hundredths / 100
    }

    fn cut(&mut self, now: Moment) {
        if !self.cut_at.is_past(now) {
            return;
        }
        let (numerator, denominator) = match self.priority {
            Priority::Throughput => (3, 4),
            Priority::Tail => (1, 2),
        };
        self.share_with_online = self.share_with_online * numerator / denominator;
        self.cut_at = now + CUT_INTERVAL;
        self.grow_at = now + GROW_INTERVAL;
    }

    fn grow(&mut self, now: Moment) {
        if !self.grow_at.is_past(now) {
            return;
        }
        self.share_with_online = (self.share_with_online + 1).min(self.size);
        self.grow_at = now + GROW_INTERVAL;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEST_INTER_TOKEN: Duration = Duration::from_millis(10);

    fn window() -> BatchWindow {
        let mut window = BatchWindow::new(32, Priority::Tail);
        window.note_online_pace(BEST_INTER_TOKEN, BEST_INTER_TOKEN * 4, Moment(0));
        window
    }

    #[test]
    fn slow_online_tokens_cut_the_batch_share() {
        let mut window = window();
        let before = window.allowed(1);
        window.note_online_pace(
            BEST_INTER_TOKEN * 11 / 10,
            BEST_INTER_TOKEN * 4,
            Moment(0) + CUT_INTERVAL,
        );
        assert_eq!(window.allowed(1), before / 2);
        assert_eq!(window.allowed(0), 32, "idle capacity is all batch's");
    }

    #[test]
    fn batch_share_grows_while_online_pace_is_kept() {
        let mut window = window();
        let before = window.allowed(1);
        let later = Moment(0) + GROW_INTERVAL;
        window.note_online_pace(BEST_INTER_TOKEN, BEST_INTER_TOKEN * 4, later);
        window.note_online_pace(BEST_INTER_TOKEN, BEST_INTER_TOKEN * 4, later);
        assert_eq!(window.allowed(1), before + 1);
    }

    #[test]
    fn inter_token_target_is_never_exceeded() {
        let mut window = window();
        let before = window.allowed(1);
        window.note_online_pace(
            BEST_INTER_TOKEN,
            BEST_INTER_TOKEN / 2,
            Moment(0) + CUT_INTERVAL,
        );
        assert!(window.allowed(1) < before);
    }
}
