//! Requests under which workers crash, and which of them are held back.
//!
//! A crash alone says little: all that ran at the worker were there, and so is a
//! request that a killed worker happened to run. Counted are crashes that came one
//! after the other, each under a run that began after the crash before: workers that
//! are killed at the same moment count once, however many of them ran the same
//! request. A crash counts only against the requests that were at the most crashes of
//! those there, so that it does not count against those beside the one that causes it.
//! And a run that ends well takes all that was counted before it back.
//!
//! All daemons tell each other which crash they saw under which request. Nothing that
//! was concluded is told: each daemon concludes for itself, from the same crashes, and
//! what is learned late corrects it.

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Crashes after which a request is held back. With two, one request in some hundred
/// that had met two workers' ends by accident would be; each further one costs all that
/// run at a worker.
const ENOUGH: u32 = 3;
/// How far clocks may differ by which daemons place what others saw: the way of a report.
const SLACK: Duration = Duration::from_millis(30);
/// How long a caller's request is held back after its last crash, at first. Callers
/// repeat within seconds.
const HELD_ONLINE: Duration = Duration::from_mins(1);
/// The same for an item of a job, which only its owner sends: it holds its whole job up.
const HELD_BATCH: Duration = Duration::from_secs(10);
/// Longest that one is held back: workers that can run it by then are found out so late
/// at the most.
const HELD_LONGEST: Duration = Duration::from_mins(10);
/// Time after which a crash is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(30);
/// How long one request may be tried out before the next one may.
const TRIAL: Duration = Duration::from_secs(10);
/// Requests remembered. A mass kill brings thousands; those at few crashes go first.
const MOST_REQUESTS: usize = 512;
/// Crashes remembered of one request.
const MOST_CRASHES: usize = 8;
/// How long a crash is told to peers after it is known, in reports some of which are lost.
const TOLD: Duration = Duration::from_secs(3);
/// Age from which on a crash that a peer told is not told on: what one daemon has forgotten
/// for want of room would come back from others for ever.
const TOLD_ON: Duration = Duration::from_secs(6);
/// Crashes told in one report: some 500 bytes.
const MOST_TOLD: usize = 24;

/// A worker's crash, as far as a request is concerned that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// When the request was sent there.
    pub began: Moment,
    /// When its run was broken off.
    pub crashed: Moment,
    /// Whether it has run well since.
    pub excused: bool,
}

/// One crash under one request, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the worker that crashed.
    pub worker: WorkerTag,
    /// The crash.
    pub strike: Strike,
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sender {
    /// A caller, who may return to any daemon.
    Caller,
    /// A job's owner.
    Job,
}

/// Whether a request may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was at crashes that may have other causes.
    Suspect,
    /// It was held back long enough: one run shows whether workers can run it now.
    OnTrial,
    /// It is held back until then.
    Held(Moment),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Record {
    strikes: BTreeMap<WorkerTag, Strike>,
    /// Until when one request is tried out, here or at a peer.
    trial_until: Moment,
    /// Whether that is here.
    on_trial_here: bool,
    /// Until when all of it is told.
    told_until: Moment,
}

impl Record {
    fn charges(&self) -> impl Iterator<Item = (&WorkerTag, &Strike)> {
        self.strikes.iter().filter(|(_, s)| !s.excused)
    }

    /// Crashes one after the other, whoever caused them.
    fn weight(&self) -> u32 {
        in_turn(self.charges().map(|(_, s)| *s)).0
    }

    fn last(&self) -> Moment {
        let crashes = self.strikes.values().map(|s| s.crashed);
        crashes.max().unwrap_or_default()
    }

    /// Makes room for one more crash.
    fn forget_oldest(&mut self) {
        while self.strikes.len() >= MOST_CRASHES {
            let oldest = self.strikes.iter().min_by_key(|(_, s)| s.crashed);
            let Some((&worker, _)) = oldest else { return };
            self.strikes.remove(&worker);
        }
    }
}

/// The most crashes of these that came one after the other, and the last one's moment.
fn in_turn(strikes: impl Iterator<Item = Strike>) -> (u32, Moment) {
    let mut all: Vec<Strike> = strikes.collect();
    all.sort_by_key(|s| s.crashed);
    let (mut count, mut last) = (0, Moment(0));
    for strike in all {
        if count == 0 || strike.began + SLACK >= last {
            count += 1;
            last = strike.crashed;
        }
    }
    (count, last)
}

/// Requests under which workers have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    /// Counts what is news; see [`Suspects::version`].
    version: u64,
    /// Where the next report begins among what does not fit into one.
    turn: usize,
}

impl Suspects {
    /// Whether nothing is known of any request, as on most days.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Grows with each thing that peers should hear at once.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A worker has crashed under a run of ours; how many crashes in turn the request was
    /// at.
    pub fn saw(&mut self, told: Told, now: Moment) -> u32 {
        self.hear(told, now);
        self.version += 1;
        let record = self.records.get(&told.fingerprint);
        record.map_or(0, Record::weight)
    }

    /// Takes a crash over; whether it was news.
    pub fn hear(&mut self, told: Told, now: Moment) -> bool {
        let Told {
            fingerprint,
            worker,
            strike,
        } = told;
        let never = strike.crashed < strike.began || strike.crashed > now;
        if never || (strike.crashed + FORGOTTEN).is_past(now) {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        if let Some(known) = record.strikes.get_mut(&worker) {
            let is_news = strike.excused && !known.excused;
            known.excused |= strike.excused;
            return is_news;
        }
        record.forget_oldest();
        record.strikes.insert(worker, strike);
        if !(strike.crashed + TOLD_ON).is_past(now) {
            record.told_until = now + TOLD;
        }
        self.forget_weakest();
        true
    }

    /// A run of a request has ended well; whether that takes something back.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Moment) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        record.trial_until = Moment(0);
        let mut charges = record
            .strikes
            .values_mut()
            .filter(|s| !s.excused)
            .peekable();
        if charges.peek().is_none() {
            return false;
        }
        charges.for_each(|s| s.excused = true);
        record.told_until = now + TOLD;
        self.version += 1;
        true
    }

    /// How many crashes in turn speak against a request, and when the last one was.
    fn charged(&self, fingerprint: Fingerprint) -> (u32, Moment) {
        let Some(record) = self.records.get(&fingerprint) else {
            return (0, Moment(0));
        };
        let weight = record.weight();
        if weight < ENOUGH {
            return (weight, record.last());
        }
        let own = record.charges();
        let own = own.filter(|(worker, _)| !self.is_outweighed(**worker, weight));
        in_turn(own.map(|(_, strike)| *strike))
    }

    /// Whether another request that was at a worker's crash was at more of them.
    fn is_outweighed(&self, worker: WorkerTag, weight: u32) -> bool {
        let mut there = self.records.values().filter(|r| {
            let strike = r.strikes.get(&worker);
            strike.is_some_and(|s| !s.excused)
        });
        there.any(|r| r.weight() > weight)
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn standing(&self, fingerprint: Fingerprint, sender: Sender, now: Moment) -> Standing {
        let (charged, last) = self.charged(fingerprint);
        if charged == 0 {
            return Standing::Clear;
        }
        let Some(beyond) = charged.checked_sub(ENOUGH) else {
            return Standing::Suspect;
        };
        let first = match sender {
            Sender::Caller => HELD_ONLINE,
            Sender::Job => HELD_BATCH,
        };
        let until = last + (first * 2u32.saturating_pow(beyond)).min(HELD_LONGEST);
        let trial_until = self.records[&fingerprint].trial_until;
        if !until.is_past(now) {
            Standing::Held(until)
        } else if !trial_until.is_past(now) {
            Standing::Held(trial_until)
        } else {
            Standing::OnTrial
        }
    }

    /// A request is tried out here.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        self.hear_trial(fingerprint, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.on_trial_here = true;
            self.version += 1;
        }
    }

    /// A request is tried out at a peer.
    pub fn hear_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.trial_until.is_past(now)
        {
            record.trial_until = now + TRIAL;
        }
    }

    /// A trial has ended without telling anything.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_until = Moment(0);
            record.on_trial_here = false;
        }
    }

    /// Requests that are tried out here now. What peers try out is theirs to tell: told
    /// on, it would go round for ever.
    pub fn trials(&self) -> impl Iterator<Item = Fingerprint> {
        let records = self.records.iter().filter(|(_, r)| r.on_trial_here);
        records.map(|(fingerprint, _)| *fingerprint).take(MOST_TOLD)
    }

    /// What the next report tells: crashes that are news, and those of requests that
    /// are held back, for daemons that have started since.
    pub fn to_tell(&mut self, now: Moment) -> Vec<Told> {
        let mut news = Vec::new();
        let mut known = Vec::new();
        for (fingerprint, record) in &self.records {
            let weight = record.weight();
            let is_news = !record.told_until.is_past(now);
            let list = match (is_news, weight) {
                (true, _) => &mut news,
                (false, ENOUGH..) => &mut known,
                (false, _) => continue,
            };
            list.extend(record.strikes.iter().map(|(worker, strike)| {
                let told = Told {
                    fingerprint: *fingerprint,
                    worker: *worker,
                    strike: *strike,
                };
                (weight, told)
            }));
        }
        // Of many that are new, as after a mass kill, those at several crashes first.
        news.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let room = MOST_TOLD.saturating_sub(known.len().min(MOST_TOLD / 2));
        news.truncate(room);
        if !known.is_empty() {
            self.turn = (self.turn + MOST_TOLD / 2) % known.len();
            known.rotate_left(self.turn);
            known.truncate(MOST_TOLD - news.len());
        }
        let all = news.into_iter().chain(known);
        all.map(|(_, told)| told).collect()
    }

    /// Forgets crashes of long ago.
    pub fn sweep(&mut self, now: Moment) {
        for record in self.records.values_mut() {
            record
                .strikes
                .retain(|_, s| !(s.crashed + FORGOTTEN).is_past(now));
        }
        self.records.retain(|_, r| !r.strikes.is_empty());
    }

    /// Keeps the stronger half once there are too many: a mass kill then costs one sort
    /// for each 256 of its runs.
    fn forget_weakest(&mut self) {
        if self.records.len() <= MOST_REQUESTS {
            return;
        }
        let mut ranks: Vec<(u32, Moment, Fingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, r)| (r.weight(), r.last(), *fingerprint))
            .collect();
        ranks.sort_unstable();
        for (_, _, fingerprint) in &ranks[..ranks.len() - MOST_REQUESTS / 2] {
            self.records.remove(fingerprint);
        }
    }
}
