//! When a refused caller should return.
//!
//! The load comes in waves of some seconds and in bursts of unknown length. A
//! caller that returns into the same wave is refused again or waits in a long
//! line, and most return only once. How long an overload will last is not known;
//! the best guess is that it goes on for as long as it has lasted.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time without a refusal after which the next one begins a new overload.
const OVER_AFTER: Duration = Duration::from_secs(1);
/// Shortest guess: a slot of any worker comes free sooner, but not for all that
/// were refused with it.
const SHORTEST_GUESS: Duration = Duration::from_millis(600);
/// Callers heed a time to return of up to this part of the time they have left.
const HEEDED_PART: u32 = 3;
/// The earliest return, as a part of the latest: returns spread over the rest.
const EARLIEST_PART: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Moment,
    refused_at: Moment,
}

/// Since when requests of each service are refused.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    services: BTreeMap<Arc<str>, Overload>,
}

impl Overloads {
    /// Notes a refusal; gives how long its overload has lasted.
    pub fn refused(&mut self, service: &Arc<str>, now: Moment) -> Duration {
        let begun = Overload {
            since: now,
            refused_at: now,
        };
        let known = self.services.entry(service.clone()).or_insert(begun);
        if (known.refused_at + OVER_AFTER).is_past(now) {
            *known = begun;
        }
        known.refused_at = now;
        now.since(known.since)
    }

    /// Evicts overloads that are over.
    pub fn sweep(&mut self, now: Moment) {
        self.services
            .retain(|_, o| !(o.refused_at + OVER_AFTER).is_past(now));
    }
}

/// When a caller should return that was refused in an overload that has lasted
/// for so long, and that waits for `left` at the most. `draw` lies between 0 and
/// 1 and spreads the callers.
#[must_use]
pub fn retry_delay(lasted: Duration, left: Duration, draw: f64) -> Duration {
    let latest = (lasted.max(SHORTEST_GUESS) * 2).min(left / HEEDED_PART);
    let earliest = latest / EARLIEST_PART;
    earliest + latest.saturating_sub(earliest).mul_f64(draw)
}
