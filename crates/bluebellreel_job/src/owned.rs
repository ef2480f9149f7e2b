//! A job as its owner sees it.

mod handout;
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

/// Bounds of one owned job.
#[derive(Clone, Debug)]
pub struct JobLimits {
    /// Attempts that count before an item is given up.
    pub attempts: u8,
    /// Failed attempts after which an item is tried alone.
    pub alone_after: u8,
    /// Results that are written together.
    pub group_items: usize,
    /// Bytes of results that are written together.
    pub group_bytes: usize,
    /// Longest time a result waits to be written.
    pub group_wait: Duration,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Input chunks held in memory.
    pub chunks: usize,
    /// Progress kept for resumption, in items.
    pub partials: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            attempts: 4,
            alone_after: 2,
            group_items: 128,
            group_bytes: 192 << 10,
            group_wait: Duration::from_secs(5),
            lease: Duration::from_secs(30),
            chunks: 6,
            partials: 1_024,
        }
    }
}

/// Where one item stands.
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

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEffect {
    /// Read an input chunk.
    LoadChunk(u32),
    /// Write results under this sequence number; call
    /// [`OwnedJob::note_recorded`] or [`OwnedJob::note_record_failed`] after.
    Record {
        /// Numbers the writes of this epoch.
        seq: u64,
        /// The results.
        results: Arc<[ItemResult]>,
    },
    /// Write the job's end.
    Close {
        /// Its state.
        state: JobState,
        /// Its items by their end.
        counts: JobCounts,
    },
    /// Stop these attempts wherever they are.
    Withdraw {
        /// The worker that holds them.
        worker: WorkerName,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// Ask a side process what became of an unrepeatable attempt.
    Ask {
        /// The worker.
        worker: WorkerName,
        /// The run of its side process.
        incarnation: Incarnation,
        /// The attempt.
        attempt: AttemptId,
    },
}

/// A job that this daemon owns.
#[derive(Clone, Debug)]
pub struct OwnedJob {
    /// Its record as last written.
    pub record: JobRecord,
    /// The record's revision in the key-value service.
    pub revision: i64,
    /// Whether its items may be repeated.
    pub repeatable: bool,
    limits: JobLimits,
    items: Vec<Item>,
    next_fresh: u32,
    again: VecDeque<u32>,
    alone: VecDeque<u32>,
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
    ask_at: Moment,
}

/// Bytes that a result takes beside its text.
const RESULT_OVERHEAD: usize = 64;
/// Pause after a write that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two questions about attempts in doubt.
const ASK_PAUSE: Duration = Duration::from_millis(500);

impl OwnedJob {
    /// Takes a job on, with the results and claims already recorded.
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
            next_fresh: 0,
            again: VecDeque::new(),
            alone: VecDeque::new(),
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
            ask_at: Moment(0),
        };
        for (index, succeeded) in recorded {
            job.mark_ended(*index, *succeeded);
        }
        job.adopt_claims(claims);
        job
    }

    /// A claim without a result is of a call that an earlier owner sent, or
    /// was about to send: it is in doubt until its side process has spoken.
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
                until: claim.deadline,
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

    /// Items by their end so far.
    #[must_use]
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// Items out with workers.
    #[must_use]
    pub fn leased(&self) -> usize {
        self.leases.len()
    }

    /// Prepares for another owner: results are recorded as soon as the last
    /// item that is out has come back, instead of waiting for a full group.
    pub fn hand_over(&mut self) {
        self.handing_over = true;
    }

    /// Whether another owner would find all that happened here. Items in doubt
    /// are recorded as claims, which the next owner settles.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        !self.has_items_out() && self.unrecorded() == 0
    }

    /// Whether items are out that are still expected back.
    fn has_items_out(&self) -> bool {
        self.leases.values().any(|lease| !lease.in_doubt)
    }

    /// Workers that items are out with, once for each item.
    pub fn holders(&self) -> impl Iterator<Item = &WorkerName> {
        self.leases.values().map(|lease| &lease.worker)
    }

    /// Items out with one worker.
    #[must_use]
    pub fn held_by(&self, worker: &WorkerName) -> usize {
        let held = self.leases.values().filter(|l| l.worker == *worker);
        held.count()
    }

    /// Whether a request's lease is out.
    #[must_use]
    pub fn holds(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request)
    }

    /// Items that wait to be handed out.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        let busy = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        self.record.items - self.ended - busy
    }

    /// Bytes of results not yet recorded.
    #[must_use]
    pub fn unrecorded_bytes(&self) -> usize {
        self.unrecorded_bytes
    }

    /// Results not yet recorded.
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

    /// Input chunks held in memory.
    #[must_use]
    pub fn chunks_held(&self) -> usize {
        self.chunks.len()
    }

    /// Takes in an input chunk as it was written.
    ///
    /// # Errors
    ///
    /// Gives the reason when the bytes are not the lines that were accepted.
    pub fn note_chunk(&mut self, chunk: u32, bytes: &[u8]) -> Result<(), String> {
        self.loading = None;
        let mut items = Vec::new();
        for (_, line) in numbered_lines(bytes) {
            items.push(read_line(line)?.1);
        }
        let expected = &self.record.chunks[chunk as usize];
        if items.len() != expected.items as usize {
            return Err(format!("chunk {chunk} holds {} items", items.len()));
        }
        self.chunks.insert(chunk, items.into());
        Ok(())
    }

    /// A chunk could not be read: it is asked for again later.
    pub fn note_chunk_failed(&mut self, now: Moment) {
        self.loading = None;
        self.retry_at = now + WRITE_PAUSE;
    }

    /// Results were written.
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

    /// Results could not be written: the same write is made again later.
    pub fn note_record_failed(&mut self, now: Moment) {
        self.retry_at = now + WRITE_PAUSE;
        self.closing = false;
        if let Some((seq, results)) = self.recording.take() {
            self.recording = Some((seq, results));
            self.flush_at = now;
        }
    }
}

/// Statuses that say that the item itself is at fault.
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
