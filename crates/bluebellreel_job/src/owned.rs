//! The owner's state of a job.

mod leasing;
mod poll;
mod report;

use crate::input::{numbered_lines, read_line};
use crate::{
    ClaimedItem, InputItem, ItemEnd, ItemResult, JobCounts, JobRecord, JobState, LeaseState,
};
use bluebellreel_types::{AttemptId, Incarnation, Moment, RequestId, WorkerName};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Limits of one owned job.
#[derive(Clone, Debug)]
pub struct JobLimits {
    /// Number of failed attempts after which an item is recorded as failed.
    pub max_failures: u8,
    /// Number of failed attempts after which an item is leased only to a worker
    /// that holds no other item.
    pub isolate_after: u8,
    /// Number of results in a full group; groups are written together.
    pub group_items: usize,
    /// Size in bytes of a full group of results.
    pub group_bytes: usize,
    /// Maximum time that a result waits for its group to fill.
    pub group_wait: Duration,
    /// Duration of a lease.
    pub lease: Duration,
    /// Maximum number of input chunks in memory.
    pub chunks: usize,
    /// Maximum number of items whose partial text is kept for resumption.
    pub partials: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            max_failures: 4,
            isolate_after: 2,
            group_items: 128,
            group_bytes: 192 << 10,
            group_wait: Duration::from_secs(5),
            lease: Duration::from_secs(30),
            chunks: 6,
            partials: 1_024,
        }
    }
}

/// The state of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemState {
    Waiting,
    Leased,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    state: ItemState,
    failures: u8,
    attempts: u16,
}

/// An action for the owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEffect {
    /// Read the input chunk with this index.
    LoadChunk(u32),
    /// Write results under this sequence number; call
    /// [`OwnedJob::note_recorded`] or [`OwnedJob::note_record_failed`] after.
    Record {
        /// Sequence number of the write within this epoch.
        seq: u64,
        /// The results.
        results: Arc<[ItemResult]>,
    },
    /// Write the record of the ended job.
    Close {
        /// The job's final state.
        state: JobState,
        /// Numbers of ended items, by outcome.
        counts: JobCounts,
    },
    /// Cancel these attempts at the worker that holds them.
    Withdraw {
        /// The worker.
        worker: WorkerName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Query a side process for the outcome of an attempt that may not be repeated.
    QueryAttempt {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of its side process.
        incarnation: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
}

/// The state of a job that this daemon owns.
#[derive(Clone, Debug)]
pub struct OwnedJob {
    /// The job's record as last written.
    pub record: JobRecord,
    /// The record's revision in the key-value service.
    pub revision: i64,
    /// Whether its items may be repeated.
    pub repeatable: bool,
    limits: JobLimits,
    items: Vec<Item>,
    next_new: u32,
    retry_queue: VecDeque<u32>,
    isolated: VecDeque<u32>,
    leases: HashMap<RequestId, LeaseState>,
    chunks: BTreeMap<u32, Arc<[InputItem]>>,
    loading: Option<u32>,
    partials: HashMap<u32, Arc<str>>,
    unrecorded: Vec<ItemResult>,
    unrecorded_bytes: usize,
    recording: Option<(u64, Arc<[ItemResult]>)>,
    next_seq: u64,
    flush_at: Moment,
    retry_at: Moment,
    ended: u32,
    counts: JobCounts,
    closing: bool,
    handing_over: bool,
    next_query_at: Moment,
}

/// Estimated size in bytes of a result without its text and `custom_id`.
const RESULT_OVERHEAD: usize = 64;
/// Delay before a failed read or write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between two queries for the attempts in doubt.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

impl OwnedJob {
    /// Takes over a job, with the results and claims already recorded.
    #[must_use]
    pub fn open(
        record: JobRecord,
        revision: i64,
        repeatable: bool,
        limits: JobLimits,
        recorded: &[(u32, bool)],
        claims: &[ClaimedItem],
    ) -> Self {
        let fresh = Item {
            state: ItemState::Waiting,
            failures: 0,
            attempts: 0,
        };
        let mut job = Self {
            items: vec![fresh; record.items as usize],
            record,
            revision,
            repeatable,
            limits,
            next_new: 0,
            retry_queue: VecDeque::new(),
            isolated: VecDeque::new(),
            leases: HashMap::new(),
            chunks: BTreeMap::new(),
            loading: None,
            partials: HashMap::new(),
            unrecorded: Vec::new(),
            unrecorded_bytes: 0,
            recording: None,
            next_seq: 0,
            flush_at: Moment::DISTANT_FUTURE,
            retry_at: Moment(0),
            ended: 0,
            counts: JobCounts::default(),
            closing: false,
            handing_over: false,
            next_query_at: Moment(0),
        };
        for (index, succeeded) in recorded {
            job.mark_ended(*index, *succeeded);
        }
        job.adopt_claims(claims);
        job
    }

    /// Marks the items with a claim but without a result as in doubt. An earlier
    /// owner sent such a call or was about to send it, so the item waits for the
    /// verdict of its side process.
    fn adopt_claims(&mut self, claims: &[ClaimedItem]) {
        let mut latest: BTreeMap<u32, &ClaimedItem> = BTreeMap::new();
        for claim in claims {
            let known = latest.entry(claim.index).or_insert(claim);
            if claim.attempt.number >= known.attempt.number {
                *known = claim;
            }
        }
        for (index, claim) in latest {
            let item = &mut self.items[index as usize];
            if item.state != ItemState::Waiting {
                continue;
            }
            item.state = ItemState::Leased;
            item.attempts = u16::try_from(claim.attempt.number).unwrap_or(u16::MAX);
            let lease = LeaseState {
                index,
                number: claim.attempt.number,
                worker: claim.worker.clone(),
                incarnation: claim.incarnation,
                expires_at: claim.deadline,
                in_doubt: true,
            };
            self.leases.insert(claim.attempt.request, lease);
        }
    }

    fn mark_ended(&mut self, index: u32, succeeded: bool) {
        let item = &mut self.items[index as usize];
        if item.state == ItemState::Ended {
            return;
        }
        item.state = ItemState::Ended;
        self.ended += 1;
        if succeeded {
            self.counts.succeeded += 1;
        } else {
            self.counts.failed += 1;
        }
    }

    /// Numbers of items ended so far, by outcome.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Number of leased items, including those in doubt.
    #[must_use]
    pub fn leased(&self) -> usize {
        self.leases.len()
    }

    /// Prepares the handover to another owner: once the last leased item has been
    /// returned, results are recorded at once instead of waiting for a full group.
    pub fn hand_over(&mut self) {
        self.handing_over = true;
    }

    /// Whether everything that the next owner needs is recorded. Items in doubt are
    /// recorded as claims, which the next owner resolves.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        !self.has_active_leases() && self.unrecorded() == 0
    }

    /// Whether any leased item is still expected to be returned.
    fn has_active_leases(&self) -> bool {
        self.leases.values().any(|lease| !lease.in_doubt)
    }

    /// The workers that hold leases, once per leased item.
    pub fn holders(&self) -> impl Iterator<Item = &WorkerName> {
        self.leases.values().map(|lease| &lease.worker)
    }

    /// Number of items leased to one worker.
    #[must_use]
    pub fn held_by(&self, worker: &WorkerName) -> usize {
        let held = self.leases.values().filter(|l| l.worker == *worker);
        held.count()
    }

    /// Whether the item of a request is leased.
    #[must_use]
    pub fn holds(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request)
    }

    /// Number of items that wait to be leased.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        let busy = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        self.record.items - self.ended - busy
    }

    /// Total size of the results not yet recorded.
    #[must_use]
    pub fn unrecorded_bytes(&self) -> usize {
        self.unrecorded_bytes
    }

    /// Number of results not yet recorded.
    #[must_use]
    pub fn unrecorded(&self) -> usize {
        let recording = self.recording.as_ref().map_or(0, |(_, r)| r.len());
        self.unrecorded.len() + recording
    }

    /// Whether every item has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.ended == self.record.items
    }

    /// Number of input chunks in memory.
    #[must_use]
    pub fn chunks_held(&self) -> usize {
        self.chunks.len()
    }

    /// Stores an input chunk that was read.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes are not the lines that were accepted: a line
    /// cannot be parsed, or the number of items differs from the record.
    pub fn note_chunk(&mut self, chunk: u32, bytes: &[u8]) -> Result<(), String> {
        self.loading = None;
        let mut items = Vec::new();
        for (_, line) in numbered_lines(bytes) {
            items.push(read_line(line)?.1);
        }
        let expected = &self.record.chunks[chunk as usize];
        if items.len() != expected.items as usize {
            return Err(format!(
                "chunk {chunk} holds {} items, which is not the number in the job record",
                items.len()
            ));
        }
        self.chunks.insert(chunk, items.into());
        Ok(())
    }

    /// Schedules another read after an input chunk could not be read.
    pub fn note_chunk_failed(&mut self, now: Moment) {
        self.loading = None;
        self.retry_at = now + RETRY_DELAY;
    }

    /// Records that the write with this sequence number succeeded.
    pub fn note_recorded(&mut self, seq: u64, now: Moment) {
        let Some((writing, results)) = self.recording.take() else {
            return;
        };
        if writing != seq {
            self.recording = Some((writing, results));
            return;
        }
        self.next_seq += 1;
        self.unrecorded_bytes = self.unrecorded.iter().map(result_size).sum();
        self.flush_at = if self.unrecorded.is_empty() {
            Moment::DISTANT_FUTURE
        } else {
            now + self.limits.group_wait
        };
    }

    /// Schedules a retry of the same write after it failed.
    pub fn note_record_failed(&mut self, now: Moment) {
        self.retry_at = now + RETRY_DELAY;
        self.closing = false;
        if let Some((seq, results)) = self.recording.take() {
            self.recording = Some((seq, results));
            self.flush_at = now;
        }
    }
}

/// Whether a status means that the item itself is invalid, so that a retry is
/// useless.
fn is_final(status: u16) -> bool {
    matches!(status, 400 | 413 | 422)
}

fn result_size(result: &ItemResult) -> usize {
    let text = match &result.end {
        ItemEnd::Succeeded { body, .. } => body.len(),
        ItemEnd::Failed { reason, .. } => reason.len(),
    };
    text + result.custom_id.len() + RESULT_OVERHEAD
}
