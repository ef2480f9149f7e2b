//! The minimum interval between a daemon's reports.

use super::HEARTBEAT;
use bluebellreel_members::Audience;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum interval between reports to few peers. Two daemons that choose a worker within
/// it may both take its last slot.
const MIN_INTERVAL: Duration = Duration::from_millis(8);
/// Minimum interval between reports to many peers, per peer: a daemon sends at most a
/// thousand datagrams per second, however many peers there are.
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// The same if other daemons forward reports, which makes them longer.
const MIN_INTERVAL_FORWARDED: Duration = Duration::from_millis(2);
/// Number of peers from which on the interval grows with their number.
const MANY_PEERS: usize = 8;

/// Minimum interval between reports to an audience.
pub(super) fn min_audience_interval(audience: &Audience<SocketAddr>) -> Duration {
    let each_time = audience.local.len() + audience.direct.len();
    if audience.forwarders.is_empty() {
        return min_report_interval(each_time);
    }
    let each_time = u32::try_from(each_time).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(MIN_INTERVAL_FORWARDED.saturating_mul(each_time))
}

/// Time within which a report reaches all of this number of peers, and theirs reach the
/// sender.
pub(crate) fn report_time(peers: usize) -> Duration {
    (HEARTBEAT + min_report_interval(peers)) * 2
}

/// Minimum interval between reports to this number of peers.
pub(super) fn min_report_interval(peers: usize) -> Duration {
    if peers < MANY_PEERS {
        return MIN_INTERVAL;
    }
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(MIN_INTERVAL_PER_PEER.saturating_mul(peers))
}
