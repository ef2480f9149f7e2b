//! Limits how long an owner may start items after the store confirmed its job.
//!
//! A caller may cancel its job at any daemon, and a successor may take the job over.
//! Either one writes the job's record, and may die or be cut off before it notifies the
//! owner. The right to start items is therefore a lease: it runs from the moment at
//! which the owner sent its request to the store, and each new confirmation renews it.
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

/// Maximum number of jobs confirmed by one call. The store accepts at most 32 guards in
/// a call.
pub const JOBS_PER_CHECK: usize = 32;

/// Maximum time from the decision to start an item until its worker has received it. A
/// new connection takes up to 250 ms.
const MAX_SEND_TIME: Duration = Duration::from_millis(500);
/// Minimum validity of a confirmation. A confirmation that expired right after it
/// arrived would make the owner call the store without a pause.
const MIN_VALIDITY: Duration = Duration::from_millis(250);

/// Validity and renewal times of start leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartTerms {
    valid: Duration,
    renew_after: Duration,
    renew_idle_after: Duration,
}

impl StartTerms {
    /// Returns terms by which no item reaches a worker later than `bound` after the end
    /// of its job was recorded.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        let valid = bound.saturating_sub(MAX_SEND_TIME).max(MIN_VALIDITY);
        Self {
            valid,
            renew_after: valid / 2,
            renew_idle_after: valid * 2,
        }
    }
}

/// The right to start the items of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartLease {
    asked: Stamp,
    renew_at: Moment,
    expires_at: Moment,
    renew_idle_at: Moment,
}

impl StartLease {
    /// Creates the lease for a confirmation that was requested at `asked`.
    #[must_use]
    pub fn new(asked: Stamp, terms: &StartTerms) -> Self {
        Self {
            asked,
            renew_at: asked.at + terms.renew_after,
            expires_at: asked.at + terms.valid,
            renew_idle_at: asked.at + terms.renew_idle_after,
        }
    }

    /// When the owner sent the request that the store answered.
    #[must_use]
    pub fn asked(&self) -> Stamp {
        self.asked
    }

    /// Time since the request, including suspended time.
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

    /// Whether the lease was valid at an earlier moment and the VM has not been
    /// suspended since the request.
    #[must_use]
    pub fn was_valid_at(&self, moment: Moment, now: Stamp) -> bool {
        !self.expires_at.is_past(moment) && !now.suspended_since(self.asked)
    }

    /// Whether to request a confirmation from the store now. Jobs without startable
    /// items are confirmed less often, but still confirmed: noticing a cancellation
    /// frees worker slots and quota of the route.
    #[must_use]
    pub fn is_due(&self, wants_start: bool, now: Stamp) -> bool {
        let due_at = if wants_start {
            self.renew_at
        } else {
            self.renew_idle_at
        };
        due_at.is_past(now.at) || now.suspended_since(self.asked)
    }
}

/// Selects the jobs to confirm in one call, those with the oldest confirmation first.
/// Selects none if no job is due. Each job comes with its lease and whether one of its
/// items could start. Adding a job that is not due yet costs a fifth of a separate
/// call.
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
