//! Parts of prompts that crash workers, and the quarantine of requests with such a part.
//!
//! Requests of which no two are alike may share a part of their prompts, and one part may
//! crash every worker that begins to answer on it. A crash is evidence against all shared
//! parts of all runs at the worker; a complete answer clears its parts, for the version of
//! the worker that gave it.
//!
//! A part is quarantined after three crashes. The parts that were merely present are told
//! from the cause by what each of the crashes can be attributed to: it does not count
//! against a part if another one explains it better, which is one that no worker has ever
//! written on, or else one with more crashes. A part on which workers have written more than
//! the runs that crashed needs three crashes one after the other, as workers that are killed
//! at one moment run many popular parts.
//!
//! What a worker has written on a part speaks for it only as far as it goes, so that a part
//! that crashes workers late in their answers is not cleared by what they write before.
//!
//! As long as two parts cannot be told from each other, both are quarantined, and a trial
//! run decides: that of the request with the fewest other suspects comes first, at once if
//! other parts explain all crashes. A trial that fails costs a worker, so that the next one
//! comes after half a minute, then a minute, and so on. A version of the workers that no
//! crash is known of gets a trial at once.
//!
//! Daemons notify each other of the crashes that they observe, not of conclusions; see
//! [`crate::Suspects`], which does the same for requests that are repeated.

mod answers;
mod depth;
mod record;

use crate::suspects::{
    CRASH_RETENTION, MAX_CRASHES, MAX_NOTICES, MAX_TRIAL, MIN_SIMULTANEOUS_CRASHES, NOTIFY_PERIOD,
    QUARANTINE_CRASHES, SIMULTANEOUS_WINDOW, select_notices,
};
use crate::{Cleared, CrashedRun, Fingerprint, ItemStatus, QuarantineStatus, WorkerTag};
use answers::Answers;
use bluebellreel_types::{Moment, WorkerVersion};
use record::{Known, Record};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use twox_hash::XxHash64;

pub use depth::Depth;
pub use record::{PartCrash, PartNotice};

/// Number of crashes after which a part is quarantined.
const MIN_CRASHES: usize = QUARANTINE_CRASHES as usize;
/// Maximum number of parts with recorded crashes; those with the fewest are evicted first.
const MAX_PARTS: usize = 512;
/// Delay of a trial run for each crash of another suspect part in its prompt, so that the
/// request with the fewest is tried first.
const RIVAL_DELAY: Duration = Duration::from_millis(400);
/// Failed trials of a part after which no other parts excuse it. Popular parts that were
/// merely present may together explain the crashes of the cause, also those of its trials;
/// one trial of a sound part may fail beside the cause.
const MAX_EXCUSED_TRIALS: usize = 2;
/// Pause before a request is checked again while another one is on trial; a trial lasts
/// for about a second.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);

/// Identifies a version of the workers' software in memory and in reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VersionTag(pub u32);

impl VersionTag {
    /// The tag of a version; zero if it is not known.
    #[must_use]
    pub fn of(version: Option<&WorkerVersion>) -> Self {
        let hash = |v: &WorkerVersion| XxHash64::oneshot(0, v.as_str().as_bytes());
        Self(version.map_or(0, |v| u32::try_from(hash(v) >> 32).unwrap_or(0)))
    }
}

/// Whether a request may be sent to workers of a version, by the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartVerdict {
    /// Whether it may be sent now.
    pub status: QuarantineStatus,
    /// The parts that decide: those in quarantine, or the one that is under suspicion.
    pub parts: Vec<Fingerprint>,
}

/// Parts of prompts under which workers have crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartSuspects {
    records: BTreeMap<Fingerprint, Record>,
    answers: Answers,
    /// Number of changes; see [`PartSuspects::version`].
    version: u64,
    notice_offset: usize,
}

impl PartSuspects {
    /// Whether no crash is recorded, which is the usual case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of parts with recorded crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of parts that are in quarantine or wait for a trial.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        let quarantined = records.filter(|r| self.attributed_crashes(r) >= MIN_CRASHES);
        quarantined.count()
    }

    /// Increases with each change that peers should be notified of at once.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a crash under a run of this daemon. Returns the number of crashes of the
    /// part that no answer has cleared.
    pub fn note_own_crash(&mut self, notice: PartNotice, now: Moment) -> usize {
        let PartNotice { part, worker, .. } = notice;
        self.note_crash(notice, now);
        self.version += 1;
        let Some(record) = self.records.get_mut(&part) else {
            return 0;
        };
        if let Some(known) = record.crashes.get_mut(&worker) {
            known.notify_until = now + NOTIFY_PERIOD;
        }
        record.open_count()
    }

    /// Records a crash; returns whether it changed anything.
    pub fn note_crash(&mut self, notice: PartNotice, now: Moment) -> bool {
        let PartNotice {
            part,
            worker,
            mut crash,
        } = notice;
        let run = crash.run;
        let is_invalid = run.crashed < run.began || run.crashed > now;
        if is_invalid || (run.crashed + CRASH_RETENTION).is_past(now) {
            return false;
        }
        let answered_at = self.answers.last(part, crash.version);
        let progressed_at = self.answers.last_beyond(part, crash.version, crash.depth);
        crash.written |= self.answers.was_written(part, crash.depth, run.crashed);
        crash.progressed |= progressed_at.is_some_and(|at| at > run.crashed);
        crash.run.cleared |= answered_at.is_some_and(|at| at > run.crashed);
        let corrected = crash != notice.crash;
        let record = self.records.entry(part).or_default();
        if let Some(known) = record.crashes.get_mut(&worker) {
            let before = known.crash;
            known.crash.run.cleared |= crash.run.cleared;
            known.crash.written |= crash.written;
            known.crash.progressed |= crash.progressed;
            known.crash.trial |= crash.trial;
            return known.crash != before;
        }
        record.evict_oldest();
        // The daemon that observed the crash did not know what was written on the part.
        let notify_until = if corrected {
            now + NOTIFY_PERIOD
        } else {
            Moment(0)
        };
        let known = Known {
            crash,
            notify_until,
        };
        record.crashes.insert(worker, known);
        self.evict_lowest_ranked();
        true
    }

    /// Records a complete answer by a worker of a version; returns what it clears.
    pub fn note_answer(
        &mut self,
        parts: &[Fingerprint],
        version: VersionTag,
        now: Moment,
    ) -> Vec<(Fingerprint, Cleared)> {
        let mut all = Vec::new();
        for part in parts {
            self.answers.note(*part, version, now);
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            let crash_count = record.open_count();
            record.trial_until = Moment(0);
            let crashes = record.crashes.values_mut();
            let mut cleared = false;
            for known in crashes.filter(|k| k.crash.version == version) {
                if !known.crash.run.cleared {
                    known.crash.run.cleared = true;
                    known.notify_until = now + NOTIFY_PERIOD;
                    cleared = true;
                }
            }
            if cleared {
                self.version += 1;
                let what = if crash_count >= MIN_CRASHES {
                    Cleared::Quarantine
                } else {
                    Cleared::Suspicion
                };
                all.push((*part, what));
            }
        }
        all
    }

    /// Records that a worker of a version has written an answer up to a depth: other parts
    /// are the likelier causes of the crashes of runs that got less far.
    pub fn note_progress(
        &mut self,
        parts: &[Fingerprint],
        version: VersionTag,
        depth: Depth,
        now: Moment,
    ) {
        for part in parts {
            self.answers.note_progress(*part, version, depth, now);
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            let crashes = record.crashes.values_mut();
            let outdone = |k: &&mut Known| k.crash.version == version && k.crash.depth < depth;
            for known in crashes.filter(outdone).filter(|k| !k.crash.progressed) {
                known.crash.progressed = true;
                known.notify_until = now + NOTIFY_PERIOD;
                self.version += 1;
            }
        }
    }

    /// Crashes of a part that no answer has cleared, with the version of each worker.
    #[must_use]
    pub fn open_crashes(&self, part: Fingerprint) -> Vec<(WorkerTag, VersionTag)> {
        let record = self.records.get(&part);
        let open = record.into_iter().flat_map(Record::open);
        open.map(|(worker, c)| (*worker, c.version)).collect()
    }

    /// Restores crashes of a part from before this daemon started, whose times are not
    /// known: as if they had just happened.
    pub fn recall(&mut self, part: Fingerprint, crashes: &[(WorkerTag, VersionTag)], now: Moment) {
        for (worker, version) in crashes.iter().take(MAX_CRASHES) {
            let run = CrashedRun {
                began: now,
                crashed: now,
                cleared: false,
            };
            let crash = PartCrash {
                run,
                version: *version,
                // Not known: only a complete answer shows that the part is sound.
                depth: Depth::MAX,
                written: false,
                progressed: false,
                trial: false,
            };
            self.note_crash(
                PartNotice {
                    part,
                    worker: *worker,
                    crash,
                },
                now,
            );
        }
    }

    /// Whether a caller's request with these shared parts may be sent to workers of a version
    /// now.
    #[must_use]
    pub fn verdict(&self, parts: &[Fingerprint], version: VersionTag, now: Moment) -> PartVerdict {
        let present: Vec<(Fingerprint, &Record)> = self
            .uncleared(parts, version)
            .filter(|(_, r)| self.attributed_crashes(r) > 0 || r.open_count() > 0)
            .collect();
        let quarantined: Vec<(Fingerprint, &Record)> = present
            .iter()
            .filter(|(_, r)| self.attributed_crashes(r) >= MIN_CRASHES)
            .copied()
            .collect();
        if quarantined.is_empty() {
            // Prompts list the parts that most requests share first.
            let suspect = present.iter().rev().find(|(_, r)| r.is_never_written());
            return PartVerdict {
                status: suspect.map_or(QuarantineStatus::Clear, |_| QuarantineStatus::Suspect),
                parts: suspect.map(|(part, _)| *part).into_iter().collect(),
            };
        }
        let (mut until, mut trial_until) = (Moment(0), Moment(0));
        for (part, record) in &quarantined {
            let rivals = present
                .iter()
                .filter(|(other, r)| other != part && record.is_rivalled_by(r));
            let crashes: usize = rivals.map(|(_, r)| r.open_count()).sum();
            let delay = RIVAL_DELAY * u32::try_from(crashes).unwrap_or(u32::MAX);
            let is_new_version = !record.open().any(|(_, c)| c.version == version);
            let is_excused = record.failed_trials() < MAX_EXCUSED_TRIALS
                && self.is_explained_without(record, parts);
            let quarantine = if is_new_version || is_excused {
                Duration::ZERO
            } else {
                record.quarantine()
            };
            until = until.max(record.last() + quarantine + delay);
            trial_until = trial_until.max(record.trial_until);
        }
        let status = if !until.is_past(now) {
            QuarantineStatus::Quarantined(until)
        } else if !trial_until.is_past(now) {
            QuarantineStatus::Quarantined(trial_until.min(now + TRIAL_PAUSE))
        } else {
            QuarantineStatus::TrialOnly(until)
        };
        PartVerdict {
            status,
            parts: quarantined.into_iter().map(|(part, _)| part).collect(),
        }
    }

    /// Whether an item with these shared parts may be sent to workers of a version now, and
    /// the part that decides.
    #[must_use]
    pub fn item_status(
        &self,
        parts: &[Fingerprint],
        version: VersionTag,
        now: Moment,
    ) -> (ItemStatus, Option<Fingerprint>) {
        let quarantined = self
            .uncleared(parts, version)
            .filter(|(_, r)| self.attributed_crashes(r) >= MIN_CRASHES);
        let statuses =
            quarantined.map(|(part, r)| (ItemStatus::after_crash(r.last(), now), Some(part)));
        statuses.max().unwrap_or((ItemStatus::Clear, None))
    }

    /// Those of the parts that no answer by this version has cleared, with their crashes.
    fn uncleared<'a>(
        &'a self,
        parts: &'a [Fingerprint],
        version: VersionTag,
    ) -> impl Iterator<Item = (Fingerprint, &'a Record)> {
        let known = parts.iter();
        let known = known.filter_map(|part| Some((*part, self.records.get(part)?)));
        known.filter(move |(part, r)| !self.is_cleared_at(*part, r, version))
    }

    /// Whether a version of the workers has answered on a part that crashed others.
    fn is_cleared_at(&self, part: Fingerprint, record: &Record, version: VersionTag) -> bool {
        let has_crashed = record.open().any(|(_, c)| c.version == version);
        !has_crashed && self.answers.last(part, version).is_some()
    }

    /// Number of crashes that nothing explains better than the part with this record.
    fn attributed_crashes(&self, record: &Record) -> usize {
        if record.open_count() < MIN_CRASHES {
            return record.open_count().max(record.late_count());
        }
        let strength = record.strength();
        let stronger: Vec<&Record> = self
            .records
            .values()
            .filter(|r| r.open_count() >= MIN_CRASHES && r.strength() > strength)
            .collect();
        let suspects_at = self.suspects_at_crashes();
        let unexplained: Vec<PartCrash> = record
            .open()
            .filter(|(worker, _)| !stronger.iter().any(|r| r.has_open_crash_of(**worker)))
            .filter(|(_, crash)| !is_mass_crash(&suspects_at, record, crash))
            .map(|(_, crash)| *crash)
            .collect();
        record.count(&unexplained).max(record.late_count())
    }

    /// Whether parts that are not in a prompt explain all crashes of one that is.
    fn is_explained_without(&self, record: &Record, prompt: &[Fingerprint]) -> bool {
        let others = self.records.iter().filter(|(part, other)| {
            let may_be_cause = other.open_count() >= MIN_CRASHES && record.is_rivalled_by(other);
            may_be_cause && !prompt.contains(part)
        });
        let others: Vec<&Record> = others.map(|(_, other)| other).collect();
        let mut open = record.open();
        open.all(|(worker, _)| others.iter().any(|r| r.has_open_crash_of(*worker)))
    }

    /// All recorded crashes, by worker: when it was, and the highest number of crashes of a
    /// part there that no worker has written on.
    fn suspects_at_crashes(&self) -> BTreeMap<WorkerTag, (Moment, usize)> {
        let mut crashes = BTreeMap::new();
        for record in self.records.values() {
            let is_suspect = record.is_never_written();
            for (worker, known) in &record.crashes {
                let crash = &known.crash;
                let (_, max) = crashes.entry(*worker).or_insert((crash.run.crashed, 0));
                if is_suspect && !crash.run.cleared {
                    *max = record.open_count().max(*max);
                }
            }
        }
        crashes
    }

    /// Records the start of a trial run at this daemon.
    pub fn begin_trial(&mut self, part: Fingerprint, now: Moment) {
        self.note_trial(part, now);
        if let Some(record) = self.records.get_mut(&part) {
            record.is_local_trial = true;
            self.version += 1;
        }
    }

    /// Records the start of a trial run, here or at a peer.
    pub fn note_trial(&mut self, part: Fingerprint, now: Moment) {
        if let Some(record) = self.records.get_mut(&part)
            && record.trial_until.is_past(now)
        {
            record.trial_until = now + MAX_TRIAL;
        }
    }

    /// Records that a trial run ended without a result.
    pub fn end_trial(&mut self, part: Fingerprint) {
        if let Some(record) = self.records.get_mut(&part) {
            record.trial_until = Moment(0);
            record.is_local_trial = false;
        }
    }

    /// Parts whose trial runs at this daemon.
    pub fn trials(&self) -> impl Iterator<Item = Fingerprint> {
        let records = self.records.iter().filter(|(_, r)| r.is_local_trial);
        records.map(|(part, _)| *part).take(MAX_NOTICES)
    }

    /// Notices for the next report: of crashes observed here lately and, if `all`, of the
    /// crashes of quarantined parts, for daemons that have started since.
    pub fn notices(&mut self, all: bool, now: Moment) -> Vec<PartNotice> {
        let mut seen = Vec::new();
        let mut known = Vec::new();
        for (part, record) in &self.records {
            let crash_count = record.open_count();
            for (worker, k) in &record.crashes {
                let notice = PartNotice {
                    part: *part,
                    worker: *worker,
                    crash: k.crash,
                };
                if !k.notify_until.is_past(now) {
                    seen.push((u32::try_from(crash_count).unwrap_or(u32::MAX), notice));
                } else if all && crash_count >= MIN_CRASHES && !k.crash.run.cleared {
                    known.push(notice);
                }
            }
        }
        select_notices(seen, known, &mut self.notice_offset)
    }

    /// Evicts crashes older than [`CRASH_RETENTION`].
    pub fn sweep(&mut self, now: Moment) {
        for record in self.records.values_mut() {
            record
                .crashes
                .retain(|_, k| !(k.crash.run.crashed + CRASH_RETENTION).is_past(now));
        }
        self.records.retain(|_, r| !r.crashes.is_empty());
    }

    /// Keeps the half with the most crashes if there are more than [`MAX_PARTS`] records.
    fn evict_lowest_ranked(&mut self) {
        if self.records.len() <= MAX_PARTS {
            return;
        }
        let records = self.records.iter();
        let mut ranks: Vec<(usize, Moment, Fingerprint)> = records
            .map(|(part, r)| (r.open_count(), r.last(), *part))
            .collect();
        ranks.sort_unstable();
        for (_, _, part) in &ranks[..ranks.len() - MAX_PARTS / 2] {
            self.records.remove(part);
        }
    }
}

/// Whether a crash under a part is one of a mass kill: workers where the part was not
/// present crashed at the same moment, under nothing that is suspect.
fn is_mass_crash(
    suspects_at: &BTreeMap<WorkerTag, (Moment, usize)>,
    record: &Record,
    crash: &PartCrash,
) -> bool {
    let at = crash.run.crashed;
    let others = suspects_at.iter().filter(|(worker, (other, suspects))| {
        let is_simultaneous =
            *other <= at + SIMULTANEOUS_WINDOW && at <= *other + SIMULTANEOUS_WINDOW;
        *suspects <= 1 && is_simultaneous && !record.crashes.contains_key(worker)
    });
    others.count() >= MIN_SIMULTANEOUS_CRASHES
}
