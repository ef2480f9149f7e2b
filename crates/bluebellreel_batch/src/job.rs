//! One job as its owner knows it.

use crate::{ItemResult, JobPhase, JobRecord, NewItem, Progress, ResultState};
use bluebellreel_types::{JobId, Moment, WorkerName};
use std::sync::Arc;
use std::time::Duration;

/// Refusals of an item's work itself after which it is given up.
const FINAL_REFUSALS: u32 = 1;

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It may start at this moment.
    Waiting {
        /// Earliest start; in the past, but after a failure.
        from: Moment,
    },
    /// It runs at a worker.
    Running,
    /// It has ended; its result is not recorded yet, or is.
    Ended,
}

/// One item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its input.
    pub input: NewItem,
    /// Where it stands.
    pub phase: ItemPhase,
    /// What it has generated.
    pub progress: Progress,
    /// Its runs that failed by its own fault.
    pub failures: u32,
    /// Workers where it has failed, as far as this daemon knows.
    pub failed_at: Vec<WorkerName>,
}

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// Its output is whole.
    Completed,
    /// The worker says that it can never be done.
    Impossible,
    /// The worker failed at it.
    Failed,
    /// It was broken off or never started, by no fault of its own; it may go
    /// on from this moment.
    Interrupted(Moment),
}

/// Results that are to be recorded together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its number.
    pub number: usize,
    /// Its results.
    pub results: Vec<ItemResult>,
    /// Whether the job is done with it.
    pub last: bool,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its record as stored.
    pub record: JobRecord,
    /// The record's revision: guard of every write.
    pub revision: i64,
    /// Its items.
    pub items: Vec<Item>,
    /// Recorded results in order.
    pub listed: Vec<ItemResult>,
    segments: usize,
    pending: Vec<ItemResult>,
    pending_since: Option<Moment>,
    writing: Option<Segment>,
}

impl Job {
    /// A job as it is loaded: input, and the segments recorded so far.
    #[must_use]
    pub fn new(
        id: JobId,
        record: JobRecord,
        revision: i64,
        input: Vec<NewItem>,
        segments: Vec<Vec<ItemResult>>,
    ) -> Self {
        let items = input.into_iter().map(|input| Item {
            input,
            phase: ItemPhase::Waiting { from: Moment(0) },
            progress: Progress::default(),
            failures: 0,
            failed_at: Vec::new(),
        });
        let mut job = Self {
            id,
            record,
            revision,
            items: items.collect(),
            listed: Vec::new(),
            segments: 0,
            pending: Vec::new(),
            pending_since: None,
            writing: None,
        };
        for results in segments {
            job.list(results);
        }
        job
    }

    /// Whether items may run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.record.phase == JobPhase::Open
    }

    /// Tokens of items that have no result yet.
    #[must_use]
    pub fn tokens_left(&self) -> u64 {
        if !self.is_open() {
            return 0;
        }
        let left = self.items.iter().filter(|i| i.phase != ItemPhase::Ended);
        left.map(|i| i.input.tokens).sum()
    }

    /// Items that wait to run.
    #[must_use]
    pub fn items_waiting(&self) -> usize {
        if !self.is_open() {
            return 0;
        }
        let waits = |item: &&Item| matches!(item.phase, ItemPhase::Waiting { .. });
        self.items.iter().filter(waits).count()
    }

    /// Results that are not surely recorded.
    pub(crate) fn unrecorded(&self) -> impl Iterator<Item = &ItemResult> {
        let writing = self.writing.iter().flat_map(|s| &s.results);
        writing.chain(&self.pending)
    }

    /// Whether results are being written, which readers may find in the store
    /// before the answer comes.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Whether a result waits to be recorded.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || self.writing.is_some()
    }

    /// Ends a run of an item. `most_failures` is the number of failures after
    /// which the item is given up.
    pub fn end_run(&mut self, item: usize, end: ItemEnd, most_failures: u32, now: Moment) {
        let Some(found) = self.items.get_mut(item) else {
            return;
        };
        if found.phase != ItemPhase::Running {
            return;
        }
        let state = match end {
            ItemEnd::Completed => Some(ResultState::Completed),
            ItemEnd::Impossible => {
                found.failures += FINAL_REFUSALS;
                Some(ResultState::Dead)
            }
            ItemEnd::Failed => {
                found.failures += 1;
                (found.failures >= most_failures.max(1)).then_some(ResultState::Dead)
            }
            ItemEnd::Interrupted(from) => {
                found.phase = ItemPhase::Waiting { from };
                return;
            }
        };
        match state {
            Some(state) => self.conclude(item, state, now),
            None => found.phase = ItemPhase::Waiting { from: now },
        }
    }

    /// Gives an item up that does not run and has no result.
    pub fn give_up(&mut self, item: usize, now: Moment) {
        if matches!(self.items[item].phase, ItemPhase::Waiting { .. }) {
            self.conclude(item, ResultState::Dead, now);
        }
    }

    /// Gives up all items that wait, once the job has been kept as long as was
    /// asked. Clocks of daemons differ, so `slack` is added.
    pub fn give_up_overdue(&mut self, slack: Duration, now: Moment) {
        if !self.is_open() || !(self.record.give_up_at + slack).is_past(now) {
            return;
        }
        for item in 0..self.items.len() {
            self.give_up(item, now);
        }
    }

    pub(crate) fn conclude(&mut self, item: usize, state: ResultState, now: Moment) {
        let found = &mut self.items[item];
        found.phase = ItemPhase::Ended;
        let progress = std::mem::take(&mut found.progress);
        let text = match state {
            ResultState::Completed => Arc::from(progress.text()),
            ResultState::Dead => Arc::from(""),
        };
        self.pending.push(ItemResult {
            id: found.input.id.clone(),
            state,
            text,
        });
        self.pending_since.get_or_insert(now);
    }

    /// The segment to record now, if any. One that is under way is repeated
    /// unchanged until its outcome is known: a lost answer may hide that it
    /// was recorded, and it may still be, so nothing else may take its number.
    pub fn segment_to_write(
        &mut self,
        gather_until: impl Fn(Moment) -> Moment,
        now: Moment,
        bytes: usize,
    ) -> Option<Segment> {
        if let Some(segment) = &self.writing {
            return Some(segment.clone());
        }
        let since = self.pending_since?;
        let all_ended = self.items.iter().all(|i| i.phase == ItemPhase::Ended);
        let size: usize = self.pending.iter().map(|r| r.text.len()).sum();
        if !all_ended && size < bytes && !gather_until(since).is_past(now) {
            return None;
        }
        let count = self.count_within(bytes);
        let results: Vec<ItemResult> = self.pending.drain(..count).collect();
        self.pending_since = (!self.pending.is_empty()).then_some(since);
        let segment = Segment {
            number: self.segments,
            last: all_ended && self.pending.is_empty(),
            results,
        };
        self.writing = Some(segment.clone());
        Some(segment)
    }

    /// Pending results that fit into a segment; at least one.
    fn count_within(&self, bytes: usize) -> usize {
        let mut size = 0;
        let fitting = self.pending.iter().take_while(|r| {
            size += r.text.len();
            size <= bytes
        });
        fitting.count().max(1)
    }

    /// The segment under way is recorded. `revision` is the record's, if the
    /// write changed it.
    pub fn recorded(&mut self, revision: Option<i64>) {
        let Some(segment) = self.writing.take() else {
            return;
        };
        if segment.last {
            self.record.phase = JobPhase::Done;
        }
        if let Some(revision) = revision {
            self.revision = revision;
        }
        self.list(segment.results);
    }

    fn list(&mut self, results: Vec<ItemResult>) {
        self.segments += 1;
        for result in results {
            let item = self.items.iter_mut().find(|i| i.input.id == result.id);
            if let Some(item) = item {
                item.phase = ItemPhase::Ended;
                item.progress = Progress::default();
            }
            self.listed.push(result);
        }
    }

    /// Body of an item that has no recorded result.
    #[must_use]
    pub fn body(&self, item: &str) -> Option<bytes::Bytes> {
        if self.listed.iter().any(|r| &*r.id == item) {
            return None;
        }
        let found = self.items.iter().find(|i| &*i.input.id == item)?;
        Some(found.input.body.clone())
    }
}
