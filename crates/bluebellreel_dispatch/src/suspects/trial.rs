//! Selects the daemons that may run a request on trial after its quarantine.

use crate::Fingerprint;
use bluebellreel_types::{EntryName, Moment};
use std::time::Duration;
use twox_hash::XxHash64;

/// Time after which twice as many daemons may begin a trial of a caller's request.
const REQUEST_STEP: Duration = Duration::from_secs(1);
/// The same for items: their daemons know them and need not wait for callers to come back.
const ITEM_STEP: Duration = Duration::from_millis(250);

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
    is_in_turn(fingerprint, me, daemons, now.since(since), REQUEST_STEP)
}

/// Whether a daemon may run an item on trial, in the same way and sooner.
#[must_use]
pub fn may_try_item(
    fingerprint: Fingerprint,
    me: &EntryName,
    daemons: usize,
    since: Moment,
    now: Moment,
) -> bool {
    is_in_turn(fingerprint, me, daemons, now.since(since), ITEM_STEP)
}

fn is_in_turn(
    fingerprint: Fingerprint,
    me: &EntryName,
    daemons: usize,
    elapsed: Duration,
    step: Duration,
) -> bool {
    let seed = u64::from_le_bytes(fingerprint.0);
    let rank = XxHash64::oneshot(seed, me.as_str().as_bytes()) % (daemons.max(1) as u64);
    let doublings = (elapsed.as_micros() / step.as_micros()).min(u128::from(u32::BITS));
    rank < 1 << doublings
}
