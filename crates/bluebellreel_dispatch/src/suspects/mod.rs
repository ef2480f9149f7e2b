//! Requests under which workers crash, and which of them are held back.
//!
//! A crash alone says little: all that ran at the worker were there, and so is a
//! request that a killed worker happened to run. Counted are crashes that came one
//! after the other, each under a run that began after the crash before: workers that
//! are killed at the same moment count once, however many of them ran the same
//! request. A crash counts only against the requests that were at the most crashes of
//! those there, so that it does not count against those beside the one that causes it;
//! and not at all where workers crashed at the same moment under requests that were at
//! no other crash, as they do when they are killed. A run that ends well takes all that
//! was counted before it back.
//!
//! All daemons tell each other which crash they saw under which request. Nothing that
//! was concluded is told: each daemon concludes for itself, from the same crashes, and
//! what is learned late corrects it.

mod record;
mod trial;

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use record::{Crash, Known, MOST_CRASHES, Record, in_turn, is_one_of_many};
use std::collections::BTreeMap;
use std::time::Duration;

pub use record::{Strike, Told};
pub use trial::may_try;

/// Crashes after which a request is held back. Fewer would hold back those that met the
/// ends of two workers by accident; each further one costs all that run at a worker.
const ENOUGH: u32 = 3;
/// How long a request is held back at first. One that was at the same three crashes by bad
/// luck cannot be told from the one that caused them; the first run of either after this
/// time tells.
const HELD_FIRST: Duration = Duration::from_secs(2);
/// How long a caller's request is held back after a crash more. Callers repeat within
/// seconds.
const HELD_ONLINE: Duration = Duration::from_mins(1);
/// The same for an item of a job, which only its owner sends: it holds its whole job up.
const HELD_BATCH: Duration = Duration::from_secs(15);
/// Longest that one is held back: workers that can run it by then are found out so late
/// at the most.
const HELD_LONGEST: Duration = Duration::from_mins(10);
/// Time after which a crash is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(30);
/// How long one request may be tried out before the next one may.
const TRIAL: Duration = Duration::from_secs(10);
/// Requests remembered. A mass kill brings thousands; those at few crashes go first.
const MOST_REQUESTS: usize = 512;
/// How long a daemon tells what it has seen itself, in reports some of which are lost.
const TOLD: Duration = Duration::from_secs(3);
/// Crashes told in one report: some 500 bytes.
const MOST_TOLD: usize = 24;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// It was held back long enough, until this moment: one run shows whether workers can
    /// run it now. See [`may_try`].
    OnTrial(Moment),
    /// It is held back until then.
    Held(Moment),
}

/// What a run that ended well takes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cleared {
    /// Nothing was known against its request.
    Nothing,
    /// Too few crashes to hold it back.
    Suspicion,
    /// Enough of them, whether it was held back for them or another one was.
    Hold,
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
        let Some(record) = self.records.get_mut(&told.fingerprint) else {
            return 0;
        };
        if let Some(known) = record.strikes.get_mut(&told.worker) {
            known.told_until = now + TOLD;
        }
        record.weight()
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
            let is_news = strike.excused && !known.strike.excused;
            known.strike.excused |= strike.excused;
            return is_news;
        }
        record.forget_oldest();
        let known = Known {
            strike,
            told_until: Moment(0),
        };
        record.strikes.insert(worker, known);
        self.forget_weakest();
        true
    }

    /// The lives of workers that crashed under a request.
    #[must_use]
    pub fn workers_of(&self, fingerprint: Fingerprint) -> Vec<WorkerTag> {
        let record = self.records.get(&fingerprint);
        let charges = record.into_iter().flat_map(Record::charges);
        charges.map(|(worker, _)| *worker).collect()
    }

    /// Takes over which workers crashed under a request, before this daemon began. When
    /// is not known: it is held back as if the last one had just crashed.
    pub fn recall(&mut self, fingerprint: Fingerprint, workers: &[WorkerTag], now: Moment) {
        for worker in workers.iter().take(MOST_CRASHES) {
            let strike = Strike {
                began: now,
                crashed: now,
                excused: false,
            };
            let told = Told {
                fingerprint,
                worker: *worker,
                strike,
            };
            self.hear(told, now);
        }
    }

    /// A run of a request has ended well; what that takes back.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Moment) -> Cleared {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Cleared::Nothing;
        };
        let weight = record.weight();
        record.trial_until = Moment(0);
        let charges = record.strikes.values_mut().filter(|k| !k.strike.excused);
        let excuse = |known: &mut Known| {
            known.strike.excused = true;
            known.told_until = now + TOLD;
        };
        if charges.map(excuse).count() == 0 {
            return Cleared::Nothing;
        }
        self.version += 1;
        match weight {
            ENOUGH.. => Cleared::Hold,
            _ => Cleared::Suspicion,
        }
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
        let crashes = self.crashes();
        let own = record.charges().filter(|(worker, strike)| {
            let is_heaviest = crashes[worker].heaviest <= weight;
            is_heaviest && !is_one_of_many(&crashes, record, strike)
        });
        in_turn(own.map(|(_, strike)| *strike))
    }

    /// All crashes that are remembered.
    fn crashes(&self) -> BTreeMap<WorkerTag, Crash> {
        let mut crashes: BTreeMap<WorkerTag, Crash> = BTreeMap::new();
        for record in self.records.values() {
            let weight = record.weight();
            for (worker, Known { strike, .. }) in &record.strikes {
                let crash = crashes.entry(*worker).or_insert(Crash {
                    at: strike.crashed,
                    heaviest: 0,
                });
                let counts = if strike.excused { 0 } else { weight };
                crash.heaviest = crash.heaviest.max(counts);
            }
        }
        crashes
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
        let more = match sender {
            Sender::Caller => HELD_ONLINE,
            Sender::Job => HELD_BATCH,
        };
        let held = match beyond.checked_sub(1) {
            None => HELD_FIRST,
            Some(doublings) => (more * 2u32.saturating_pow(doublings)).min(HELD_LONGEST),
        };
        let until = last + held;
        let trial_until = self.records[&fingerprint].trial_until;
        if !until.is_past(now) {
            Standing::Held(until)
        } else if !trial_until.is_past(now) {
            Standing::Held(trial_until)
        } else {
            Standing::OnTrial(until)
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

    /// What the next report tells: what was seen here lately and, if `all`, the crashes of
    /// requests that are held back, for daemons that have started since. The latter are
    /// the same at each daemon, so that few of many need to tell them.
    pub fn to_tell(&mut self, all: bool, now: Moment) -> Vec<Told> {
        let mut seen = Vec::new();
        let mut known = Vec::new();
        for (fingerprint, record) in &self.records {
            let weight = record.weight();
            for (worker, k) in &record.strikes {
                let list = match (k.told_until.is_past(now), weight) {
                    (false, _) => &mut seen,
                    (true, ENOUGH..) if all => &mut known,
                    (true, _) => continue,
                };
                let told = Told {
                    fingerprint: *fingerprint,
                    worker: *worker,
                    strike: k.strike,
                };
                list.push((weight, told));
            }
        }
        // Of many, as after a mass kill, those at several crashes first.
        seen.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let room_for_known = known.len().min(MOST_TOLD / 2);
        seen.truncate(MOST_TOLD - room_for_known);
        if !known.is_empty() {
            self.turn = (self.turn + MOST_TOLD / 2) % known.len();
            known.rotate_left(self.turn);
            known.truncate(MOST_TOLD - seen.len());
        }
        let told = seen.into_iter().chain(known);
        told.map(|(_, told)| told).collect()
    }

    /// Forgets crashes of long ago.
    pub fn sweep(&mut self, now: Moment) {
        for record in self.records.values_mut() {
            record
                .strikes
                .retain(|_, k| !(k.strike.crashed + FORGOTTEN).is_past(now));
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
