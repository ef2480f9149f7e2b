//! The other daemons: who they are, when they were heard, what they said.

use crate::facts::Revisions;
use bluebellreel_batch::OwnerSign;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a peer no longer counts as alive. It reports four times
/// a second; a few reports are lost now and then.
pub(crate) const SILENT: Duration = Duration::from_millis(1500);
/// Silence after which a peer whose entry in the store still stands counts as
/// gone: its entry cannot be seen to end while the store is away.
const LONG_SILENT: Duration = Duration::from_secs(8);

/// A daemon's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberEntry {
    pub(crate) run: Incarnation,
    pub(crate) calls: SocketAddr,
    pub(crate) reports: SocketAddr,
}

/// One peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) run: Incarnation,
    /// Where it takes calls of peers.
    pub(crate) calls: SocketAddr,
    /// Where it takes reports.
    pub(crate) reports: SocketAddr,
    pub(crate) heard_at: Option<Moment>,
    pub(crate) stopping: bool,
    /// Whether its entry stands in the store, as far as is known.
    pub(crate) registered: bool,
    /// How long the store has served it without an outage; in seconds.
    pub(crate) served_s: u32,
    /// How far its knowledge goes.
    pub(crate) revisions: Revisions,
    /// Jobs that it owns.
    pub(crate) jobs: BTreeSet<JobId>,
    /// Tokens of its jobs that wait, by route.
    pub(crate) tokens: BTreeMap<String, u64>,
    /// Whether it reaches the store, as far as it knows.
    pub(crate) reaches_store: bool,
}

/// All peers.
#[derive(Default)]
pub(crate) struct Members {
    pub(crate) peers: BTreeMap<EntryName, Peer>,
    /// Jobs that were cancelled lately, with when that is forgotten.
    pub(crate) cancelled: BTreeMap<String, Moment>,
    last_heard: BTreeSet<EntryName>,
    revision: i64,
}

impl Members {
    /// Peers that were heard lately.
    pub(crate) fn heard(&self, now: Moment) -> Vec<EntryName> {
        let alive = self.peers.iter().filter(|(_, p)| is_heard(p, now));
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Peers that were heard lately and reach the store.
    pub(crate) fn heard_with_store(&self, now: Moment) -> impl Iterator<Item = &EntryName> {
        let reach = self
            .peers
            .iter()
            .filter(move |(_, p)| is_heard(p, now) && p.reaches_store);
        reach.map(|(name, _)| name)
    }

    /// Whether the store has served some peer for so long without an outage.
    pub(crate) fn is_served_for(&self, span: Duration, now: Moment) -> bool {
        let mut heard = self.peers.values().filter(|p| is_heard(p, now));
        heard.any(|p| u64::from(p.served_s) >= span.as_secs())
    }

    /// Age of the oldest report that is still counted.
    pub(crate) fn oldest_report(&self, now: Moment) -> Duration {
        let heard = self.peers.values().filter(|p| is_heard(p, now));
        let ages = heard.filter_map(|p| p.heard_at).map(|at| now.since(at));
        ages.max().unwrap_or_default()
    }

    /// Whether a peer has fallen silent since the last call.
    pub(crate) fn has_lost_peer(&mut self, now: Moment) -> bool {
        let heard: BTreeSet<EntryName> = self.heard(now).into_iter().collect();
        let lost = self.last_heard.difference(&heard).next().is_some();
        self.last_heard = heard;
        lost
    }

    /// A peer that is heard.
    pub(crate) fn alive(&self, name: &EntryName, now: Moment) -> Option<&Peer> {
        self.peers.get(name).filter(|p| is_heard(p, now))
    }

    /// What is known of a run of a daemon. One that has been silent for long
    /// counts as gone though its entry stands: nobody can reach it.
    pub(crate) fn sign_of(&self, name: &EntryName, run: Incarnation, now: Moment) -> OwnerSign {
        let Some(peer) = self.peers.get(name).filter(|p| p.run == run) else {
            return OwnerSign::Gone;
        };
        if is_heard(peer, now) {
            return OwnerSign::Heard;
        }
        let long_silent = peer
            .heard_at
            .is_none_or(|at| (at + LONG_SILENT).is_past(now));
        if peer.registered && !long_silent {
            OwnerSign::Silent
        } else {
            OwnerSign::Gone
        }
    }

    /// Takes the entries of the store over, as listed at a revision.
    pub(crate) fn listed(&mut self, list: Vec<(EntryName, MemberEntry)>, revision: i64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let names: BTreeSet<EntryName> = list.iter().map(|(n, _)| n.clone()).collect();
        for (name, entry) in list {
            self.registered(name, entry);
        }
        for (name, peer) in &mut self.peers {
            peer.registered &= names.contains(name);
        }
    }

    /// A daemon has an entry in the store.
    pub(crate) fn registered(&mut self, name: EntryName, entry: MemberEntry) {
        let known = self.peers.get_mut(&name);
        match known {
            Some(peer) if peer.run == entry.run => peer.registered = true,
            // A peer that is heard under another run tells better than an
            // entry that may be its last run's.
            Some(peer) if peer.heard_at.is_some() && !peer.registered => {}
            _ => {
                let peer = Peer {
                    run: entry.run,
                    calls: entry.calls,
                    reports: entry.reports,
                    heard_at: None,
                    stopping: false,
                    registered: true,
                    served_s: 0,
                    revisions: Revisions::default(),
                    jobs: BTreeSet::new(),
                    tokens: BTreeMap::new(),
                    reaches_store: true,
                };
                self.peers.insert(name, peer);
            }
        }
    }

    /// Forgets peers that neither stand in the store nor are heard.
    pub(crate) fn sweep(&mut self, now: Moment) {
        let keep = |peer: &Peer| {
            let lately = peer
                .heard_at
                .is_some_and(|at| !(at + LONG_SILENT).is_past(now));
            peer.registered || lately
        };
        self.peers.retain(|_, peer| keep(peer));
        self.cancelled.retain(|_, until| !until.is_past(now));
    }
}

fn is_heard(peer: &Peer, now: Moment) -> bool {
    peer.heard_at.is_some_and(|at| !(at + SILENT).is_past(now))
}
