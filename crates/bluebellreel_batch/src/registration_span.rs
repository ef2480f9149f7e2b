//! How long an owner may answer readers from its memory.
//!
//! Results are listed by the store's word, and an owner remembers what it has
//! listed. One that was cut off, or whose VM was suspended, may have lost its job
//! without knowing: the successor has listed more since, and a reader who has seen
//! that would be told that it is not there. So an owner keeps two things: when
//! the store last said that a job is its own, and since when and until when its
//! entry in the store has stood without a gap. A job is taken over only once its
//! owner's entry is gone, so a word given within that span still holds.
//!
//! ```
//! use bluebellreel_batch::{Stamp, Tenure};
//! use bluebellreel_types::Moment;
//! use std::time::Duration;
//!
//! let at = |s: u64| Stamp { at: Moment(s * 1_000_000), suspended: Duration::ZERO };
//! let mut tenure = Tenure::default();
//! tenure.renewed(at(10), at(10));
//! assert!(tenure.covers(at(11), at(12)));
//! assert!(!tenure.covers(at(11), at(13)));
//! ```

use bluebellreel_types::Moment;
use std::time::Duration;

/// How long a renewal vouches for the entry, from when it was sent. The entry
/// stands for 3.6 s after it, by the store's clock; the rest is margin for the
/// rates of two clocks and for a call under way.
const VOUCHED: Duration = Duration::from_millis(2500);
/// Time suspended that counts: the two clocks that show it are not read at the
/// same moment, and an entry outlives shorter ones.
const SUSPENDED: Duration = Duration::from_millis(100);
/// Age up to which the store's word counts for an owner that hears few peers.
const FRESH: Duration = Duration::from_secs(1);

/// A moment, and how long the VM had been suspended by then. Steady clocks do
/// not count that time, but leases end in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Stamp {
    /// The moment by a steady clock.
    pub at: Moment,
    /// Time that this clock has missed.
    pub suspended: Duration,
}

impl Stamp {
    /// Whether the VM was suspended between an earlier stamp and this one.
    #[must_use]
    pub fn suspended_since(self, earlier: Self) -> bool {
        self.suspended > earlier.suspended + SUSPENDED
    }

    /// Whether this stamp is so recent at `now` that nothing has to vouch for
    /// the time since.
    #[must_use]
    pub fn is_fresh(self, now: Self) -> bool {
        !(self.at + FRESH).is_past(now.at) && !now.suspended_since(self)
    }
}

/// The span for which a daemon's entry in the store has stood without a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RegistrationSpan {
    /// When the first call of the span was answered: the entry may be written at
    /// any moment before, and the job be taken over until then.
    since: Option<Stamp>,
    until: Moment,
}

impl RegistrationSpan {
    /// The store has renewed the entry's lease by a call that was sent at
    /// `sent`; whether a new span begins.
    pub fn renewed(&mut self, sent: Stamp, now: Stamp) -> bool {
        if now.suspended_since(sent) {
            // The answer may be older than the suspension.
            self.interrupt();
            return false;
        }
        let begins = !self.stands(now);
        if begins {
            self.since = Some(now);
        }
        self.until = sent.at + VOUCHED;
        begins
    }

    /// The lease has ended, or may have.
    pub fn interrupt(&mut self) {
        self.since = None;
    }

    /// Whether what the store said at `word` of a job's owner still holds.
    #[must_use]
    pub fn covers(&self, word: Stamp, now: Stamp) -> bool {
        self.stands(now) && self.since.is_some_and(|since| word.at > since.at)
    }

    fn stands(&self, now: Stamp) -> bool {
        let awake = self.since.is_some_and(|since| !now.suspended_since(since));
        awake && !self.until.is_past(now.at)
    }
}
