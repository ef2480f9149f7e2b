//! Which daemon tries a request out after its quarantine.

use crate::Fingerprint;
use bluebellreel_types::{EntryName, Moment};
use twox_hash::XxHash64;

/// Whether a daemon may try a request out, now that its quarantine is over.
///
/// One of `daemons` may at first, twice as many after each second. If all might at once, a
/// request that comes back some times a second at hundreds of daemons would be tried by
/// many before they are notified.
#[must_use]
pub fn may_try(
    fingerprint: Fingerprint,
    me: &EntryName,
    daemons: usize,
    since: Moment,
    now: Moment,
) -> bool {
    let seed = u64::from_le_bytes(fingerprint.0);
    let place = XxHash64::oneshot(seed, me.as_str().as_bytes()) % (daemons.max(1) as u64);
    let seconds = now.since(since).as_secs().min(u64::from(u32::BITS));
    place < 1 << seconds
}
