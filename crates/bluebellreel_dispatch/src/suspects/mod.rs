//! Requests under which workers crash, and which of them are quarantined.
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
//! Daemons notify each other of each crash that they saw, and under which request. No
//! conclusion is replicated: each daemon concludes for itself, from the same crashes, and
//! a late notice corrects it.

mod record;
mod trial;

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use record::{Crash, Known, MAX_CRASHES, Record, in_turn, is_one_of_many};
use std::collections::BTreeMap;
use std::time::Duration;

pub use record::{CrashNotice, CrashedRun};
pub use trial::may_try;

/// Crashes after which a request is quarantined. Fewer would quarantine those that met
/// the ends of two workers by accident; each further one costs all that run at a worker.
const QUARANTINE_CRASHES: u32 = 3;
/// The first quarantine. A request that was at the same three crashes by bad luck cannot
/// be distinguished from their cause; the first run of either after this time decides.
const QUARANTINE_FIRST: Duration = Duration::from_secs(2);
/// Quarantine of a caller's request after a crash more, doubled after each further one.
/// Callers repeat within seconds.
const QUARANTINE_ONLINE: Duration = Duration::from_mins(1);
/// The same for an item of a job, which only its owner sends: it holds its whole job up.
const QUARANTINE_BATCH: Duration = Duration::from_secs(15);
/// The longest quarantine, also of a request that workers can run by then.
const QUARANTINE_LONGEST: Duration = Duration::from_mins(10);
/// How long a crash is remembered.
const CRASH_KEPT: Duration = Duration::from_mins(30);
/// How long one request may be tried out before the next one may.
const TRIAL_LONGEST: Duration = Duration::from_secs(10);
/// Requests remembered. A mass kill brings thousands; those at few crashes go first.
const MAX_REQUESTS: usize = 512;
/// How long a daemon repeats its own notices, as some reports are lost.
const NOTIFY_FOR: Duration = Duration::from_secs(3);
/// Notices in one report: some 500 bytes.
const MAX_NOTICES: usize = 24;

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
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    Clear,
    /// It was at crashes that may have other causes.
    Suspect,
    /// Its quarantine ended at this moment: one run shows whether workers can run it now.
    /// See [`may_try`].
    TrialOnly(Moment),
    /// It is quarantined until then.
    Quarantined(Moment),
}

/// What a run that ended well takes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cleared {
    /// Nothing was known against its request.
    Nothing,
    /// Too few crashes for a quarantine.
    Suspicion,
    /// Enough of them, whether it was quarantined for them or another one was.
    Quarantine,
}

/// Requests under which workers have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    /// Counts changes; see [`Suspects::version`].
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

    /// Grows with each thing of which peers should be notified at once.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A worker has crashed under a run of ours; how many crashes in turn the request was
    /// at.
    pub fn note_own_crash(&mut self, notice: CrashNotice, now: Moment) -> u32 {
        self.note_crash(notice, now);
        self.version += 1;
        let Some(record) = self.records.get_mut(&notice.fingerprint) else {
            return 0;
        };
        if let Some(known) = record.crashed_runs.get_mut(&notice.worker) {
            known.notify_until = now + NOTIFY_FOR;
        }
        record.weight()
    }

    /// Takes a crash over; whether it changed anything.
    pub fn note_crash(&mut self, notice: CrashNotice, now: Moment) -> bool {
        let CrashNotice {
            fingerprint,
            worker,
            crashed_run,
        } = notice;
        let never = crashed_run.crashed < crashed_run.began || crashed_run.crashed > now;
        if never || (crashed_run.crashed + CRASH_KEPT).is_past(now) {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        if let Some(known) = record.crashed_runs.get_mut(&worker) {
            let changed = crashed_run.cleared && !known.crashed_run.cleared;
            known.crashed_run.cleared |= crashed_run.cleared;
            return changed;
        }
        record.evict_oldest();
        let known = Known {
            crashed_run,
            notify_until: Moment(0),
        };
        record.crashed_runs.insert(worker, known);
        self.evict_weakest();
        true
    }

    /// The lives of workers that crashed under a request.
    #[must_use]
    pub fn crashed_workers(&self, fingerprint: Fingerprint) -> Vec<WorkerTag> {
        let record = self.records.get(&fingerprint);
        let charges = record.into_iter().flat_map(Record::charges);
        charges.map(|(worker, _)| *worker).collect()
    }

    /// Takes over which workers crashed under a request, before this daemon began. When
    /// is not known: it is quarantined as if the last one had just crashed.
    pub fn recall(&mut self, fingerprint: Fingerprint, workers: &[WorkerTag], now: Moment) {
        for worker in workers.iter().take(MAX_CRASHES) {
            let crashed_run = CrashedRun {
                began: now,
                crashed: now,
                cleared: false,
            };
            let notice = CrashNotice {
                fingerprint,
                worker: *worker,
                crashed_run,
            };
            self.note_crash(notice, now);
        }
    }

    /// A run of a request has ended well; what that takes back.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Moment) -> Cleared {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Cleared::Nothing;
        };
        let weight = record.weight();
        record.trial_until = Moment(0);
        let charges = record
            .crashed_runs
            .values_mut()
            .filter(|k| !k.crashed_run.cleared);
        let excuse = |known: &mut Known| {
            known.crashed_run.cleared = true;
            known.notify_until = now + NOTIFY_FOR;
        };
        if charges.map(excuse).count() == 0 {
            return Cleared::Nothing;
        }
        self.version += 1;
        match weight {
            QUARANTINE_CRASHES.. => Cleared::Quarantine,
            _ => Cleared::Suspicion,
        }
    }

    /// How many crashes in turn speak against a request, and when the last one was.
    fn charged(&self, fingerprint: Fingerprint) -> (u32, Moment) {
        let Some(record) = self.records.get(&fingerprint) else {
            return (0, Moment(0));
        };
        let weight = record.weight();
        if weight < QUARANTINE_CRASHES {
            return (weight, record.last());
        }
        let crashes = self.crashes();
        let own = record.charges().filter(|(worker, crashed_run)| {
            let is_heaviest = crashes[worker].heaviest <= weight;
            is_heaviest && !is_one_of_many(&crashes, record, crashed_run)
        });
        in_turn(own.map(|(_, crashed_run)| *crashed_run))
    }

    /// All crashes that are remembered.
    fn crashes(&self) -> BTreeMap<WorkerTag, Crash> {
        let mut crashes: BTreeMap<WorkerTag, Crash> = BTreeMap::new();
        for record in self.records.values() {
            let weight = record.weight();
            for (worker, Known { crashed_run, .. }) in &record.crashed_runs {
                let crash = crashes.entry(*worker).or_insert(Crash {
                    at: crashed_run.crashed,
                    heaviest: 0,
                });
                let counts = if crashed_run.cleared { 0 } else { weight };
                crash.heaviest = crash.heaviest.max(counts);
            }
        }
        crashes
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn quarantine_status(
        &self,
        fingerprint: Fingerprint,
        sender: Sender,
        now: Moment,
    ) -> QuarantineStatus {
        let (charged, last) = self.charged(fingerprint);
        if charged == 0 {
            return QuarantineStatus::Clear;
        }
        let Some(beyond) = charged.checked_sub(QUARANTINE_CRASHES) else {
            return QuarantineStatus::Suspect;
        };
        let more = match sender {
            Sender::Caller => QUARANTINE_ONLINE,
            Sender::Job => QUARANTINE_BATCH,
        };
        let lasts = match beyond.checked_sub(1) {
            None => QUARANTINE_FIRST,
            Some(doublings) => (more * 2u32.saturating_pow(doublings)).min(QUARANTINE_LONGEST),
        };
        let until = last + lasts;
        let trial_until = self.records[&fingerprint].trial_until;
        if !until.is_past(now) {
            QuarantineStatus::Quarantined(until)
        } else if !trial_until.is_past(now) {
            QuarantineStatus::Quarantined(trial_until)
        } else {
            QuarantineStatus::TrialOnly(until)
        }
    }

    /// A request is tried out here.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        self.note_trial(fingerprint, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.on_trial_here = true;
            self.version += 1;
        }
    }

    /// A request is tried out at a peer.
    pub fn note_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.trial_until.is_past(now)
        {
            record.trial_until = now + TRIAL_LONGEST;
        }
    }

    /// A trial has ended without showing anything.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_until = Moment(0);
            record.on_trial_here = false;
        }
    }

    /// Requests that are tried out here now. Peers report their own trials: passed on, they
    /// would go round for ever.
    pub fn trials(&self) -> impl Iterator<Item = Fingerprint> {
        let records = self.records.iter().filter(|(_, r)| r.on_trial_here);
        records
            .map(|(fingerprint, _)| *fingerprint)
            .take(MAX_NOTICES)
    }

    /// Notices for the next report: crashes that were seen here lately and, if `all`, those
    /// of quarantined requests, for daemons that have started since. The latter are the
    /// same at each daemon, so that few of many need to send them.
    pub fn notices(&mut self, all: bool, now: Moment) -> Vec<CrashNotice> {
        let mut seen = Vec::new();
        let mut known = Vec::new();
        for (fingerprint, record) in &self.records {
            let weight = record.weight();
            for (worker, k) in &record.crashed_runs {
                let list = match (k.notify_until.is_past(now), weight) {
                    (false, _) => &mut seen,
                    (true, QUARANTINE_CRASHES..) if all => &mut known,
                    (true, _) => continue,
                };
                let notice = CrashNotice {
                    fingerprint: *fingerprint,
                    worker: *worker,
                    crashed_run: k.crashed_run,
                };
                list.push((weight, notice));
            }
        }
        // Of many, as after a mass kill, those at several crashes first.
        seen.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let room_for_known = known.len().min(MAX_NOTICES / 2);
        seen.truncate(MAX_NOTICES - room_for_known);
        if !known.is_empty() {
            self.turn = (self.turn + MAX_NOTICES / 2) % known.len();
            known.rotate_left(self.turn);
            known.truncate(MAX_NOTICES - seen.len());
        }
        let notices = seen.into_iter().chain(known);
        notices.map(|(_, notice)| notice).collect()
    }

    /// Evicts crashes of long ago.
    pub fn sweep(&mut self, now: Moment) {
        for record in self.records.values_mut() {
            record
                .crashed_runs
                .retain(|_, k| !(k.crashed_run.crashed + CRASH_KEPT).is_past(now));
        }
        self.records.retain(|_, r| !r.crashed_runs.is_empty());
    }

    /// Keeps the stronger half once there are too many: a mass kill then costs one sort
    /// for each 256 of its runs.
    fn evict_weakest(&mut self) {
        if self.records.len() <= MAX_REQUESTS {
            return;
        }
        let mut ranks: Vec<(u32, Moment, Fingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, r)| (r.weight(), r.last(), *fingerprint))
            .collect();
        ranks.sort_unstable();
        for (_, _, fingerprint) in &ranks[..ranks.len() - MAX_REQUESTS / 2] {
            self.records.remove(fingerprint);
        }
    }
}
