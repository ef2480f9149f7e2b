//! Outcomes as daemons report them to each other, and what a daemon keeps of a peer's
//! reports.

use super::Counts;
use crate::WorkerTag;
use bluebellreel_types::{Incarnation, Moment};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// Maximum number of workers in one report.
pub const MAX_REPORTED_WORKERS: usize = 64;

/// A worker, its good and its bad outcomes in the window.
pub type RawOutcome = (WorkerTag, u8, u8);

/// Which report of a peer something comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportId {
    /// The run of the peer's process.
    pub run: Incarnation,
    /// Number of the report; the higher one is the newer one, also after a restart.
    pub sequence: u64,
}

/// Why reported outcomes are not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidOutcomes {
    /// There are more than [`MAX_REPORTED_WORKERS`].
    TooMany,
    /// A worker is listed twice.
    Duplicate,
    /// Workers that this daemon does not know; the other ones are used.
    UnknownWorkers(usize),
}

impl InvalidOutcomes {
    /// Name of the cause, for the log.
    #[must_use]
    pub fn cause(self) -> &'static str {
        match self {
            Self::TooMany => "too many workers",
            Self::Duplicate => "worker listed twice",
            Self::UnknownWorkers(_) => "unknown worker",
        }
    }
}

impl fmt::Display for InvalidOutcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.cause())
    }
}

impl std::error::Error for InvalidOutcomes {}

/// Reported outcomes whose list is well-formed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedOutcomes(Vec<(WorkerTag, Counts)>);

impl ReportedOutcomes {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<Vec<RawOutcome>> for ReportedOutcomes {
    type Error = InvalidOutcomes;

    fn try_from(raw: Vec<RawOutcome>) -> Result<Self, Self::Error> {
        if raw.len() > MAX_REPORTED_WORKERS {
            return Err(InvalidOutcomes::TooMany);
        }
        let tags: BTreeSet<WorkerTag> = raw.iter().map(|(tag, ..)| *tag).collect();
        if tags.len() < raw.len() {
            return Err(InvalidOutcomes::Duplicate);
        }
        let counts = raw.into_iter().map(|(tag, good, bad)| {
            let (good, bad) = (u32::from(good), u32::from(bad));
            (tag, Counts { good, bad })
        });
        Ok(Self(counts.collect()))
    }
}

impl IntoIterator for ReportedOutcomes {
    type Item = (WorkerTag, Counts);
    type IntoIter = std::vec::IntoIter<Self::Item>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// What a peer has reported about one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) sequence: u64,
    pub(super) counts: Counts,
    pub(super) expires_at: Moment,
}

/// What a peer has reported.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) latest: ReportId,
    pub(super) entries: HashMap<WorkerTag, Entry>,
    /// Whether its path to the workers is broken, so that its outcomes do not count.
    pub(super) has_broken_path: bool,
}

impl Peer {
    pub(super) fn new(latest: ReportId) -> Self {
        Self {
            latest,
            entries: HashMap::new(),
            has_broken_path: false,
        }
    }

    /// Its outcomes at a worker, as far as they count.
    pub(super) fn counted(&self, tag: WorkerTag) -> Counts {
        let entry = self.entries.get(&tag).filter(|_| !self.has_broken_path);
        entry.map_or(Counts::default(), |e| e.counts)
    }

    pub(super) fn outcomes(&self) -> impl Iterator<Item = (WorkerTag, Counts)> {
        self.entries.iter().map(|(tag, entry)| (*tag, entry.counts))
    }
}
