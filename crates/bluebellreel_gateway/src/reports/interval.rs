//! How far apart a daemon's reports are.

use std::time::Duration;

/// Least time between reports to few peers. Two daemons that choose a worker
/// within it may both take its last slot.
const MIN_INTERVAL: Duration = Duration::from_millis(8);
/// Least time between reports to many peers, for each of them: a daemon sends
/// a thousand datagrams a second at the most, however many peers there are.
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// From this many peers on they count as many.
const MANY_PEERS: usize = 8;

/// Least time between reports to so many peers.
pub(super) fn min_report_interval(peers: usize) -> Duration {
    if peers < MANY_PEERS {
        return MIN_INTERVAL;
    }
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(MIN_INTERVAL_PER_PEER.saturating_mul(peers))
}
