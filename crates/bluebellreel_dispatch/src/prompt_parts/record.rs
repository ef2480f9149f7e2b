//! Recorded crashes of workers under requests that share one part of their prompts.

use super::{Depth, VersionTag};
use crate::suspects::{MAX_CRASHES, count_sequential, quarantine_duration};
use crate::{CrashedRun, Fingerprint, WorkerTag};
use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the last crash to the first trial, in which late notices of crashes arrive.
const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(300);

/// Quarantine after the first trial that failed; it doubles with each further one. Shorter
/// than that of a single request, as it holds back all requests with the part.
const PART_QUARANTINE: Duration = Duration::from_secs(30);
/// Number of crashes that count as one if workers had written on the part in between. A part
/// that crashes workers long after they began an answer is quarantined later.
const LATE_CRASHES: usize = 4;

/// One crash of a worker under a run with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// The run; cleared once the worker's version has answered on the part.
    pub run: CrashedRun,
    /// Version of the worker's software.
    pub version: VersionTag,
    /// How far the run had written its answer.
    pub depth: Depth,
    /// Whether a worker had gone further on the part before.
    pub written: bool,
    /// Whether a worker of this version has done so since.
    pub progressed: bool,
    /// Whether the run was a trial of the part.
    pub trial: bool,
}

/// A crash, as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartNotice {
    /// The part.
    pub part: Fingerprint,
    /// The incarnation of the worker that crashed.
    pub worker: WorkerTag,
    /// The crash.
    pub crash: PartCrash,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) crash: PartCrash,
    /// Until when peers are notified of it.
    pub(super) notify_until: Moment,
}

fn count_in_turn<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    let (count, _) = count_sequential(crashes.map(|c| c.run));
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// How much speaks against a part; the larger one explains the crashes of both.
///
/// A part on which no worker has ever written is the likelier cause, however often one
/// that workers have written on was present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Strength {
    never_written: bool,
    crashes: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) crashes: BTreeMap<WorkerTag, Known>,
    /// Until when a trial run blocks others, here or at a peer.
    pub(super) trial_until: Moment,
    /// Whether the trial runs at this daemon.
    pub(super) is_local_trial: bool,
}

impl Record {
    /// Crashes that no answer has cleared.
    fn uncleared(&self) -> impl Iterator<Item = (&WorkerTag, &PartCrash)> {
        let crashes = self.crashes.iter().map(|(worker, k)| (worker, &k.crash));
        crashes.filter(|(_, c)| !c.run.cleared)
    }

    /// Crashes since which no worker of their version has gone further on the part.
    pub(super) fn open(&self) -> impl Iterator<Item = (&WorkerTag, &PartCrash)> {
        self.uncleared().filter(|(_, c)| !c.progressed)
    }

    pub(super) fn open_count(&self) -> usize {
        self.open().count()
    }

    pub(super) fn has_open_crash_of(&self, worker: WorkerTag) -> bool {
        let known = self.crashes.get(&worker);
        known.is_some_and(|k| !k.crash.run.cleared && !k.crash.progressed)
    }

    pub(super) fn is_never_written(&self) -> bool {
        self.open().any(|(_, c)| !c.written)
    }

    pub(super) fn strength(&self) -> Strength {
        Strength {
            never_written: self.is_never_written(),
            crashes: self.open_count(),
        }
    }

    /// Whether a part with the other record may be the cause instead of this one.
    pub(super) fn is_rivalled_by(&self, other: &Self) -> bool {
        other.is_never_written() || !self.is_never_written()
    }

    /// Time of the last crash.
    pub(super) fn last(&self) -> Moment {
        let crashes = self.crashes.values().map(|k| k.crash.run.crashed);
        crashes.max().unwrap_or_default()
    }

    /// Number of those crashes that count. Workers that are killed at the same moment run
    /// many popular parts: if workers had written on a part, only crashes in turn count.
    pub(super) fn count(&self, crashes: &[PartCrash]) -> usize {
        if self.is_never_written() {
            return crashes.len();
        }
        count_in_turn(crashes.iter())
    }

    /// Number of crashes in turn that no answer has cleared, though workers may have written
    /// on the part since, each few of them counted as one.
    pub(super) fn late_count(&self) -> usize {
        count_in_turn(self.uncleared().map(|(_, c)| c)) / LATE_CRASHES
    }

    /// Number of trials that failed.
    pub(super) fn failed_trials(&self) -> usize {
        self.open().filter(|(_, c)| c.trial).count()
    }

    /// Duration of the present quarantine, which grows with each trial that failed.
    pub(super) fn quarantine(&self) -> Duration {
        match u32::try_from(self.failed_trials()) {
            Ok(0) => FIRST_TRIAL_DELAY,
            failed => quarantine_duration(failed.unwrap_or(u32::MAX), PART_QUARANTINE),
        }
    }

    /// Makes room for one more crash by evicting the oldest.
    pub(super) fn evict_oldest(&mut self) {
        while self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, k)| k.crash.run.crashed);
            let Some((&worker, _)) = oldest else { return };
            self.crashes.remove(&worker);
        }
    }
}
