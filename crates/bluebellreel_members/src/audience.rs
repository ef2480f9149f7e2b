//! Decides to whom a daemon sends its reports.
//!
//! Up to [`MAX_DIRECT_PEERS`] peers, a daemon reports to each of them. With more, the
//! datagrams of all to all would grow with the square of the fleet, and most of them
//! would cross data centres. A daemon then reports directly to the peers of its own data
//! centre only. For each other data centre it sends the report to a few daemons there,
//! drawn anew for each report, and these forward it with their next own report to the
//! peers of their data centre. There is no fixed relay whose loss would have to be
//! noticed: what one daemon fails to forward comes with the next report through others.
//!
//! Peers that are silent may not have heard of this daemon yet, and nobody forwards to
//! them. They get a report directly, though less often.

use crate::{Members, Peer};
use bluebellreel_types::{DataCentre, Moment};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of peers up to which a daemon reports directly to each of them.
pub const MAX_DIRECT_PEERS: usize = 64;
/// Number of daemons of each other data centre that receive a report to forward. Two,
/// because one of them may be cut off or paused without anyone having noticed.
const FORWARDERS: usize = 2;

/// A peer to which reports go.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a, T> {
    /// Its address.
    pub to: T,
    /// Whether it reported recently.
    pub is_alive: bool,
    /// Its data centre; none if that is unknown or the peer does not forward reports.
    pub forwards_in: Option<&'a DataCentre>,
}

impl<'a> Recipient<'a, SocketAddr> {
    fn new(peer: &'a Peer, now: Moment) -> Self {
        let data_centre = peer.data_centre.as_ref();
        Self {
            to: peer.reports,
            is_alive: peer.is_alive(now),
            forwards_in: data_centre.filter(|_| peer.forwards),
        }
    }
}

/// The recipients of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Audience<T> {
    /// Peers of the sender's data centre that take forwarded reports.
    pub local: BTreeSet<T>,
    /// Other peers that get each report.
    pub direct: BTreeSet<T>,
    /// Peers that get full reports only, and forward them within their data centre.
    pub forwarders: BTreeSet<T>,
    /// Silent peers.
    pub silent: BTreeSet<T>,
}

impl<T: Copy + Ord> Audience<T> {
    /// The recipients of a report of a daemon in `local`. `draw` returns a random index
    /// below its argument.
    pub fn of(
        peers: &[Recipient<'_, T>],
        local: &DataCentre,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Self {
        let reports_to_all = peers.len() <= MAX_DIRECT_PEERS;
        let mut audience = Self {
            local: BTreeSet::new(),
            direct: BTreeSet::new(),
            forwarders: BTreeSet::new(),
            silent: BTreeSet::new(),
        };
        let mut remote: BTreeMap<&DataCentre, Vec<T>> = BTreeMap::new();
        for peer in peers {
            let recipients = match peer.forwards_in {
                _ if !peer.is_alive && reports_to_all => &mut audience.direct,
                _ if !peer.is_alive => &mut audience.silent,
                Some(data_centre) if data_centre == local => &mut audience.local,
                Some(data_centre) if !reports_to_all => {
                    remote.entry(data_centre).or_default().push(peer.to);
                    continue;
                }
                _ => &mut audience.direct,
            };
            recipients.insert(peer.to);
        }
        for mut peers in remote.into_values() {
            for _ in 0..FORWARDERS.min(peers.len()) {
                let at = draw(peers.len());
                audience.forwarders.insert(peers.swap_remove(at));
            }
        }
        audience
    }
}

impl Members {
    /// The recipients of a report, see [`Audience::of`].
    pub fn audience(
        &self,
        local: &DataCentre,
        now: Moment,
        draw: impl FnMut(usize) -> usize,
    ) -> Audience<SocketAddr> {
        let peers = self.peers().map(|(_, peer)| Recipient::new(peer, now));
        Audience::of(&peers.collect::<Vec<_>>(), local, draw)
    }
}
