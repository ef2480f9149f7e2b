//! How long an owner may start items after the store confirmed its job.
//!
//! A job's sender may end it at any daemon, and a successor may take it over.
//! Either writes the job's record, and may die or be cut off before it has
//! notified the owner. So the right to start items is a lease: it runs from the
//! moment at which the owner asked the store, and is renewed by asking again.
//!
//! ```
//! use bluebellreel_batch::{Stamp, StartLease, StartTerms};
//! use bluebellreel_types::Moment;
//! use std::time::Duration;
//!
//! let at = |ms: u64| Stamp { at: Moment(ms * 1000), suspended: Duration::ZERO };
//! let terms = StartTerms::within(Duration::from_secs(3));
//! let lease = StartLease::new(at(1000), &terms);
//! assert!(lease.allows_start(at(3000)));
//! assert!(!lease.allows_start(at(3500)));
//! ```

use crate::Stamp;
use bluebellreel_types::Moment;
use std::time::Duration;

/// Jobs that one call confirms: the store takes 32 guards.
pub const JOBS_PER_CHECK: usize = 32;

/// Longest time from the decision to start an item until its worker has it: a
/// new connection takes up to 250 ms.
const SEND: Duration = Duration::from_millis(500);
/// Shortest time for which a confirmation holds. The store would be asked without
/// a pause for one that has hardly come before it is over.
const VALID_SHORTEST: Duration = Duration::from_millis(250);

/// For how long the store's confirmation holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartTerms {
    valid: Duration,
    renew_after: Duration,
    idle: Duration,
}

impl StartTerms {
    /// Terms by which no item reaches a worker later than `bound` after its job's
    /// end was recorded.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let valid = bound.saturating_sub(SEND).max(VALID_SHORTEST);
        Self {
            valid,
            renew_after: valid / 2,
            idle: valid * 2,
        }
    }
}

/// The right to start a job's items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartLease {
    asked: Stamp,
    renew_at: Moment,
    expires_at: Moment,
    idle_until: Moment,
}

impl StartLease {
    /// The store has confirmed the job to a call that was sent at `asked`.
    #[must_use]
    pub fn new(asked: Stamp, terms: &StartTerms) -> Self {
        Self {
            asked,
            renew_at: asked.at + terms.renew_after,
            expires_at: asked.at + terms.valid,
            idle_until: asked.at + terms.idle,
        }
    }

    /// When the call was sent that the store answered.
    #[must_use]
    pub fn asked(&self) -> Stamp {
        self.asked
    }

    /// Time since then, also time suspended.
    #[must_use]
    pub fn age(&self, now: Stamp) -> Duration {
        let suspended = now.suspended.saturating_sub(self.asked.suspended);
        now.at.since(self.asked.at) + suspended
    }

    /// Whether an item may be started.
    #[must_use]
    pub fn allows_start(&self, now: Stamp) -> bool {
        !self.expires_at.is_past(now.at) && !now.suspended_since(self.asked)
    }

    /// Whether it ran at an earlier moment, the VM having been awake since.
    #[must_use]
    pub fn was_valid_at(&self, moment: Moment, now: Stamp) -> bool {
        !self.expires_at.is_past(moment) && !now.suspended_since(self.asked)
    }

    /// Whether the store should be asked now. A job none of whose items wants to
    /// start is asked for seldom: its end frees slots and its route's quota.
    #[must_use]
    pub fn is_due(&self, wants_start: bool, now: Stamp) -> bool {
        let due_at = if wants_start {
            self.renew_at
        } else {
            self.idle_until
        };
        due_at.is_past(now.at) || now.suspended_since(self.asked)
    }
}

/// Jobs that the store should be asked for now in one call, those confirmed longest
/// ago first; none if no job needs it. Each comes with its lease and whether an item
/// of it wants to start. A job that could wait costs a fifth of a call of its own.
pub fn jobs_to_check<K>(jobs: impl Iterator<Item = (K, StartLease, bool)>, now: Stamp) -> Vec<K> {
    let mut is_due = false;
    let mut all: Vec<(K, Moment)> = Vec::new();
    for (job, lease, wants_start) in jobs {
        is_due |= lease.is_due(wants_start, now);
        all.push((job, lease.asked().at));
    }
    if !is_due {
        return Vec::new();
    }
    all.sort_by_key(|(_, asked)| *asked);
    let first = all.into_iter().take(JOBS_PER_CHECK);
    first.map(|(job, _)| job).collect()
}
