//! Decides how long an owner may answer readers from memory.
//!
//! The store holds the recorded results of a job, and the owner caches them. An owner
//! that was cut off from the store, or whose VM was suspended, may no longer own the
//! job without noticing. Its successor may have recorded more results since, and a reader
//! that has seen them would get the answer that they do not exist. An owner therefore
//! tracks two things: when the store last confirmed that it owns the job, and the span
//! for which its registration in the store has existed without a gap. A job is taken over
//! only after its owner's registration is gone, so a confirmation given within that
//! span still holds.
//!
//! ```
//! use bluebellreel_batch::{Stamp, RegistrationSpan};
//! use bluebellreel_types::Moment;
//! use std::time::Duration;
//!
//! let at = |s: u64| Stamp { at: Moment(s * 1_000_000), suspended: Duration::ZERO };
//! let mut span = RegistrationSpan::default();
//! span.renewed(at(10), at(10));
//! assert!(span.covers(at(11), at(12)));
//! assert!(!span.covers(at(11), at(13)));
//! ```

use bluebellreel_types::Moment;
use std::time::Duration;

/// Time after the sending of a renewal for which the registration certainly exists, if its
/// time to live was not given.
const DEFAULT_VALIDITY: Duration = Duration::from_millis(2500);
/// How much shorter than its time to live a registration counts on after a renewal was
/// sent: a margin for the rate difference of the two clocks and for a call in flight.
const TTL_MARGIN: Duration = Duration::from_millis(1100);
/// Shortest suspension that counts. The two clocks that reveal a suspension are not
/// read at the same moment, and the registration outlives shorter ones.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// Maximum age of a confirmation by the store that an owner may use while it receives
/// reports from few peers.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// A monotonic time, with the total time that the VM had been suspended by then.
/// Monotonic clocks do not count suspended time, but leases expire during it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Stamp {
    /// Time on the monotonic clock.
    pub at: Moment,
    /// Suspended time, which this clock does not count.
    pub suspended: Duration,
}

impl Stamp {
    /// Whether the VM was suspended between an earlier stamp and this one.
    #[must_use]
    pub fn suspended_since(self, earlier: Self) -> bool {
        self.suspended > earlier.suspended + MIN_SUSPENSION
    }

    /// Whether this stamp is so recent at `now` that it holds without proof that the
    /// registration has existed since.
    #[must_use]
    pub fn is_fresh(self, now: Self) -> bool {
        !(self.at + MAX_FRESH_AGE).is_past(now.at) && !now.suspended_since(self)
    }
}

/// The span for which a daemon's registration in the store has existed without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RegistrationSpan {
    /// Time after the sending of a renewal for which the registration certainly exists.
    renewal_validity: Duration,
    /// When the first successful call of the span was answered. The registration may
    /// have been written at any moment before that, and the job may have been taken
    /// over until then.
    since: Option<Stamp>,
    until: Moment,
}

impl Default for RegistrationSpan {
    fn default() -> Self {
        Self {
            renewal_validity: DEFAULT_VALIDITY,
            since: None,
            until: Moment::default(),
        }
    }
}

impl RegistrationSpan {
    /// Notes that a new registration with this time to live was made. A span that exists
    /// goes on until its last renewal runs out.
    pub fn registered(&mut self, ttl: Duration) {
        self.renewal_validity = ttl.saturating_sub(TTL_MARGIN);
    }

    /// Notes that the store renewed the registration's lease in a call sent at `sent`.
    /// Returns whether a new span begins.
    pub fn renewed(&mut self, sent: Stamp, now: Stamp) -> bool {
        if now.suspended_since(sent) {
            // The store may have answered before the suspension.
            self.interrupt();
            return false;
        }
        let begins = !self.is_unbroken(now);
        if begins {
            self.since = Some(now);
        }
        self.until = sent.at + self.renewal_validity;
        begins
    }

    /// Ends the span because the lease has expired or may have expired.
    pub fn interrupt(&mut self) {
        self.since = None;
    }

    /// Whether the store's confirmation of a job's owner, requested at `confirmed`,
    /// still holds.
    #[must_use]
    pub fn covers(&self, confirmed: Stamp, now: Stamp) -> bool {
        self.is_unbroken(now) && self.since.is_some_and(|since| confirmed.at > since.at)
    }

    /// Whether the registration certainly exists.
    #[must_use]
    pub fn is_unbroken(&self, now: Stamp) -> bool {
        let not_suspended = self.since.is_some_and(|since| !now.suspended_since(since));
        not_suspended && !self.until.is_past(now.at)
    }
}
