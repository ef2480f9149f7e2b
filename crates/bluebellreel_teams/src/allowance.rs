//! Rate limits of teams over all gateways.
//!
//! Each gateway keeps one token bucket per team for the whole fleet. It takes a token for
//! each request that it admits, and counts these in its reports; the counts of its peers
//! are taken from the bucket as they arrive. Requests that several gateways admit at the
//! same moment can overdraw the bucket by what arrives within the delay of the reports,
//! and it then fills up from below zero.
//!
//! A peer that is not heard may serve callers on the other side of a partition. It is
//! assumed to use one part in as many as there are gateways: buckets fill more slowly by
//! that part, and give up that part of their tokens when the peer becomes silent. Both
//! sides do the same, so that their sum stays within the limit. What a peer admitted
//! while it was silent has thereby been paid for.
//!
//! Buckets of large teams are empty after a restart. All gateways may have been killed
//! after they used up the burst, and a full bucket would grant it a second time.
//!
//! All moments are on a clock that also runs while the VM is suspended.

use crate::bucket::Bucket;
use crate::share::{Share, ShareChange};
use crate::{Limit, PEER_SILENCE, TeamTag, Teams, Tolerance, Use};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long reports repeat a count after it has changed, so that it arrives despite lost
/// datagrams.
const REPEAT_FULL: Duration = Duration::from_millis(1500);
/// The same for short reports, of which there are many per second.
const REPEAT_BRIEF: Duration = Duration::from_millis(120);
/// Retention of a peer's count that does not change.
const COUNT_RETENTION: Duration = Duration::from_secs(30);
/// Length of the two periods by which recent requests are counted.
const RECENT_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time until a refused caller returns.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Maximum time until a refused caller returns.
pub const MAX_RETRY: Duration = Duration::from_secs(5);

/// Time in a minority after which a gateway without a registration admits nothing more to
/// teams with a limit. Its peers cease to count it some seconds later.
const FENCING_DELAY: Duration = Duration::from_secs(5);

/// Requests of a team that a gateway has admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spending {
    /// The team.
    pub team: TeamTag,
    /// Number since the gateway started.
    pub total: u32,
    /// Number within the last one to two seconds.
    pub recent: u32,
}

/// Events counted by two periods.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    began: Moment,
    current: u32,
    previous: u32,
}

impl Recent {
    fn roll(&mut self, now: Moment) {
        if !(self.began + RECENT_PERIOD).is_past(now) {
            return;
        }
        let is_adjacent = !(self.began + RECENT_PERIOD * 2).is_past(now);
        self.previous = if is_adjacent { self.current } else { 0 };
        self.current = 0;
        self.began = now;
    }

    fn count(&mut self, now: Moment) -> u32 {
        self.roll(now);
        self.current + self.previous
    }

    fn add(&mut self, now: Moment) {
        self.roll(now);
        self.current += 1;
    }
}

/// What this gateway has admitted and refused of a team's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    total: u32,
    admitted: Recent,
    refused: Recent,
    refused_total: u32,
    changed: Moment,
}

/// A peer's counts.
#[derive(Clone, Debug)]
struct PeerCounts {
    run: Incarnation,
    heard: Moment,
    /// Number of gateways that it knows.
    gateways: usize,
    totals: HashMap<TeamTag, Counted>,
}

/// What a peer has admitted of one team's requests, as last reported.
#[derive(Clone, Copy, Debug)]
struct Counted {
    total: u32,
    recent: u32,
    at: Moment,
}

impl Counted {
    /// Requests admitted within the last seconds.
    fn recent(&self, now: Moment) -> u32 {
        let is_old = (self.at + RECENT_PERIOD * 2).is_past(now);
        if is_old { 0 } else { self.recent }
    }
}

/// The rate limits of all teams.
#[derive(Clone, Debug)]
pub struct Allowances {
    tolerance: Tolerance,
    share: Share,
    /// The value of [`Share::filled`] since which buckets that do not exist yet have been
    /// filling.
    filling_since: f64,
    /// The part that these have left of their tokens after the restart.
    kept: f64,
    buckets: HashMap<TeamTag, Bucket>,
    own: HashMap<TeamTag, Own>,
    peers: HashMap<EntryName, PeerCounts>,
    /// Since when fewer than half of the gateways are heard.
    minority_since: Option<Moment>,
}

impl Default for Allowances {
    fn default() -> Self {
        Self::new(Tolerance::default())
    }
}

impl Allowances {
    /// Creates the state of a gateway that has just started.
    #[must_use]
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            share: Share::default(),
            filling_since: 0.0,
            kept: 1.0,
            buckets: HashMap::new(),
            own: HashMap::new(),
            peers: HashMap::new(),
            minority_since: None,
        }
    }

    /// Updates the share. `gateways` is the number of gateways that may be serving
    /// callers, this one included, if it is known; `is_registered` whether the other
    /// gateways certainly count this one.
    pub fn update(&mut self, gateways: Option<usize>, is_registered: bool, now: Moment) {
        let heard_peers = || self.peers.values().filter(|p| p.is_heard(now));
        let heard = heard_peers().count() + 1;
        let by_peers = heard_peers().map(|p| p.gateways).max();
        let all = gateways.or(by_peers.filter(|all| *all > 0));
        let is_minority = all.is_some_and(|all| heard * 2 <= all);
        let since = self.minority_since.filter(|_| is_minority).unwrap_or(now);
        self.minority_since = is_minority.then_some(since);
        let is_fenced = !is_registered && (since + FENCING_DELAY).is_past(now);
        let share = match all {
            Some(all) if !is_fenced => ratio(heard, all.max(heard)),
            _ => 0.0,
        };
        match self.share.update(share, now) {
            ShareChange::Keep => {}
            ShareChange::Scale(factor) => {
                for bucket in self.buckets.values_mut() {
                    bucket.scale(factor);
                }
                self.filling_since = self.share.filled();
                self.kept *= factor;
            }
            ShareChange::Empty => {
                self.buckets.clear();
                self.filling_since = self.share.filled();
                self.kept = 0.0;
            }
        }
    }

    /// Admits a request of a team, or returns how long its caller should wait. `draw` is
    /// a random number from 0 to 1, which spreads the return of several callers.
    ///
    /// # Errors
    ///
    /// Returns the time until the team is likely to have room.
    pub fn admit(
        &mut self,
        team: TeamTag,
        limit: Limit,
        draw: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let at = self.share.filled();
        let tolerance = self.tolerance;
        let level = self.bucket(team, limit).fill(limit, &tolerance, at);
        if level < 1.0 {
            let waiting = self.own.entry(team).or_default().refused.count(now);
            self.note_refusal(team, now);
            return Err(self.retry_after(level, waiting, limit, draw));
        }
        self.take(team, limit, now);
        Ok(())
    }

    /// Takes a token for a request that this gateway admits.
    pub(crate) fn take(&mut self, team: TeamTag, limit: Limit, now: Moment) {
        let own = self.own.entry(team).or_default();
        own.total = own.total.wrapping_add(1);
        own.admitted.add(now);
        own.changed = now;
        self.bucket(team, limit).take(1.0);
    }

    /// Counts a request that this gateway refuses.
    pub(crate) fn note_refusal(&mut self, team: TeamTag, now: Moment) {
        let own = self.own.entry(team).or_default();
        own.refused.add(now);
        own.refused_total = own.refused_total.wrapping_add(1);
    }

    /// Returns the token of an admitted request that did not run.
    pub fn give_back(&mut self, team: TeamTag, now: Moment) {
        let own = self.own.entry(team).or_default();
        own.total = own.total.wrapping_sub(1);
        own.changed = now;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.take(-1.0);
        }
    }

    fn bucket(&mut self, team: TeamTag, limit: Limit) -> &mut Bucket {
        let (since, kept, tolerance) = (self.filling_since, self.kept, self.tolerance);
        let bucket = self.buckets.entry(team);
        bucket.or_insert_with(|| Bucket::unused(limit, &tolerance, kept, since))
    }

    /// The time until the bucket has a token for this caller, after those that were
    /// refused shortly before it.
    fn retry_after(&self, level: f64, waiting: u32, limit: Limit, draw: f64) -> Duration {
        let before = f64::from(waiting) * draw;
        let rate = limit.per_second * self.share.current();
        let seconds = (1.0 - level + before) / rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY);
        wait.clamp(MIN_RETRY, MAX_RETRY)
    }

    /// The counts for a report: those that changed recently.
    pub fn spending(&mut self, is_brief: bool, now: Moment) -> Vec<Spending> {
        let repeat = if is_brief { REPEAT_BRIEF } else { REPEAT_FULL };
        let changed = self.own.iter_mut();
        let changed = changed.filter(|(_, own)| !(own.changed + repeat).is_past(now));
        changed
            .map(|(team, own)| Spending {
                team: *team,
                total: own.total,
                recent: own.admitted.count(now),
            })
            .collect()
    }

    /// Applies a peer's report: its counts, and the number of gateways that it knows,
    /// zero if unknown.
    pub fn hear(
        &mut self,
        peer: &EntryName,
        run: Incarnation,
        (gateways, spending): (usize, &[Spending]),
        teams: Option<&Teams>,
        now: Moment,
    ) {
        let mut counts = match self.peers.remove(peer) {
            Some(counts) if counts.run == run => counts,
            _ => PeerCounts::new(run),
        };
        // What a silent peer has admitted was withheld from the buckets meanwhile.
        let is_paid = !counts.is_heard(now) && !counts.totals.is_empty();
        for spent in spending {
            let counted = Counted {
                total: spent.total,
                recent: spent.recent,
                at: now,
            };
            let before = counts.totals.insert(spent.team, counted);
            // Negative if tokens were returned, or if reports have overtaken each other; the
            // next one then makes up for it.
            let new = match before {
                Some(before) => f64::from(spent.total.wrapping_sub(before.total).cast_signed()),
                None => f64::from(spent.recent),
            };
            let limit = teams.and_then(|teams| teams.limit(spent.team));
            if let Some(limit) = limit.filter(|_| new != 0.0 && !is_paid) {
                let at = self.share.filled();
                let tolerance = self.tolerance;
                let bucket = self.bucket(spent.team, limit);
                bucket.fill(limit, &tolerance, at);
                bucket.take(new);
            }
        }
        if gateways > 0 {
            counts.gateways = gateways;
        }
        counts.heard = now;
        self.peers.insert(peer.clone(), counts);
    }

    /// Evicts counts that have not changed for a while.
    pub fn sweep(&mut self, now: Moment) {
        for counts in self.peers.values_mut() {
            counts
                .totals
                .retain(|_, counted| !(counted.at + COUNT_RETENTION).is_past(now));
        }
        self.peers
            .retain(|_, counts| !(counts.heard + COUNT_RETENTION).is_past(now));
    }

    /// Requests that were admitted within the last seconds over all gateways, of one team
    /// and of all.
    pub fn recent_use(&mut self, team: TeamTag, now: Moment) -> Use {
        let mut by_team: HashMap<TeamTag, u32> = HashMap::new();
        for (tag, own) in &mut self.own {
            *by_team.entry(*tag).or_default() += own.admitted.count(now);
        }
        for (tag, counted) in self.peers.values().flat_map(|peer| &peer.totals) {
            *by_team.entry(*tag).or_default() += counted.recent(now);
        }
        by_team.retain(|_, count| *count > 0);
        Use {
            own: by_team.get(&team).copied().unwrap_or(0),
            all: by_team.values().sum(),
            teams: u32::try_from(by_team.len()).unwrap_or(u32::MAX),
        }
    }

    /// Tokens left for a team, as far as this gateway knows.
    #[must_use]
    pub fn left(&mut self, team: TeamTag, limit: Limit) -> f64 {
        let (at, tolerance) = (self.share.filled(), self.tolerance);
        self.bucket(team, limit).fill(limit, &tolerance, at)
    }

    /// Maximum number of tokens in the bucket of a team with this limit.
    pub(crate) fn capacity(&self, limit: Limit) -> f64 {
        self.tolerance.capacity(limit)
    }

    /// Numbers of requests of teams with a limit that this gateway has admitted and
    /// refused since its start, most first.
    #[must_use]
    pub fn counts(&self) -> Vec<(TeamTag, u32, u32)> {
        let own = self.own.iter();
        let mut counts: Vec<_> = own
            .map(|(team, own)| (*team, own.total, own.refused_total))
            .collect();
        counts.sort_by_key(|(_, admitted, refused)| std::cmp::Reverse(admitted + refused));
        counts
    }

    /// The largest number of gateways that a peer knows, itself included; zero if none has
    /// told.
    #[must_use]
    pub fn most_gateways(&self) -> usize {
        self.peers.values().map(|p| p.gateways).max().unwrap_or(0)
    }

    /// The share of all limits that the gateways that hear each other may use.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share.current()
    }
}

impl PeerCounts {
    fn new(run: Incarnation) -> Self {
        Self {
            run,
            heard: Moment::default(),
            gateways: 0,
            totals: HashMap::new(),
        }
    }

    fn is_heard(&self, now: Moment) -> bool {
        !(self.heard + PEER_SILENCE).is_past(now)
    }
}

fn ratio(part: usize, all: usize) -> f64 {
    let float = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    float(part) / float(all).max(1.0)
}
