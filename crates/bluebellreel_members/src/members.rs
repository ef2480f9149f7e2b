//! All peers, and who does what among them.

use crate::peer::{MemberEntry, PEER_RETENTION, Peer, Presence, rank, rank_for};
use crate::unclaimed::Unclaimed;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// Daemons that watch the store for all. Two, as one may be turned away, or its
/// connection silent, without anybody knowing yet.
const WATCHERS: usize = 2;

/// All peers.
#[derive(Clone, Debug, Default)]
pub struct Members {
    peers: BTreeMap<EntryName, Peer>,
    last_heard: BTreeSet<EntryName>,
    revision: i64,
    unclaimed: Unclaimed,
}

impl Members {
    /// All peers that are known, heard or not.
    pub fn peers(&self) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.peers.iter()
    }

    /// Peers that were heard lately.
    pub fn alive_peers(&self, now: Moment) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_heard(now))
    }

    /// Peers that were heard lately and reach the store.
    pub fn alive_with_store(&self, now: Moment) -> impl Iterator<Item = (&EntryName, &Peer)> {
        self.alive_peers(now).filter(|(_, p)| p.reaches_store)
    }

    /// Whether the store may be there for some peer: for one that says so, or one that
    /// said so until it fell silent and may only be cut off from here.
    #[must_use]
    pub fn may_reach_store(&self, now: Moment) -> bool {
        self.peers.values().any(|peer| {
            let is_there = peer.is_heard(now) || !(peer.is_gone || peer.stopping);
            is_there && peer.reaches_store
        })
    }

    /// When the store answered some peer last, as far as they say.
    #[must_use]
    pub fn store_answered_at(&self) -> Moment {
        let answered = self.peers.values().filter_map(|p| p.answered_at);
        answered.max().unwrap_or_default()
    }

    /// A peer that is heard.
    #[must_use]
    pub fn alive_peer(&self, name: &EntryName, now: Moment) -> Option<&Peer> {
        self.peers.get(name).filter(|p| p.is_heard(now))
    }

    /// Whether the store has served some peer for so long without an outage.
    #[must_use]
    pub fn is_served_for(&self, span: Duration, now: Moment) -> bool {
        self.alive_peers(now)
            .any(|(_, p)| u64::from(p.served_s) >= span.as_secs())
    }

    /// Whether at least half of all daemons that should be there are heard. One
    /// that hears fewer is rather cut off than the only one left.
    #[must_use]
    pub fn has_quorum(&self, now: Moment) -> bool {
        let alive_peers = self.alive_peers(now).count();
        let silent = self.peers.values().filter(|p| !p.is_heard(now));
        let missed = silent.filter(|p| p.registered && !p.stopping).count();
        alive_peers + 1 >= missed
    }

    /// Whether all daemons that should be there are heard, so that reports tell of all
    /// that they do.
    #[must_use]
    pub fn all_peers_alive(&self, now: Moment) -> bool {
        let mut silent = self.peers.values().filter(|p| !p.is_heard(now));
        !silent.any(|p| p.registered && !p.stopping)
    }

    /// Age of the oldest report that is still counted.
    #[must_use]
    pub fn oldest_report(&self, now: Moment) -> Duration {
        let ages = self.alive_peers(now).filter_map(|(_, p)| p.last_report_at);
        ages.map(|at| now.since(at)).max().unwrap_or_default()
    }

    /// Tokens that wait on a route at peers, or that waited at one until its jobs
    /// vanished and are not found at another owner yet.
    #[must_use]
    pub fn tokens(&self, route: &str, now: Moment) -> u64 {
        let reported = self.peers.values().filter_map(|p| p.tokens.get(route));
        reported.sum::<u64>() + self.unclaimed.tokens(route, now)
    }

    /// Jobs whose tokens are among [`Self::tokens`].
    #[must_use]
    pub fn counted_jobs(&self, now: Moment) -> HashSet<&JobId> {
        let reported = self.peers.values().flat_map(|p| &p.jobs);
        reported.chain(self.unclaimed.jobs(now)).collect()
    }

    /// A job has an owner that is no peer, or has ended.
    pub fn claimed(&mut self, job: &JobId, now: Moment) {
        self.unclaimed.claimed(job, now);
    }

    /// Whether a peer that is heard says that it owns a job.
    #[must_use]
    pub fn is_owned(&self, job: &JobId, now: Moment) -> bool {
        self.alive_peers(now).any(|(_, p)| p.jobs.contains(job))
    }

    /// What is known of a run of a daemon. One whose entry stands may only be cut
    /// off from its peers, however long it has been silent: its jobs cannot be
    /// taken over until its entry ends, and a look at each of them would be in vain.
    #[must_use]
    pub fn presence(&self, name: &EntryName, run: Incarnation, now: Moment) -> Presence {
        let Some(peer) = self.peers.get(name).filter(|p| p.run == run) else {
            return Presence::Gone;
        };
        if peer.is_heard(now) {
            Presence::Reporting
        } else if peer.registered {
            Presence::Silent
        } else {
            Presence::Gone
        }
    }

    /// Whether daemon `me`, which reaches the store or not, watches it for the
    /// others: the first by rank of those that are heard, go on and reach it do. Those
    /// whose last answer of the store is old may be cut off from it without knowing.
    #[must_use]
    pub fn is_watcher(&self, me: &EntryName, reaches_store: bool, now: Moment) -> bool {
        // Whoever stops would be missed only when it has been silent for a while.
        let mut others = self.alive_with_store(now).filter(|(_, p)| !p.stopping);
        if !reaches_store {
            return others.next().is_none();
        }
        let before_me = others.filter(|(name, _)| rank(name) > rank(me));
        before_me.filter(|(_, p)| p.is_answered(now)).count() < WATCHERS
    }

    /// Whether daemon `me` is the first of those that live, which looks after
    /// what others leave.
    #[must_use]
    pub fn is_cleanup_leader(&self, me: &EntryName, now: Moment) -> bool {
        self.alive_peers(now).all(|(peer, _)| me < peer)
    }

    /// The daemon that should have a job: of those that live and do not stop,
    /// `me` among them if it is given, the first by the job's own order.
    #[must_use]
    pub fn successor(&self, job: &JobId, me: Option<&EntryName>, now: Moment) -> Option<EntryName> {
        let able = self.alive_peers(now).filter(|(_, p)| !p.stopping);
        let names = able.map(|(name, _)| name).chain(me);
        names.max_by_key(|name| rank_for(name, job)).cloned()
    }

    /// Takes a peer's report over; whether it was not heard before as this run.
    ///
    /// A daemon that is killed and back within half a second is never missed,
    /// but the jobs of its run before have no owner: its new run is news.
    pub fn record_report(&mut self, name: EntryName, mut peer: Peer) -> bool {
        let known = self.peers.get(&name).filter(|p| p.run == peer.run);
        peer.registered = known.is_some_and(|p| p.registered);
        let is_news = known.is_none_or(|p| p.last_report_at.is_none());
        let now = peer.last_report_at.unwrap_or_default();
        if !self.unclaimed.is_empty() {
            for job in &peer.jobs {
                self.unclaimed.claimed(job, now);
            }
        }
        self.replace(name, peer);
        is_news
    }

    /// Takes over what is known of a peer now.
    fn replace(&mut self, name: EntryName, peer: Peer) {
        if let Some(former) = self.peers.remove(&name) {
            self.note_lost(former, &peer);
        }
        self.peers.insert(name, peer);
    }

    /// Jobs of a run that has ended, and jobs that a daemon hands over as it stops,
    /// have no owner for a moment.
    fn note_lost(&mut self, former: Peer, peer: &Peer) {
        let goes_on = former.run == peer.run;
        if goes_on && !peer.stopping {
            return;
        }
        let now = peer
            .last_report_at
            .or(former.last_report_at)
            .unwrap_or_default();
        let is_lost = |job: &JobId| !peer.jobs.contains(job) && !self.is_owned(job, now);
        let lost = former.jobs.into_iter().filter(is_lost).collect();
        let less = former.tokens.into_iter().filter_map(|(route, before)| {
            let left = peer.tokens.get(&route).filter(|_| goes_on);
            let less = before.saturating_sub(left.copied().unwrap_or(0));
            (less > 0).then_some((route, less))
        });
        self.unclaimed.add(lost, less.collect(), now);
    }

    /// Whether a peer has fallen silent since the last call.
    pub fn has_lost_peer(&mut self, now: Moment) -> bool {
        let alive_peers: BTreeSet<EntryName> = self
            .alive_peers(now)
            .map(|(name, _)| name.clone())
            .collect();
        let lost = self.last_heard.difference(&alive_peers).next().is_some();
        self.last_heard = alive_peers;
        lost
    }

    /// Takes the entries of the store over, as listed at a revision.
    pub fn apply_registrations(&mut self, list: Vec<(EntryName, MemberEntry)>, revision: i64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let names: BTreeSet<EntryName> = list.iter().map(|(n, _)| n.clone()).collect();
        for (name, entry) in list {
            self.entered(name, entry);
        }
        for (name, peer) in &mut self.peers {
            peer.registered &= names.contains(name);
            peer.is_gone = !names.contains(name);
        }
    }

    /// A daemon has an entry in the store.
    fn entered(&mut self, name: EntryName, entry: MemberEntry) {
        match self.peers.get_mut(&name) {
            Some(peer) if peer.run == entry.run => peer.registered = true,
            // A peer that is heard under another run tells better than an
            // entry that may be its last run's.
            Some(peer) if peer.last_report_at.is_some() && !peer.registered => {}
            _ => self.replace(name, Peer::entered(entry)),
        }
    }

    /// Forgets peers that are not in the store and not heard.
    pub fn sweep(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| !peer.is_gone || peer.heard_within(PEER_RETENTION, now));
    }
}
