//! Selects the daemons that may run a request on trial after its quarantine.

use crate::Fingerprint;
use bluebellreel_types::{EntryName, Moment};
use twox_hash::XxHash64;

/// Whether a daemon may run a request on trial, now that its quarantine has ended.
///
/// At first one of `daemons` may, and twice as many after each second. If all were
/// allowed at once, many daemons would run a request that is repeated some times a
/// second at hundreds of daemons before they are notified of the first trial.
#[must_use]
pub fn may_try(
    fingerprint: Fingerprint,
    me: &EntryName,
    daemons: usize,
    since: Moment,
    now: Moment,
) -> bool {
    let seed = u64::from_le_bytes(fingerprint.0);
    let rank = XxHash64::oneshot(seed, me.as_str().as_bytes()) % (daemons.max(1) as u64);
    let seconds = now.since(since).as_secs().min(u64::from(u32::BITS));
    rank < 1 << seconds
}
