//! All peers, and the division of duties among them.

use crate::Upkeep;
use crate::peer::{MemberEntry, PEER_RETENTION, Peer, Presence, rank, rank_for};
use crate::unclaimed::{LOSS_RETENTION, Unclaimed};
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// Number of daemons that watch the store for all. Two, because the store may refuse
/// one, or its connection may hang, and it takes time until any daemon notices.
const WATCHERS: usize = 2;

/// All peers.
#[derive(Clone, Debug, Default)]
pub struct Members {
    peers: BTreeMap<EntryName, Peer>,
    last_alive: BTreeSet<EntryName>,
    revision: i64,
    unclaimed: Unclaimed,
}

impl Members {
    /// All known peers, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.peers.iter()
    }

    /// Peers that reported within `PEER_TIMEOUT`.
    pub fn alive_peers(&self, now: Moment) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_alive(now))
    }

    /// Alive peers that reach the store.
    pub fn alive_with_store(&self, now: Moment) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.alive_peers(now).filter(|(_, p)| p.reaches_store)
    }

    /// How often this daemon and its peers renew and list their registrations.
    #[must_use]
    pub fn upkeep(&self) -> Upkeep {
        Upkeep::of_fleet(self.peers.len() + 1)
    }

    /// Whether some peer may reach the store: an alive peer that reports so, or a silent
    /// one whose last report said so and that may only be cut off from this daemon.
    #[must_use]
    pub fn may_reach_store(&self, now: Moment) -> bool {
        self.peers.values().any(|peer| {
            let may_be_running = peer.is_alive(now) || !(peer.is_gone || peer.stopping);
            may_be_running && peer.reaches_store
        })
    }

    /// When the store last answered any peer, as far as the peers report it.
    #[must_use]
    pub fn store_answered_at(&self) -> Moment {
        let answered = self.peers.values().filter_map(|p| p.answered_at);
        answered.max().unwrap_or_default()
    }

    /// A peer, if it is alive.
    #[must_use]
    pub fn alive_peer(&self, name: &EntryName, now: Moment) -> Option<&Peer> {
        self.peers.get(name).filter(|p| p.is_alive(now))
    }

    /// Whether the store has served some alive peer for `span` without an outage.
    #[must_use]
    pub fn is_served_for(&self, span: Duration, now: Moment) -> bool {
        self.alive_peers(now)
            .any(|(_, p)| u64::from(p.served_s) >= span.as_secs())
    }

    /// Whether at least half of all daemons that should be running are alive, this one
    /// included. A daemon that sees fewer is more likely cut off than the only one
    /// left.
    #[must_use]
    pub fn has_quorum(&self, now: Moment) -> bool {
        let alive_peers = self.alive_peers(now).count();
        let silent = self.peers.values().filter(|p| !p.is_alive(now));
        let missing = silent.filter(|p| p.registered && !p.stopping).count();
        alive_peers + 1 >= missing
    }

    /// Number of gateways that may be serving callers, this one included; none before the
    /// registrations were read. A silent daemon counts until its registration is gone.
    #[must_use]
    pub fn expected_gateways(&self, now: Moment) -> Option<usize> {
        if self.revision == 0 {
            return None;
        }
        let peers = self.peers.values().filter(|peer| {
            let may_serve = peer.registered || peer.reported_within(PEER_RETENTION, now);
            peer.is_alive(now) || (may_serve && !peer.stopping)
        });
        Some(peers.count() + 1)
    }

    /// The peers that watch the store for the others, by the same order as
    /// [`Self::is_watcher`].
    pub fn watchers(&self, now: Moment) -> impl Iterator<Item = (&EntryName, &Peer)> {
        let upkeep = self.upkeep();
        let able = self
            .alive_with_store(now)
            .filter(|(_, p)| p.may_watch() && p.has_recent_store_answer(&upkeep, now));
        let mut able: Vec<(&EntryName, &Peer)> = able.collect();
        able.sort_by_key(|(name, _)| std::cmp::Reverse(rank(name)));
        able.into_iter().take(WATCHERS)
    }

    /// Whether all daemons that should be running are alive, so that the reports cover
    /// all of their work.
    #[must_use]
    pub fn all_peers_alive(&self, now: Moment) -> bool {
        let mut silent = self.peers.values().filter(|p| !p.is_alive(now));
        !silent.any(|p| p.registered && !p.stopping)
    }

    /// Age of the oldest report among the alive peers.
    #[must_use]
    pub fn oldest_report(&self, now: Moment) -> Duration {
        let ages = self.alive_peers(now).filter_map(|(_, p)| p.last_report_at);
        ages.map(|at| now.since(at)).max().unwrap_or_default()
    }

    /// Tokens that wait in a quota scope: those that peers reported, and those of jobs that
    /// disappeared from a peer and are not reported by another owner yet.
    #[must_use]
    pub fn tokens(&self, scope: &str, now: Moment) -> u64 {
        let reported = self.peers.values().filter_map(|p| p.tokens.get(scope));
        reported.sum::<u64>() + self.unclaimed.tokens(scope, now)
    }

    /// Jobs whose tokens are among [`Self::tokens`].
    #[must_use]
    pub fn counted_jobs(&self, now: Moment) -> HashSet<&JobId> {
        let reported = self.peers.values().flat_map(|p| &p.jobs);
        reported.chain(self.unclaimed.jobs(now)).collect()
    }

    /// Notes that a job has ended or is owned by this daemon.
    pub fn claimed(&mut self, job: &JobId, now: Moment) {
        self.unclaimed.claimed(job, now);
    }

    /// Whether an alive peer reports that it owns a job.
    #[must_use]
    pub fn is_owned(&self, job: &JobId, now: Moment) -> bool {
        self.alive_peers(now).any(|(_, p)| p.jobs.contains(job))
    }

    /// Presence of one incarnation of a daemon. A daemon whose registration exists
    /// counts as silent and not as gone, however long it has been silent, as it may
    /// only be cut off from its peers. Its jobs cannot be taken over until the
    /// registration ends, so checking each of them would be wasted work.
    #[must_use]
    pub fn presence(&self, name: &EntryName, run: Incarnation, now: Moment) -> Presence {
        let Some(peer) = self.peers.get(name).filter(|p| p.run == run) else {
            return Presence::Gone;
        };
        if peer.is_alive(now) {
            Presence::Reporting
        } else if peer.registered {
            Presence::Silent
        } else {
            Presence::Gone
        }
    }

    /// Whether daemon `me` watches the store for the others. The watchers are the first
    /// candidates by rank that are alive, are not stopping and reach the store. Daemons
    /// whose last answer from the store is old do not count, as they may be cut off
    /// from it without noticing.
    #[must_use]
    pub fn is_watcher(&self, me: &EntryName, reaches_store: bool, now: Moment) -> bool {
        // A stopping daemon is excluded at once; otherwise it would be replaced only
        // after its silence is noticed.
        let mut others = self.alive_with_store(now).filter(|(_, p)| p.may_watch());
        if !reaches_store {
            return others.next().is_none();
        }
        let upkeep = self.upkeep();
        let before_me = others.filter(|(name, _)| rank(name) > rank(me));
        before_me
            .filter(|(_, p)| p.has_recent_store_answer(&upkeep, now))
            .count()
            < WATCHERS
    }

    /// Whether daemon `me` has the lowest name of all alive daemons. That daemon checks
    /// the jobs that their successors have not taken over in time.
    #[must_use]
    pub fn is_cleanup_leader(&self, me: &EntryName, now: Moment) -> bool {
        self.alive_peers(now).all(|(peer, _)| me < peer)
    }

    /// The daemon that should own a job: of the alive daemons that are not stopping,
    /// and of `me` if given, the first by the rank for this job.
    #[must_use]
    pub fn successor(&self, job: &JobId, me: Option<&EntryName>, now: Moment) -> Option<EntryName> {
        let able = self.alive_peers(now).filter(|(_, p)| !p.stopping);
        let names = able.map(|(name, _)| name).chain(me);
        names.max_by_key(|name| rank_for(name, job)).cloned()
    }

    /// Whether another incarnation of this daemon is known.
    #[must_use]
    pub fn knows_other_run(&self, name: &EntryName, run: Incarnation) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.run != run)
    }

    /// Applies a peer's report. Returns whether it is the first report of this
    /// incarnation.
    ///
    /// A daemon that is killed and restarts within half a second is never seen as
    /// silent, but the jobs of its previous incarnation have no owner. The first report
    /// of the new incarnation is therefore reported to the caller.
    pub fn record_report(&mut self, name: EntryName, mut peer: Peer) -> bool {
        let known = self.peers.get(&name).filter(|p| p.run == peer.run);
        peer.registered = known.is_some_and(|p| p.registered);
        let is_first_report = known.is_none_or(|p| p.last_report_at.is_none());
        let now = peer.last_report_at.unwrap_or_default();
        if !self.unclaimed.is_empty() {
            for job in &peer.jobs {
                self.unclaimed.claimed(job, now);
            }
        }
        self.replace(name, peer);
        is_first_report
    }

    /// Replaces what is known of a peer.
    fn replace(&mut self, name: EntryName, peer: Peer) {
        if let Some(former) = self.peers.remove(&name) {
            self.record_losses(former, &peer);
        }
        self.peers.insert(name, peer);
    }

    /// Notes the tokens of jobs that have no owner for the moment: jobs of an
    /// incarnation that has ended, and jobs that a stopping daemon hands over.
    fn record_losses(&mut self, former: Peer, peer: &Peer) {
        let same_run = former.run == peer.run;
        if same_run && !peer.stopping {
            return;
        }
        let now = peer
            .last_report_at
            .or(former.last_report_at)
            .unwrap_or_default();
        let is_lost = |job: &JobId| !peer.jobs.contains(job) && !self.is_owned(job, now);
        let lost = former.jobs.into_iter().filter(is_lost).collect();
        let less = former.tokens.into_iter().filter_map(|(route, before)| {
            let left = peer.tokens.get(&route).filter(|_| same_run);
            let less = before.saturating_sub(left.copied().unwrap_or(0));
            (less > 0).then_some((route, less))
        });
        let keep_for = LOSS_RETENTION + self.upkeep().extra_ttl();
        self.unclaimed.add(lost, less.collect(), keep_for, now);
    }

    /// Whether a peer has become silent since the last call.
    pub fn has_lost_peer(&mut self, now: Moment) -> bool {
        let alive_peers: BTreeSet<EntryName> = self
            .alive_peers(now)
            .map(|(name, _)| name.clone())
            .collect();
        let lost = self.last_alive.difference(&alive_peers).next().is_some();
        self.last_alive = alive_peers;
        lost
    }

    /// Applies the registrations in the store, as listed at `revision`.
    pub fn apply_registrations(&mut self, list: Vec<(EntryName, MemberEntry)>, revision: i64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let names: BTreeSet<EntryName> = list.iter().map(|(n, _)| n.clone()).collect();
        for (name, entry) in list {
            self.apply_registration(name, entry);
        }
        for (name, peer) in &mut self.peers {
            peer.registered &= names.contains(name);
            peer.is_gone = !names.contains(name);
        }
    }

    /// Applies a daemon's registration.
    fn apply_registration(&mut self, name: EntryName, entry: MemberEntry) {
        match self.peers.get_mut(&name) {
            Some(peer) if peer.run == entry.run => peer.registered = true,
            // A report of another incarnation is more reliable than a registration that
            // may belong to the previous one.
            Some(peer) if peer.last_report_at.is_some() && !peer.registered => {}
            _ => self.replace(name, Peer::from_entry(entry)),
        }
    }

    /// Evicts peers that are not registered and have been silent for `PEER_RETENTION`.
    pub fn sweep(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| !peer.is_gone || peer.reported_within(PEER_RETENTION, now));
    }
}
