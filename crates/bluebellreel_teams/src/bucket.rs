//! The token bucket of one team.

use std::time::Duration;

/// The rate limit of a team, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond that which may come at once.
    pub burst: f64,
}

/// Delay of the reports, times the number by which a flood exceeds the rate: within the
/// delay, gateways admit a flood without the counts of each other.
const FLOOD_DELAY: Duration = Duration::from_millis(350);

/// By how much the requests of a team may exceed its limit, over all gateways, in any
/// window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub excess: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.1,
            slack: 20.0,
        }
    }
}

impl Tolerance {
    /// Maximum number of tokens in a bucket.
    ///
    /// Until a partition is noticed, both sides may use a full bucket. Twice the capacity
    /// must therefore be within the burst and the tolerance.
    pub(crate) fn capacity(&self, limit: Limit) -> f64 {
        let twice = limit.burst + self.margin(limit);
        limit.burst.min(twice / 2.0).max(1.0)
    }

    /// Number of tokens in a bucket after a restart.
    ///
    /// All gateways may have been killed after they used up the burst. A part of it is
    /// granted again only as far as the tolerance allows, also beside a partition.
    fn after_restart(&self, limit: Limit) -> f64 {
        let margin = self.margin(limit);
        let beside_partition = margin - limit.burst;
        let tokens = beside_partition.min(margin / 2.0);
        tokens.clamp(0.0, self.capacity(limit))
    }

    /// Number of requests by which a window may exceed the limit, less what several
    /// gateways admit at the same moment.
    fn margin(&self, limit: Limit) -> f64 {
        let Limit { per_second, burst } = limit;
        let refilled = per_second * self.window.as_secs_f64();
        let simultaneous = per_second * FLOOD_DELAY.as_secs_f64();
        self.excess * (burst + refilled) + self.slack - simultaneous
    }
}

/// A token bucket. It is filled by `per_second` tokens per unit of the caller's time,
/// which passes more slowly while peers are silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    filled_at: f64,
}

impl Bucket {
    /// The bucket of a gateway that had not admitted any of the team's requests until this
    /// time. `kept` is the part that is left of the tokens after the restart.
    pub(crate) fn unused(limit: Limit, tolerance: &Tolerance, kept: f64, at: f64) -> Self {
        Self {
            level: tolerance.after_restart(limit) * kept,
            filled_at: at,
        }
    }

    /// Adds the tokens since the last call. Returns the level.
    pub(crate) fn fill(&mut self, limit: Limit, tolerance: &Tolerance, at: f64) -> f64 {
        let added = limit.per_second * (at - self.filled_at).max(0.0);
        self.level = (self.level + added).min(tolerance.capacity(limit));
        self.filled_at = at;
        self.level
    }

    /// Removes tokens. The level becomes negative if peers have taken more than there
    /// were.
    pub(crate) fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Scales a positive level.
    pub(crate) fn scale(&mut self, factor: f64) {
        if self.level > 0.0 {
            self.level *= factor;
        }
    }
}
