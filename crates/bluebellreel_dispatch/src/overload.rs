//! When a refused caller should retry.
//!
//! Load comes in waves of some seconds and in bursts of unknown length. A caller that
//! retries into the same wave is refused again or waits in a long queue, and most
//! callers retry only once. How long an overload will last is not known; the best
//! estimate of the remaining time is the time that it has already lasted.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time without a refusal after which the next refusal starts a new overload.
const NEW_OVERLOAD_AFTER: Duration = Duration::from_secs(1);
/// Minimum estimate of an overload's remaining time. A slot of some worker becomes free
/// sooner, but not for all callers that were refused together.
const MIN_ESTIMATE: Duration = Duration::from_millis(600);
/// Divisor of a caller's remaining time that gives the longest retry delay. Callers do
/// not comply with longer ones.
const MAX_DELAY_DIVISOR: u32 = 3;
/// Divisor of the longest retry delay that gives the shortest one; delays are spread
/// between the two.
const MIN_DELAY_DIVISOR: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Moment,
    refused_at: Moment,
}

/// The current overload of each service.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    services: BTreeMap<Arc<str>, Overload>,
}

impl Overloads {
    /// Records a refusal and returns how long the current overload has lasted.
    pub fn refused(&mut self, service: &Arc<str>, now: Moment) -> Duration {
        let new_overload = Overload {
            since: now,
            refused_at: now,
        };
        let known = self.services.entry(service.clone()).or_insert(new_overload);
        if (known.refused_at + NEW_OVERLOAD_AFTER).is_past(now) {
            *known = new_overload;
        }
        known.refused_at = now;
        now.since(known.since)
    }

    /// Evicts overloads that have ended.
    pub fn sweep(&mut self, now: Moment) {
        self.services
            .retain(|_, o| !(o.refused_at + NEW_OVERLOAD_AFTER).is_past(now));
    }
}

/// Delay after which a refused caller should retry, given how long the overload has
/// `lasted` and how much time the caller has `left`. `draw`, a number between 0 and 1,
/// spreads the callers.
#[must_use]
pub fn retry_delay(lasted: Duration, left: Duration, draw: f64) -> Duration {
    let latest = (lasted.max(MIN_ESTIMATE) * 2).min(left / MAX_DELAY_DIVISOR);
    let earliest = latest / MIN_DELAY_DIVISOR;
    earliest + latest.saturating_sub(earliest).mul_f64(draw)
}
