//! Points in time and clocks.
//!
//! Decision logic receives the current [`Moment`] as an argument; only the
//! outermost layer of a process reads a clock. State holds moments (deadlines),
//! never durations.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time: microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// The latest moment in use; far enough from overflow for spans to be added.
    pub const DISTANT_FUTURE: Self = Self(u64::MAX / 4);

    /// Whether this moment has been reached at `now`.
    #[must_use]
    pub fn is_past(self, now: Self) -> bool {
        now >= self
    }

    /// Time from `earlier` to this moment; zero if `earlier` is the later one.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Formats the moment as RFC 3339 with milliseconds.
    #[must_use]
    pub fn to_rfc3339(self) -> String {
        let time = UNIX_EPOCH + Duration::from_micros(self.0);
        humantime::format_rfc3339_millis(time).to_string()
    }

    /// Parses an RFC 3339 timestamp.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a timestamp or lies before 1970.
    pub fn from_rfc3339(text: &str) -> Result<Self, String> {
        let time = humantime::parse_rfc3339_weak(text).map_err(|e| e.to_string())?;
        let since = time.duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
        Ok(Self(micros(since)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 4)
}

/// A clock that starts at the wall clock's time and then follows the monotonic
/// clock.
///
/// Guards against a wall clock that is set back while the process runs, which would
/// make expired deadlines and leases valid again. Tests use a manual clock.
#[derive(Clone, Debug)]
pub struct Clock(Kind);

#[derive(Clone, Debug)]
enum Kind {
    Running { base: Moment, started: Instant },
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Starts a clock at the current wall time.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(Kind::Running {
            base: Moment(micros(since)),
            started: Instant::now(),
        })
    }

    /// Creates a manual clock, which changes only when it is advanced.
    #[must_use]
    pub fn manual_at(now: Moment) -> Self {
        Self(Kind::Manual(Arc::new(AtomicU64::new(now.0))))
    }

    /// Advances a manual clock and all its clones; has no effect on a running
    /// clock.
    pub fn advance(&self, span: Duration) {
        match &self.0 {
            Kind::Running { .. } => {}
            Kind::Manual(now) => {
                now.fetch_add(micros(span), Ordering::SeqCst);
            }
        }
    }

    /// Sleeps for `span`, or advances a manual clock by it.
    pub fn wait(&self, span: Duration) {
        match &self.0 {
            Kind::Running { .. } => std::thread::sleep(span),
            Kind::Manual(_) => self.advance(span),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        match &self.0 {
            Kind::Running { base, started } => *base + started.elapsed(),
            Kind::Manual(now) => Moment(now.load(Ordering::SeqCst)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rfc3339_round_trip_keeps_milliseconds() {
        let moment = Moment(1_764_700_000_123_000);
        assert_eq!(Moment::from_rfc3339(&moment.to_rfc3339()), Ok(moment));
    }

    #[test]
    fn adding_a_long_span_saturates() {
        let far = Moment::DISTANT_FUTURE + Duration::MAX;
        assert!(!far.is_past(Moment::DISTANT_FUTURE));
    }
}
