//! What items have generated, told to the daemon that would take their job
//! over.
//!
//! An item's output lies in its owner's memory until the item has ended. If the
//! owner dies, whoever takes the job over would begin every item anew. So the
//! owner tells its successor now and then how far its items are; the successor keeps that
//! for a while, within a bound, and goes on from there.

use crate::{Item, ItemPhase, ItemResult, Job, Progress, ResultState};
use bluebellreel_types::{JobId, Moment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How far one item is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item's id.
    pub item: Arc<str>,
    /// Its runs that failed by its own fault.
    pub failures: u32,
    /// Id of its last event; zero for an item without any, or that has ended.
    pub last_id: u64,
    /// Number of its events; zero for an item without any, or that has ended.
    pub events: u64,
    /// Its text so far.
    pub text: String,
    /// How it has ended, if it has; its result is not recorded yet.
    pub ended: Option<ResultState>,
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
        })
    }

    /// An item whose result waits to be recorded. While the store is away that
    /// lasts as long as the outage: the result would be lost with its owner.
    fn of_result(result: &ItemResult) -> Self {
        Self {
            item: result.id.clone(),
            failures: 0,
            last_id: 0,
            events: 0,
            text: result.text.to_string(),
            ended: Some(result.state),
        }
    }

    fn bytes(&self) -> usize {
        self.text.len() + self.item.len()
    }

    /// How much there is to copy: more after each event and each failure.
    #[must_use]
    pub fn extent(&self) -> u64 {
        self.text.len() as u64 + u64::from(self.failures) + 1
    }
}

impl Job {
    /// How far all items are that have generated something or failed, and whose
    /// results are not recorded.
    #[must_use]
    pub fn progress(&self) -> Vec<ItemProgress> {
        let begun = self.items.iter().filter(|i| i.phase != ItemPhase::Ended);
        let begun = begun.filter_map(ItemProgress::of);
        begun
            .chain(self.unrecorded().map(ItemProgress::of_result))
            .collect()
    }

    /// Lets waiting items go on from where they were, if that is further, and
    /// ends those that had ended.
    pub fn restore(&mut self, begun: Vec<ItemProgress>, now: Moment) {
        for known in begun {
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
        item.failures = item.failures.max(known.failures);
        if let Some(state) = known.ended {
            item.progress = Progress::restored(known.last_id, known.events, known.text);
            self.conclude(at, state, now);
        } else if item.progress.events() < known.events {
            item.progress = Progress::restored(known.last_id, known.events, known.text);
        }
    }
}

#[derive(Clone, Debug)]
struct Copy {
    until: Moment,
    items: Vec<ItemProgress>,
}

impl Copy {
    fn bytes(&self) -> usize {
        self.items.iter().map(ItemProgress::bytes).sum()
    }
}

/// Progress of other daemons' jobs, each until a moment, within a bound of
/// bytes.
#[derive(Clone, Debug)]
pub struct ProgressCopies {
    jobs: BTreeMap<JobId, Copy>,
    bytes: usize,
    limit: usize,
}

impl ProgressCopies {
    /// Nothing yet; at most `limit` bytes are kept.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            jobs: BTreeMap::new(),
            bytes: 0,
            limit,
        }
    }

    /// Keeps how far a job's items are in place of what was known of it. What
    /// does not fit is not kept: its items begin anew, which is right if slower.
    pub fn keep(&mut self, id: JobId, items: Vec<ItemProgress>, until: Moment) {
        self.take(&id);
        let copy = Copy { until, items };
        if self.bytes + copy.bytes() > self.limit {
            return;
        }
        self.bytes += copy.bytes();
        self.jobs.insert(id, copy);
    }

    /// Hands out what is known of a job, and forgets it.
    pub fn take(&mut self, id: &JobId) -> Vec<ItemProgress> {
        let Some(copy) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.bytes -= copy.bytes();
        copy.items
    }

    /// Forgets what was kept until now.
    pub fn sweep(&mut self, now: Moment) {
        self.jobs.retain(|_, copy| !copy.until.is_past(now));
        self.bytes = self.jobs.values().map(Copy::bytes).sum();
    }

    /// Bytes that are kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
