//! Evidence on workers: outcomes of the runs of all daemons at each worker.
//!
//! A worker that loses the requests sent to it must cost the whole fleet a few requests,
//! not a few for each daemon. Each daemon counts the outcomes of its own runs by worker and
//! incarnation in a sliding window, reports the counts to its peers, and decides by the
//! sums which workers are failing or doubtful. Nothing is stored; after a restart the
//! peers' next reports restore the counts.
//!
//! A report replaces what the same peer has reported about a worker before, so that lost,
//! duplicated and reordered reports do no harm.

mod assessing;
mod outcomes;
mod placing;
mod report;
mod standing;

use crate::WorkerTag;
use bluebellreel_types::{EntryName, Moment};
use outcomes::Window;
use report::{Entry, Peer};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub use assessing::StandingChange;
pub(crate) use placing::{preference_for_item, risk, suits_item, without_futile_wait};

pub use outcomes::{Counts, Outcome};
pub use report::{InvalidOutcomes, MAX_REPORTED_WORKERS, RawOutcome, ReportId, ReportedOutcomes};
pub use standing::{Assessment, Record, Standing, assess};

/// How long a report counts after its arrival.
const VALID_FOR: Duration = Duration::from_secs(2);
/// How long a bad outcome is reported in briefs. The next full report has it as well.
const BRIEF_AGE: Duration = Duration::from_millis(150);
/// Number of workers with mostly bad outcomes from which on a daemon's path may be at fault.
const BROKEN_PATH_WORKERS: usize = 3;
/// Number of groups of workers without bad outcomes. A full report has only one group, as
/// these workers are most of its bytes on a day without faults: with three groups, reports
/// of a nearly idle gateway were 13 % longer. Each group is reported every 1.75 s; if a
/// report is lost, the counts expire half a second before the next one.
const GOOD_GROUPS: u64 = 5;
/// Time for which the full reports have the same group, in microseconds: that between two
/// full reports.
const GROUP_MICROS: u64 = 350_000;

/// Outcomes of the runs of this daemon and of its peers, by worker and incarnation.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    own: HashMap<WorkerTag, Window>,
    peers: BTreeMap<EntryName, Peer>,
    /// Sums over the peers whose outcomes count.
    sums: HashMap<WorkerTag, Counts>,
    /// Whether this daemon's own path to the workers is broken.
    has_broken_path: bool,
    /// Whether bad outcomes have changed since workers were last assessed.
    has_changed: bool,
    /// When workers were last assessed.
    assessed_at: Moment,
}

impl Evidence {
    /// Counts an outcome of one of this daemon's runs.
    pub fn note(&mut self, worker: WorkerTag, outcome: Outcome, now: Moment) {
        self.own.entry(worker).or_default().note(outcome, now);
        self.has_changed |= outcome == Outcome::Bad;
    }

    /// Whether this daemon's own path to the workers is broken: it then goes by its own
    /// outcomes only, as those of its peers say nothing about its path.
    #[must_use]
    pub fn has_broken_path(&self) -> bool {
        self.has_broken_path
    }

    /// The outcomes at a worker that count for this daemon's choices.
    #[must_use]
    pub fn counts(&self, worker: WorkerTag, now: Moment) -> Counts {
        let own = self.own_counts(worker, now);
        if self.has_broken_path {
            return own;
        }
        own.plus(self.sums.get(&worker).copied().unwrap_or_default())
    }

    fn own_counts(&self, worker: WorkerTag, now: Moment) -> Counts {
        let window = self.own.get(&worker);
        window.map_or(Counts::default(), |w| w.counts(now))
    }

    /// This daemon's outcomes for a report to peers. A brief has only workers with a recent
    /// bad outcome; if there are too many workers, those with the most bad outcomes remain.
    #[must_use]
    pub fn report(&self, is_brief: bool, now: Moment) -> Vec<RawOutcome> {
        let group = now.0 / GROUP_MICROS % GOOD_GROUPS;
        let is_due = |tag: WorkerTag, window: &Window, counts: Counts| {
            if is_brief {
                return counts.bad > 0 && !(window.last_bad_at + BRIEF_AGE).is_past(now);
            }
            counts.bad > 0 || (counts.good > 0 && u64::from(tag.0) % GOOD_GROUPS == group)
        };
        let mut due: Vec<RawOutcome> = self
            .own
            .iter()
            .map(|(tag, window)| (*tag, window, window.counts(now)))
            .filter(|(tag, window, counts)| is_due(*tag, window, *counts))
            .map(|(tag, _, counts)| {
                let (good, bad) = counts.reported();
                (tag, good, bad)
            })
            .collect();
        if due.len() > MAX_REPORTED_WORKERS {
            due.sort_by_key(|(tag, _, bad)| (std::cmp::Reverse(*bad), *tag));
            due.truncate(MAX_REPORTED_WORKERS);
        }
        due
    }

    /// Applies a peer's reported outcomes, except where a newer report of the peer is known.
    ///
    /// # Errors
    ///
    /// Returns the number of workers for which `is_known` does not hold, if there are any;
    /// the others are applied all the same.
    pub fn take(
        &mut self,
        peer: &EntryName,
        id: ReportId,
        outcomes: ReportedOutcomes,
        is_known: impl Fn(WorkerTag) -> bool,
        now: Moment,
    ) -> Result<(), InvalidOutcomes> {
        let is_current = |p: &Peer| p.latest.run == id.run;
        if outcomes.is_empty() && self.peers.get(peer).is_none_or(is_current) {
            return Ok(());
        }
        let mut known = match self.peers.remove(peer) {
            Some(known) if known.latest.run == id.run => known,
            Some(known) if known.latest.sequence >= id.sequence => {
                // A late report of the peer's previous run.
                self.peers.insert(peer.clone(), known);
                return Ok(());
            }
            former => {
                if let Some(former) = former {
                    self.subtract(&former);
                }
                Peer::new(id)
            }
        };
        known.latest.sequence = known.latest.sequence.max(id.sequence);
        let mut unknown = 0;
        for (tag, counts) in outcomes {
            if !is_known(tag) {
                unknown += 1;
                continue;
            }
            let entry = Entry {
                sequence: id.sequence,
                counts,
                expires_at: now + VALID_FOR,
            };
            let before = known.entries.get(&tag).copied();
            if before.is_some_and(|b| b.sequence >= entry.sequence) {
                continue;
            }
            let counted_before = known.counted(tag);
            known.entries.insert(tag, entry);
            self.replace(tag, counted_before, known.counted(tag));
        }
        self.check_path(&mut known, now);
        self.peers.insert(peer.clone(), known);
        if unknown > 0 {
            return Err(InvalidOutcomes::UnknownWorkers(unknown));
        }
        Ok(())
    }

    /// Drops the outcomes of this daemon's runs at workers for which `is_known` does not
    /// hold: peers do not know these either.
    pub fn retain(&mut self, is_known: impl Fn(WorkerTag) -> bool) {
        self.own.retain(|tag, _| is_known(*tag));
    }

    /// Evicts outcomes that have left the window and reports that have expired.
    pub fn sweep(&mut self, now: Moment) {
        self.own.retain(|_, window| window.counts(now).total() > 0);
        for (name, mut peer) in std::mem::take(&mut self.peers) {
            let expired = peer
                .entries
                .iter()
                .filter(|(_, e)| e.expires_at.is_past(now));
            let expired: Vec<WorkerTag> = expired.map(|(tag, _)| *tag).collect();
            for tag in expired {
                self.replace(tag, peer.counted(tag), Counts::default());
                peer.entries.remove(&tag);
            }
            if peer.entries.is_empty() {
                continue;
            }
            self.check_path(&mut peer, now);
            self.peers.insert(name, peer);
        }
    }

    /// Replaces a peer's counts at a worker in the sums.
    fn replace(&mut self, tag: WorkerTag, before: Counts, after: Counts) {
        if before == after {
            return;
        }
        self.has_changed |= before.bad != after.bad;
        let sum = self.sums.entry(tag).or_default();
        *sum = sum.minus(before).plus(after);
        if sum.total() == 0 {
            self.sums.remove(&tag);
        }
    }

    fn subtract(&mut self, peer: &Peer) {
        for (tag, _) in peer.outcomes() {
            self.replace(tag, peer.counted(tag), Counts::default());
        }
    }

    /// Checks whether a peer's path to the workers is broken, and counts its outcomes or
    /// ceases to count them.
    fn check_path(&mut self, peer: &mut Peer, now: Moment) {
        let others = |tag| {
            let peers = self.sums.get(&tag).copied().unwrap_or_default();
            self.own_counts(tag, now)
                .plus(peers.minus(peer.counted(tag)))
        };
        let is_broken = is_path_broken(peer.outcomes(), others);
        if is_broken == peer.has_broken_path {
            return;
        }
        let before: Vec<(WorkerTag, Counts)> = peer
            .outcomes()
            .map(|(tag, _)| (tag, peer.counted(tag)))
            .collect();
        peer.has_broken_path = is_broken;
        for (tag, counted) in before {
            self.replace(tag, counted, peer.counted(tag));
        }
    }

    /// Checks whether this daemon's own path to the workers is broken.
    fn check_own_path(&mut self, now: Moment) {
        let own = self.own.iter().map(|(tag, w)| (*tag, w.counts(now)));
        let others = |tag| self.sums.get(&tag).copied().unwrap_or_default();
        self.has_broken_path = is_path_broken(own, others);
    }
}

/// Whether outcomes of one daemon speak against its path to the workers and not against the
/// workers: they are mostly bad at more than half of the workers that it used, at three
/// workers or more, while those of the other daemons there are mostly good.
fn is_path_broken(
    outcomes: impl Iterator<Item = (WorkerTag, Counts)>,
    others: impl Fn(WorkerTag) -> Counts,
) -> bool {
    let (mut used, mut contradicted) = (0, 0);
    for (tag, counts) in outcomes.filter(|(_, counts)| counts.total() > 0) {
        used += 1;
        if counts.is_mostly_bad() {
            let others = others(tag);
            let is_good_elsewhere = others.good > 0 && !others.is_mostly_bad();
            contradicted += usize::from(is_good_elsewhere);
        }
    }
    contradicted >= BROKEN_PATH_WORKERS && contradicted * 2 > used
}
