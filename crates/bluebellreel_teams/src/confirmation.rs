//! Limits how long a gateway accepts keys without proof that its configuration is the
//! newest one.
//!
//! A gateway that is cut off does not learn that a key was revoked. It therefore accepts
//! keys only within a bounded time after a linearizable read of the store, its own or
//! that of a peer, has shown which configuration was the newest one. The time counts from
//! the moment at which the read, or the call to the peer, was sent. A watch that reports
//! no change proves nothing.
//!
//! All moments are on a clock that also runs while the VM is suspended.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Share of the bound within which a confirmation is used. The remainder covers the time
/// until a request that has been checked reaches its worker, and the difference between
/// the rates of two clocks.
const USED_SHARE: f64 = 0.9;
/// Minimum interval between two confirmations.
const MIN_INTERVAL: Duration = Duration::from_millis(900);
/// Added to this interval for each peer, so that the calls to the daemons that read the
/// store grow more slowly than the fleet.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Maximum interval as a share of the bound, so that several attempts may fail before a
/// confirmation expires.
const MAX_INTERVAL_SHARE: f64 = 0.33;
/// Maximum age of the confirmation by which an unknown key is rejected for good. A key
/// may have been added since an older one.
const MAX_REJECTION_AGE: Duration = Duration::from_secs(2);

/// How long confirmations are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationTerms {
    valid: Duration,
    max_interval: Duration,
}

impl RevocationTerms {
    /// Returns terms by which a revoked key opens nothing later than `bound` after its
    /// revocation.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self {
            valid: bound.mul_f64(USED_SHARE),
            max_interval: bound.mul_f64(MAX_INTERVAL_SHARE),
        }
    }

    /// Interval between two confirmations of a daemon with this number of peers.
    #[must_use]
    pub fn interval(&self, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL.max(INTERVAL_PER_PEER.saturating_mul(peers));
        interval.min(self.max_interval)
    }
}

/// Which configuration was certainly the newest one, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    revision: i64,
    asked: Option<Moment>,
}

impl Confirmation {
    /// Records that at some moment after `asked` no configuration newer than `revision`
    /// existed.
    pub fn note(&mut self, revision: i64, asked: Moment) {
        if self.asked.is_none_or(|before| before < asked) {
            self.revision = self.revision.max(revision);
            self.asked = Some(asked);
        }
    }

    /// The revision that was the newest one.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Time since the confirmation; none if there is none, or if it is about a
    /// configuration newer than the one held.
    #[must_use]
    pub fn age(&self, held: i64, now: Moment) -> Option<Duration> {
        let asked = self.asked.filter(|_| held >= self.revision)?;
        Some(now.since(asked))
    }

    /// Whether keys of the held configuration are accepted.
    #[must_use]
    pub fn allows_keys(&self, held: i64, terms: &RevocationTerms, now: Moment) -> bool {
        self.age(held, now).is_some_and(|age| age < terms.valid)
    }

    /// Whether a key that the held configuration lacks is certainly unknown.
    #[must_use]
    pub fn allows_rejection(&self, held: i64, now: Moment) -> bool {
        self.age(held, now)
            .is_some_and(|age| age < MAX_REJECTION_AGE)
    }
}
