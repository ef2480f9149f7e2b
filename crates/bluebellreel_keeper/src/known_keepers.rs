//! The other keepers, as gateways report them.
//!
//! A gateway knows only the keepers that have visited it, and one that has just started may
//! lack some for a while. It learns the others from the keepers that it asks for a record.

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a report after which a keeper is evicted: no caller resumes a stream that
/// was recorded there.
const RETENTION: Duration = Duration::from_mins(1);

/// Calls addresses of keepers, with the time of the last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownKeepers(BTreeMap<SocketAddr, Moment>);

impl KnownKeepers {
    /// Restores the keepers that were known before a restart.
    pub(crate) fn restore(addresses: Vec<SocketAddr>, now: Moment) -> Self {
        Self(addresses.into_iter().map(|at| (at, now)).collect())
    }

    /// Adds the keepers that a gateway reports. Returns whether the set has changed.
    pub(crate) fn add(&mut self, reported: &[SocketAddr], now: Moment) -> bool {
        let before = self.0.len();
        self.0.extend(reported.iter().map(|at| (*at, now)));
        let added = self.0.len() != before;
        let with_added = self.0.len();
        self.0.retain(|_, last| !(*last + RETENTION).is_past(now));
        added || self.0.len() != with_added
    }

    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.0.keys().copied()
    }
}
