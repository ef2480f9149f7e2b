//! Copies of item progress, sent to the daemon that would take the job over.
//!
//! The output of a running item is only in its owner's memory. If the owner died
//! without a copy, the daemon that takes the job over would restart every item from the
//! beginning. The owner therefore sends its successor the progress of its items at
//! intervals. The successor keeps the copy for a limited time and within a limit of
//! bytes, and resumes from it after a take-over.

use crate::{Item, ItemPhase, ItemResult, Job, Progress, ResultState};
use bluebellreel_types::{JobId, Moment, WorkerVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Progress of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item's id.
    pub item: Arc<str>,
    /// Runs that failed because of the item itself.
    pub failures: u32,
    /// Id of its last event; zero if it has no events or has ended.
    pub last_id: u64,
    /// Number of its events; zero if it has no events or has ended.
    pub events: u64,
    /// Text generated so far.
    pub text: String,
    /// Final state, if the item has ended and its result is not recorded yet.
    pub ended: Option<ResultState>,
    /// Version of the workers that generated the text; none if it is not known. It is not
    /// part of the serialized form, which daemons of an earlier build read.
    #[serde(skip)]
    pub version: Option<WorkerVersion>,
}

impl ItemProgress {
    fn of(item: &Item) -> Option<Self> {
        let last_id = item.progress.last_id();
        if last_id.is_none() && item.failures == 0 {
            return None;
        }
        Some(Self {
            item: item.input.id.clone(),
            failures: item.failures,
            last_id: last_id.unwrap_or(0),
            events: item.progress.events(),
            text: item.progress.text().to_owned(),
            ended: None,
            version: item.progress.version().cloned(),
        })
    }

    /// Progress of an ended item whose result waits to be recorded. During an outage of
    /// the store it waits until the outage ends, and the result would be lost if the
    /// owner died.
    fn of_result(result: &ItemResult) -> Self {
        Self {
            item: result.id.clone(),
            failures: 0,
            last_id: 0,
            events: 0,
            text: result.text.to_string(),
            ended: Some(result.state),
            version: None,
        }
    }

    fn bytes(&self) -> usize {
        self.text.len() + self.item.len()
    }

    /// Measure of the progress that a copy holds; it grows with each event and each
    /// failure.
    #[must_use]
    pub fn extent(&self) -> u64 {
        self.text.len() as u64 + u64::from(self.failures) + 1
    }
}

impl Job {
    /// Progress of all items that have generated output or failed, and whose results
    /// are not recorded.
    #[must_use]
    pub fn progress(&self) -> Vec<ItemProgress> {
        let unfinished = self.items.iter().filter(|i| i.phase != ItemPhase::Ended);
        let unfinished = unfinished.filter_map(ItemProgress::of);
        unfinished
            .chain(self.unrecorded().map(ItemProgress::of_result))
            .collect()
    }

    /// Applies copied progress to waiting items: items whose copy is further along
    /// resume from it, and items that had ended in the copy end here too.
    pub fn restore(&mut self, copied: Vec<ItemProgress>, now: Moment) {
        for known in copied {
            let at = self.items.iter().position(|i| i.input.id == known.item);
            if let Some(at) = at {
                self.restore_item(at, known, now);
            }
        }
    }

    fn restore_item(&mut self, at: usize, known: ItemProgress, now: Moment) {
        let item = &mut self.items[at];
        if !matches!(item.phase, ItemPhase::Waiting { .. }) {
            return;
        }
        if item.failures < known.failures {
            item.failures = known.failures;
            self.counts_changed(at, now);
        }
        let item = &mut self.items[at];
        if let Some(state) = known.ended {
            item.progress =
                Progress::restored(known.last_id, known.events, known.text, known.version);
            self.conclude(at, state, now);
        } else if item.progress.events() < known.events {
            item.progress =
                Progress::restored(known.last_id, known.events, known.text, known.version);
        }
    }
}

#[derive(Clone, Debug)]
struct Copy {
    expires_at: Moment,
    items: Vec<ItemProgress>,
}

impl Copy {
    fn bytes(&self) -> usize {
        self.items.iter().map(ItemProgress::bytes).sum()
    }
}

/// Copies of the progress of jobs owned by other daemons. Each copy has an expiry time,
/// and all copies together are limited in bytes.
#[derive(Clone, Debug)]
pub struct ProgressCopies {
    jobs: BTreeMap<JobId, Copy>,
    bytes: usize,
    limit: usize,
}

impl ProgressCopies {
    /// Creates an empty collection that holds at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            jobs: BTreeMap::new(),
            bytes: 0,
            limit,
        }
    }

    /// Replaces the copy of a job's progress. A copy that exceeds the limit is dropped;
    /// the items then restart from the beginning, which is correct but slower.
    pub fn keep(&mut self, id: JobId, items: Vec<ItemProgress>, expires_at: Moment) {
        self.take(&id);
        let copy = Copy { expires_at, items };
        if self.bytes + copy.bytes() > self.limit {
            return;
        }
        self.bytes += copy.bytes();
        self.jobs.insert(id, copy);
    }

    /// Removes and returns the copy of a job's progress.
    pub fn take(&mut self, id: &JobId) -> Vec<ItemProgress> {
        let Some(copy) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.bytes -= copy.bytes();
        copy.items
    }

    /// Evicts expired copies.
    pub fn sweep(&mut self, now: Moment) {
        self.jobs.retain(|_, copy| !copy.expires_at.is_past(now));
        self.bytes = self.jobs.values().map(Copy::bytes).sum();
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
