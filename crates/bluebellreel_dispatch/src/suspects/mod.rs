//! Requests during which workers crash, and the quarantine of those that cause it.
//!
//! A single crash is weak evidence: every request at the worker was affected, including
//! one that ran on a worker that was killed from outside. Only sequential crashes count:
//! each under a run that began after the previous crash. Workers that are killed at the
//! same moment count once, however many of them ran the same request. A crash counts
//! only against those of the affected requests that have the most crashes, so that it
//! does not count against requests that ran beside the cause. It does not count at all
//! if other workers crashed at the same moment under requests without any other crash,
//! as happens when workers are killed. A run that completes clears all crashes counted
//! before it.
//!
//! Callers' requests are quarantined, for longer with each further crash. Items of jobs are
//! owed: they wait only until workers are calm.
//!
//! Daemons notify each other of each crash that they observe and of the request that was
//! running. Conclusions are not replicated: each daemon derives its own from the same
//! crashes, and a late notice corrects it.

mod item;
mod record;
mod trial;

use crate::{Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use record::{Crash, KnownCrash, Record, is_mass_crash};
use std::collections::BTreeMap;
use std::time::Duration;

pub use item::{ItemStatus, ItemTrials};
pub use record::{CrashNotice, CrashedRun};
pub(crate) use record::{
    MAX_CRASHES, MIN_SIMULTANEOUS_CRASHES, SIMULTANEOUS_WINDOW, count_sequential,
};
pub use trial::{may_try, may_try_item};

/// Number of crashes after which a request is quarantined. A lower number would
/// quarantine requests that ran during two crashes by accident; each additional crash
/// costs all the runs at one more worker.
pub(crate) const QUARANTINE_CRASHES: u32 = 3;
/// Duration of the first quarantine. A request that was present at the same three
/// crashes by accident cannot be distinguished from their cause; the first run of either
/// request after this time decides.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(2);
/// Second quarantine, after one more crash; it doubles with each further one. Callers repeat
/// requests within seconds.
const SECOND_QUARANTINE: Duration = Duration::from_mins(1);
/// Maximum quarantine. Once workers can run the request again, it waits this long at
/// most.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);
/// How long a crash counts; older ones are evicted.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(30);
/// Maximum duration of a trial run before the next one is allowed.
pub(crate) const MAX_TRIAL: Duration = Duration::from_secs(10);
/// Maximum number of requests with recorded crashes. A mass kill adds thousands; those
/// with the fewest crashes are evicted first.
const MAX_REQUESTS: usize = 512;
/// How long a daemon repeats its own notices, as some reports are lost.
pub(crate) const NOTIFY_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of notices in one report, some 500 bytes.
pub(crate) const MAX_NOTICES: usize = 24;

/// Whether a caller's request may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is attributed to it.
    Clear,
    /// It was running during crashes that may have other causes.
    Suspect,
    /// Its quarantine ended at this moment. One trial run shows whether workers can run
    /// it now; see [`may_try`].
    TrialOnly(Moment),
    /// It is quarantined until this moment.
    Quarantined(Moment),
}

/// What a completed run clears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cleared {
    /// No crash was recorded for the request.
    Nothing,
    /// Too few crashes for a quarantine.
    Suspicion,
    /// Enough crashes for a quarantine, whether or not they were attributed to this
    /// request rather than to another one.
    Quarantine,
}

/// Duration of a quarantine that follows this number of others: the first one is short,
/// the second one lasts for `base`, and it doubles with each further one.
pub(crate) fn quarantine_duration(previous: u32, base: Duration) -> Duration {
    match previous.checked_sub(1) {
        None => INITIAL_QUARANTINE,
        Some(doublings) => (base * 2u32.saturating_pow(doublings)).min(MAX_QUARANTINE),
    }
}

/// Selects the notices for one report: from those `seen` here lately, each with the number
/// of crashes of its subject, and those that are merely `known`.
///
/// If there are too many, as after a mass kill, subjects with several crashes come first.
/// Known ones take turns, from an `offset` that moves on with each report.
pub(crate) fn select_notices<T>(
    mut seen: Vec<(u32, T)>,
    mut known: Vec<T>,
    offset: &mut usize,
) -> Vec<T> {
    seen.sort_by_key(|(crash_count, _)| std::cmp::Reverse(*crash_count));
    let room_for_known = known.len().min(MAX_NOTICES / 2);
    seen.truncate(MAX_NOTICES - room_for_known);
    if !known.is_empty() {
        *offset = (*offset + MAX_NOTICES / 2) % known.len();
        known.rotate_left(*offset);
        known.truncate(MAX_NOTICES - seen.len());
    }
    let seen = seen.into_iter().map(|(_, notice)| notice);
    seen.chain(known).collect()
}

/// Requests during which workers have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    /// Number of changes; see [`Suspects::version`].
    version: u64,
    /// Offset of the first notice for the next report, if the notices do not fit into
    /// one.
    notice_offset: usize,
}

impl Suspects {
    /// Whether no crash is recorded, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of requests with recorded crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Increases with each change that peers should be notified of at once.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a crash under a run of this daemon. Returns the number of sequential
    /// crashes of the request.
    pub fn note_own_crash(&mut self, notice: CrashNotice, now: Moment) -> u32 {
        self.note_crash(notice, now);
        self.version += 1;
        let Some(record) = self.records.get_mut(&notice.fingerprint) else {
            return 0;
        };
        if let Some(known) = record.crashed_runs.get_mut(&notice.worker) {
            known.notify_until = now + NOTIFY_PERIOD;
        }
        record.crash_count()
    }

    /// Records a crash; returns whether it changed anything.
    pub fn note_crash(&mut self, notice: CrashNotice, now: Moment) -> bool {
        let CrashNotice {
            fingerprint,
            worker,
            crashed_run,
        } = notice;
        let is_invalid = crashed_run.crashed < crashed_run.began || crashed_run.crashed > now;
        if is_invalid || (crashed_run.crashed + CRASH_RETENTION).is_past(now) {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        if let Some(known) = record.crashed_runs.get_mut(&worker) {
            let changed = crashed_run.cleared && !known.crashed_run.cleared;
            known.crashed_run.cleared |= crashed_run.cleared;
            return changed;
        }
        record.evict_oldest();
        let known = KnownCrash {
            crashed_run,
            notify_until: Moment(0),
        };
        record.crashed_runs.insert(worker, known);
        self.evict_lowest_ranked();
        true
    }

    /// Incarnations of the workers that crashed under a request.
    #[must_use]
    pub fn crashed_workers(&self, fingerprint: Fingerprint) -> Vec<WorkerTag> {
        let record = self.records.get(&fingerprint);
        let uncleared_runs = record.into_iter().flat_map(Record::uncleared_runs);
        uncleared_runs.map(|(worker, _)| *worker).collect()
    }

    /// Restores the crashes of a request from before this daemon started. Their times
    /// are not known: the request is quarantined as if the last crash had just happened.
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

    /// Records a completed run of a request; returns what it clears.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Moment) -> Cleared {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Cleared::Nothing;
        };
        let crash_count = record.crash_count();
        record.trial_until = Moment(0);
        let uncleared_runs = record
            .crashed_runs
            .values_mut()
            .filter(|k| !k.crashed_run.cleared);
        let clear = |known: &mut KnownCrash| {
            known.crashed_run.cleared = true;
            known.notify_until = now + NOTIFY_PERIOD;
        };
        if uncleared_runs.map(clear).count() == 0 {
            return Cleared::Nothing;
        }
        self.version += 1;
        match crash_count {
            QUARANTINE_CRASHES.. => Cleared::Quarantine,
            _ => Cleared::Suspicion,
        }
    }

    /// Number of sequential crashes attributed to a request, and the time of the last
    /// one.
    fn attributed_crashes(&self, fingerprint: Fingerprint) -> (u32, Moment) {
        let Some(record) = self.records.get(&fingerprint) else {
            return (0, Moment(0));
        };
        let crash_count = record.crash_count();
        if crash_count < QUARANTINE_CRASHES {
            return (crash_count, record.last());
        }
        let crashes = self.crashes();
        let own = record.uncleared_runs().filter(|(worker, crashed_run)| {
            let has_max_count = crashes[worker].max_crash_count <= crash_count;
            has_max_count && !is_mass_crash(&crashes, record, crashed_run)
        });
        count_sequential(own.map(|(_, crashed_run)| *crashed_run))
    }

    /// All recorded crashes, by worker incarnation.
    fn crashes(&self) -> BTreeMap<WorkerTag, Crash> {
        let mut crashes: BTreeMap<WorkerTag, Crash> = BTreeMap::new();
        for record in self.records.values() {
            let crash_count = record.crash_count();
            for (worker, KnownCrash { crashed_run, .. }) in &record.crashed_runs {
                let crash = crashes.entry(*worker).or_insert(Crash {
                    at: crashed_run.crashed,
                    max_crash_count: 0,
                });
                let counts = if crashed_run.cleared { 0 } else { crash_count };
                crash.max_crash_count = crash.max_crash_count.max(counts);
            }
        }
        crashes
    }

    /// Whether a caller's request may be sent to a worker now.
    #[must_use]
    pub fn quarantine_status(&self, fingerprint: Fingerprint, now: Moment) -> QuarantineStatus {
        let (attributed_crashes, last) = self.attributed_crashes(fingerprint);
        if attributed_crashes == 0 {
            return QuarantineStatus::Clear;
        }
        let Some(extra) = attributed_crashes.checked_sub(QUARANTINE_CRASHES) else {
            return QuarantineStatus::Suspect;
        };
        let until = last + quarantine_duration(extra, SECOND_QUARANTINE);
        let trial_until = self.records[&fingerprint].trial_until;
        if !until.is_past(now) {
            QuarantineStatus::Quarantined(until)
        } else if !trial_until.is_past(now) {
            QuarantineStatus::Quarantined(trial_until)
        } else {
            QuarantineStatus::TrialOnly(until)
        }
    }

    /// Whether an item of a job may be sent to a worker now.
    #[must_use]
    pub fn item_status(&self, fingerprint: Fingerprint, now: Moment) -> ItemStatus {
        let (attributed_crashes, last) = self.attributed_crashes(fingerprint);
        if attributed_crashes < QUARANTINE_CRASHES {
            return ItemStatus::Clear;
        }
        ItemStatus::after_crash(last, now)
    }

    /// Records the start of a trial run at this daemon.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        self.note_trial(fingerprint, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_local_trial = true;
            self.version += 1;
        }
    }

    /// Records the start of a trial run, here or at a peer.
    pub fn note_trial(&mut self, fingerprint: Fingerprint, now: Moment) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.trial_until.is_past(now)
        {
            record.trial_until = now + MAX_TRIAL;
        }
    }

    /// Records that a trial run ended without a result.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_until = Moment(0);
            record.is_local_trial = false;
        }
    }

    /// Requests whose trial runs at this daemon. Peers report their own trials: if
    /// daemons forwarded them, reports would circulate indefinitely.
    pub fn trials(&self) -> impl Iterator<Item = Fingerprint> {
        let records = self.records.iter().filter(|(_, r)| r.is_local_trial);
        records
            .map(|(fingerprint, _)| *fingerprint)
            .take(MAX_NOTICES)
    }

    /// Notices for the next report: crashes recently observed here and, if `all`, the
    /// crashes of quarantined requests, for daemons that have started since. The latter
    /// are the same at each daemon, so that only a few daemons need to send them.
    pub fn notices(&mut self, all: bool, now: Moment) -> Vec<CrashNotice> {
        let mut seen = Vec::new();
        let mut known = Vec::new();
        for (fingerprint, record) in &self.records {
            let crash_count = record.crash_count();
            for (worker, k) in &record.crashed_runs {
                let notice = CrashNotice {
                    fingerprint: *fingerprint,
                    worker: *worker,
                    crashed_run: k.crashed_run,
                };
                match (k.notify_until.is_past(now), crash_count) {
                    (false, _) => seen.push((crash_count, notice)),
                    (true, QUARANTINE_CRASHES..) if all => known.push(notice),
                    (true, _) => {}
                }
            }
        }
        select_notices(seen, known, &mut self.notice_offset)
    }

    /// Evicts crashes older than [`CRASH_RETENTION`].
    pub fn sweep(&mut self, now: Moment) {
        for record in self.records.values_mut() {
            record
                .crashed_runs
                .retain(|_, k| !(k.crashed_run.crashed + CRASH_RETENTION).is_past(now));
        }
        self.records.retain(|_, r| !r.crashed_runs.is_empty());
    }

    /// If there are more than [`MAX_REQUESTS`] records, keeps the half with the most
    /// crashes: a mass kill then costs one sort per 256 of its runs.
    fn evict_lowest_ranked(&mut self) {
        if self.records.len() <= MAX_REQUESTS {
            return;
        }
        let mut ranks: Vec<(u32, Moment, Fingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, r)| (r.crash_count(), r.last(), *fingerprint))
            .collect();
        ranks.sort_unstable();
        for (_, _, fingerprint) in &ranks[..ranks.len() - MAX_REQUESTS / 2] {
            self.records.remove(fingerprint);
        }
    }
}
