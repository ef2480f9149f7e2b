//! State of one job at its owner.

use crate::{ItemResult, ItemTiming, JobPhase, JobRecord, NewItem, Progress, ResultState};
use bluebellreel_types::{JobId, Moment, WorkerName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Failures added when a worker reports that an item can never succeed. Such an item is
/// given up at once, whatever its number of failures.
const IMPOSSIBLE_FAILURES: u32 = 1;

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// The item may start at or after a given moment.
    Waiting {
        /// Earliest start; zero unless an earlier run failed or was interrupted.
        from: Moment,
    },
    /// The item runs at a worker.
    Running,
    /// The item has ended; its result may or may not be recorded yet.
    Ended,
}

/// One item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its input.
    pub input: NewItem,
    /// Its state.
    pub phase: ItemPhase,
    /// Output generated so far.
    pub progress: Progress,
    /// Runs that failed because of the item itself.
    pub failures: u32,
    /// Runs without an answer in time.
    pub unanswered: u32,
    /// Whether it is given up for its failures, and its result is not recorded yet.
    pub given_up: bool,
    /// Since when its counts are in its owner's memory only; it does not run meanwhile.
    pub uncounted_since: Option<Moment>,
    /// Workers where it has failed, as far as this daemon knows.
    pub failed_at: Vec<WorkerName>,
    /// Until when it waits for a worker of the version that generated its output.
    pub version_deadline: Option<Moment>,
    /// Until when it waits for a proven worker before its last run.
    pub proven_deadline: Option<Moment>,
    /// When it ran.
    pub timing: ItemTiming,
}

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The output is complete.
    Completed,
    /// The worker reports that the item can never succeed.
    Impossible,
    /// The item failed at the worker.
    Failed,
    /// The worker's answer did not begin in time. The item may run again from this moment.
    Unanswered(Moment),
    /// The run was cut off or never started for reasons other than the item itself. The
    /// item may run again from this moment.
    Interrupted(Moment),
}

/// Results recorded by one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Position among the job's segments.
    pub number: usize,
    /// Its results.
    pub results: Vec<ItemResult>,
    /// Whether the job is done once this segment is recorded.
    pub last: bool,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its record as stored.
    pub record: JobRecord,
    /// Revision of the record; every write to the job compares it.
    pub revision: i64,
    /// Its items.
    pub items: Vec<Item>,
    /// Recorded results, in the order of their segments.
    pub listed: Vec<ItemResult>,
    segments: usize,
    pending: Vec<ItemResult>,
    pending_since: Option<Moment>,
    writing: Option<Segment>,
    cancel_requested: bool,
    /// Chunks of counts that are not in the store yet.
    pub(crate) unsaved_counts: BTreeSet<usize>,
    /// Revisions of the chunks of counts in the store.
    pub(crate) count_revisions: BTreeMap<usize, i64>,
}

impl Job {
    /// Builds a job from its stored input and the segments recorded so far.
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
            unanswered: 0,
            given_up: false,
            uncounted_since: None,
            failed_at: Vec::new(),
            version_deadline: None,
            proven_deadline: None,
            timing: ItemTiming::default(),
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
            cancel_requested: false,
            unsaved_counts: BTreeSet::new(),
            count_revisions: BTreeMap::new(),
        };
        for results in segments {
            job.append_results(results);
        }
        job
    }

    /// Whether the job is open in the store, as far as its owner knows.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.record.phase == JobPhase::Open
    }

    /// Whether items may run.
    #[must_use]
    pub fn may_run(&self) -> bool {
        self.is_open() && !self.cancel_requested
    }

    /// Stops the items from running. The job stays open until its cancellation is in the
    /// store: until then results may still be recorded, or another daemon may run it.
    pub fn request_cancel(&mut self) {
        self.cancel_requested = true;
    }

    /// Tokens of items that have not ended.
    #[must_use]
    pub fn tokens_left(&self) -> u64 {
        if !self.may_run() {
            return 0;
        }
        let left = self.items.iter().filter(|i| i.phase != ItemPhase::Ended);
        left.map(|i| i.input.tokens).sum()
    }

    /// Number of items that wait to run by a moment, without those that are held back
    /// for longer or are uncounted.
    #[must_use]
    pub fn items_waiting(&self, by: Moment) -> usize {
        if !self.may_run() {
            return 0;
        }
        self.items.iter().filter(|item| item.may_start(by)).count()
    }

    /// Results not known to be recorded: those of the write in flight and the pending
    /// ones.
    pub(crate) fn unrecorded(&self) -> impl Iterator<Item = &ItemResult> {
        let writing = self.writing.iter().flat_map(|s| &s.results);
        writing.chain(&self.pending)
    }

    /// Whether a write of results is in flight. Readers may find its results in the
    /// store before the owner gets the answer.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Whether all items have ended; some results may not be recorded yet.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.items.iter().all(|i| i.phase == ItemPhase::Ended)
    }

    /// Whether a result waits to be recorded.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || self.writing.is_some()
    }

    /// Ends a run of an item. The item is given up after `max_failures` failures.
    pub fn end_run(&mut self, item: usize, end: ItemEnd, max_failures: u32, now: Moment) {
        let Some(found) = self.items.get_mut(item) else {
            return;
        };
        if found.phase != ItemPhase::Running {
            return;
        }
        found.timing.end(now);
        match end {
            ItemEnd::Completed => self.conclude(item, ResultState::Completed, now),
            ItemEnd::Impossible => {
                found.failures += IMPOSSIBLE_FAILURES;
                self.fail(item, true, now);
            }
            ItemEnd::Failed => {
                found.failures += 1;
                let is_last = found.failures >= max_failures.max(1);
                self.fail(item, is_last, now);
            }
            ItemEnd::Unanswered(from) => {
                found.unanswered += 1;
                found.phase = ItemPhase::Waiting { from };
                self.counts_changed(item, now);
            }
            ItemEnd::Interrupted(from) => found.phase = ItemPhase::Waiting { from },
        }
    }

    fn fail(&mut self, item: usize, is_last: bool, now: Moment) {
        self.counts_changed(item, now);
        let found = &mut self.items[item];
        if is_last {
            found.given_up = true;
            self.conclude(item, ResultState::Dead, now);
        } else {
            found.phase = ItemPhase::Waiting { from: now };
        }
    }

    /// Drops the output of an item that has not ended, so that it runs from its beginning.
    pub fn start_over(&mut self, item: usize) {
        let found = &mut self.items[item];
        if found.phase != ItemPhase::Ended {
            found.progress = Progress::default();
            found.version_deadline = None;
            found.timing = ItemTiming::default();
        }
    }

    /// Gives up an item if it is waiting to run.
    pub fn give_up(&mut self, item: usize, now: Moment) {
        if matches!(self.items[item].phase, ItemPhase::Waiting { .. }) {
            self.conclude(item, ResultState::Dead, now);
        }
    }

    /// Gives up all waiting items once the job's `give_up_at` has passed. `slack`
    /// covers the clock difference between daemons.
    pub fn give_up_overdue(&mut self, slack: Duration, now: Moment) {
        if !self.may_run() || !(self.record.give_up_at + slack).is_past(now) {
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

    /// Returns the segment to record now, if any. A write in flight is repeated
    /// unchanged until its outcome is known: if its answer was lost, the segment may
    /// already be recorded or may be recorded later, so no other content may use its
    /// number.
    pub fn segment_to_write(
        &mut self,
        flush_at: impl Fn(Moment) -> Moment,
        now: Moment,
        bytes: usize,
    ) -> Option<Segment> {
        if let Some(segment) = &self.writing {
            return Some(segment.clone());
        }
        let since = self.pending_since?;
        let all_ended = self.has_ended();
        let size: usize = self.pending.iter().map(|r| r.text.len()).sum();
        if !all_ended && size < bytes && !flush_at(since).is_past(now) {
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

    /// Number of pending results that fit into a segment of `bytes`; at least one.
    fn count_within(&self, bytes: usize) -> usize {
        let mut size = 0;
        let fitting = self.pending.iter().take_while(|r| {
            size += r.text.len();
            size <= bytes
        });
        fitting.count().max(1)
    }

    /// Marks the segment in flight as recorded. `revision` is the record's new revision
    /// if the write changed the record.
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
        self.append_results(segment.results);
    }

    fn append_results(&mut self, results: Vec<ItemResult>) {
        self.segments += 1;
        for result in results {
            let item = self.items.iter_mut().find(|i| i.input.id == result.id);
            if let Some(item) = item {
                item.phase = ItemPhase::Ended;
                item.progress = Progress::default();
                item.drop_counts();
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
