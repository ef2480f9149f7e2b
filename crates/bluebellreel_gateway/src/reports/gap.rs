//! How far apart a daemon's reports are.

use std::time::Duration;

/// Least time between reports to few peers. Two daemons that choose a worker
/// within it may both take its last slot.
const GAP_FEW: Duration = Duration::from_millis(8);
/// Least time between reports to many peers, for each of them: a daemon sends
/// a thousand datagrams a second at the most, however many peers there are.
const GAP_EACH: Duration = Duration::from_millis(1);
/// From this many peers on they count as many.
const MANY: usize = 8;

/// Least time between reports to so many peers.
pub(super) fn gap(peers: usize) -> Duration {
    if peers < MANY {
        return GAP_FEW;
    }
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    GAP_FEW.max(GAP_EACH.saturating_mul(peers))
}
