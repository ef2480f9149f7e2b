//! How often daemons renew and list their registrations.
//!
//! The store bears a limited number of calls. All intervals that each daemon keeps by itself
//! therefore grow with the fleet once it exceeds a size, so that the calls of all daemons
//! together do not.

use std::time::Duration;

/// Maximum number of renewals per second of all daemons together.
const MAX_RENEWALS_PER_S: f64 = 100.0;
/// Maximum number of lists of all registrations per second of all daemons together.
const MAX_LISTS_PER_S: f64 = 20.0;
/// Minimum interval between renewals: a dead daemon's jobs are taken over only after its
/// registration has expired, so small fleets notice it within seconds.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(1100);
/// Number of renewals within the time to live.
const RENEWALS_PER_TTL: u32 = 3;
/// Time to live beyond these renewals, for a call in flight.
const TTL_MARGIN: Duration = Duration::from_millis(300);
/// Minimum interval between lists of all registrations.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Intervals of the calls by which a daemon keeps its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upkeep {
    /// Interval between renewals of the registration.
    pub renew_interval: Duration,
    /// Time to live of the registration after a renewal.
    pub ttl: Duration,
    /// Interval between lists of all registrations.
    pub list_interval: Duration,
}

impl Upkeep {
    /// The intervals in a fleet of this number of daemons.
    #[must_use]
    pub fn of_fleet(daemons: usize) -> Self {
        let daemons = f64::from(u32::try_from(daemons).unwrap_or(u32::MAX));
        let at_most = |per_s: f64| Duration::from_secs_f64(daemons / per_s);
        let renew_interval = MIN_RENEW_INTERVAL.max(at_most(MAX_RENEWALS_PER_S));
        Self {
            renew_interval,
            ttl: renew_interval * RENEWALS_PER_TTL + TTL_MARGIN,
            list_interval: MIN_LIST_INTERVAL.max(at_most(MAX_LISTS_PER_S)),
        }
    }

    /// By how much the interval between renewals exceeds that of a small fleet.
    pub(crate) fn renewal_delay(&self) -> Duration {
        self.renew_interval.saturating_sub(MIN_RENEW_INTERVAL)
    }

    /// By how much registrations live longer than in a small fleet.
    pub(crate) fn extra_ttl(&self) -> Duration {
        self.renewal_delay() * RENEWALS_PER_TTL
    }
}
