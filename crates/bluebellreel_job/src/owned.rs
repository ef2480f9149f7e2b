//! A job as its owner sees it.

use crate::input::{numbered_lines, read_line};
use crate::{
    ClaimedItem, InputItem, ItemEnd, ItemLease, ItemResult, JobCounts, JobRecord, JobState,
    LeaseState,
};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Incarnation, Moment, NotRunReason,
    RequestId, WorkerName,
};
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
            flush_at: Moment::FAR,
            retry_at: Moment(0),
            ended: 0,
            counts: JobCounts::default(),
            closing: false,
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
                until: Moment::FAR,
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

    /// Hands out up to `room` items to a worker that holds `held` of ours.
    pub fn take(
        &mut self,
        room: usize,
        worker: &WorkerName,
        incarnation: Incarnation,
        held: usize,
        now: Moment,
    ) -> Vec<ItemLease> {
        let mut taken = Vec::new();
        if self.closing || self.record.deadline.is_past(now) {
            return taken;
        }
        // An item under suspicion goes out alone, so that it cannot take good
        // items down with its worker.
        if held == 0
            && let Some(index) = self.pop_loaded_alone()
        {
            taken.extend(self.lease(index, worker, incarnation, now));
            return taken;
        }
        while taken.len() < room {
            let Some(index) = self.pop_loaded() else {
                break;
            };
            taken.extend(self.lease(index, worker, incarnation, now));
        }
        taken
    }

    fn is_loaded(&self, index: u32) -> bool {
        self.chunks.contains_key(&self.record.chunk_of(index))
    }

    fn pop_loaded_alone(&mut self) -> Option<u32> {
        let index = *self.alone.front()?;
        if self.is_loaded(index) {
            self.alone.pop_front()
        } else {
            None
        }
    }

    fn pop_loaded(&mut self) -> Option<u32> {
        if let Some(index) = self.again.front().copied()
            && self.is_loaded(index)
        {
            return self.again.pop_front();
        }
        while self.next_fresh < self.record.items {
            let index = self.next_fresh;
            if self.items[index as usize].state != ItemState::Waiting {
                self.next_fresh += 1;
                continue;
            }
            if !self.is_loaded(index) {
                return None;
            }
            self.next_fresh += 1;
            return Some(index);
        }
        None
    }

    fn lease(
        &mut self,
        index: u32,
        worker: &WorkerName,
        incarnation: Incarnation,
        now: Moment,
    ) -> Option<ItemLease> {
        let chunk = self.record.chunk_of(index);
        let first = self.record.chunks[chunk as usize].first;
        let input = self.chunks.get(&chunk)?.get((index - first) as usize)?;
        let item = &mut self.items[index as usize];
        item.state = ItemState::Leased;
        item.attempts += 1;
        let number = u32::from(item.attempts);
        let key = format!("{}/{}", self.record.id, input.custom_id);
        let work = input.work(
            &self.record.target,
            &self.record.team,
            &key,
            self.repeatable,
        );
        let request = RequestId::random();
        let until = now + self.limits.lease;
        let lease = LeaseState {
            index,
            number,
            worker: worker.clone(),
            incarnation,
            until,
            in_doubt: false,
        };
        self.leases.insert(request, lease);
        Some(ItemLease {
            attempt: AttemptId { request, number },
            work: Arc::new(work),
            deadline: until.min(self.record.deadline),
            resume: self.partials.remove(&index).unwrap_or_default(),
        })
    }

    /// The claims to write before leased unrepeatable items are sent.
    #[must_use]
    pub fn claims_of(&self, attempts: impl Iterator<Item = AttemptId>) -> Vec<ClaimedItem> {
        let claim = |attempt: AttemptId| {
            let lease = self.leases.get(&attempt.request)?;
            Some(ClaimedItem {
                index: lease.index,
                attempt,
                worker: lease.worker.clone(),
                incarnation: lease.incarnation,
            })
        };
        attempts.filter_map(claim).collect()
    }

    /// Takes in how an attempt ended.
    pub fn report(&mut self, attempt: AttemptId, end: AttemptEnd, now: Moment) {
        let is_current = self
            .leases
            .get(&attempt.request)
            .is_some_and(|lease| lease.number == attempt.number);
        if !is_current {
            return;
        }
        let Some(lease) = self.leases.remove(&attempt.request) else {
            return;
        };
        let index = lease.index;
        match end {
            AttemptEnd::Completed { status, body, .. } => {
                let body = Arc::from(String::from_utf8_lossy(&body));
                self.end_item(index, ItemEnd::Succeeded { status, body }, now);
            }
            AttemptEnd::Rejected { status, message } if is_final(status) => {
                self.fail_item(index, &message, now);
            }
            AttemptEnd::Rejected { message, .. } => self.fail_attempt(index, &message, now),
            AttemptEnd::NotRun(reason) if !reason.is_certain() && !self.repeatable => {
                self.fail_item(index, "it may have run: the worker restarted", now);
            }
            AttemptEnd::NotRun(_) => self.put_back(index),
            AttemptEnd::Broken { reason, partial } => {
                self.note_break(lease, attempt, reason, partial, now);
            }
        }
    }

    fn note_break(
        &mut self,
        lease: LeaseState,
        attempt: AttemptId,
        reason: BrokenReason,
        partial: Arc<str>,
        now: Moment,
    ) {
        let index = lease.index;
        if !self.repeatable {
            if reason == BrokenReason::SideLost {
                let in_doubt = LeaseState {
                    in_doubt: true,
                    until: Moment::FAR,
                    ..lease
                };
                self.leases.insert(attempt.request, in_doubt);
            } else {
                self.fail_item(index, "it may have run: the call broke off", now);
            }
            return;
        }
        if !partial.is_empty() && self.partials.len() < self.limits.partials {
            self.partials.insert(index, partial);
        }
        match reason {
            BrokenReason::EngineLost | BrokenReason::SideLost => {
                self.fail_attempt(index, &reason.to_string(), now);
            }
            // Giving way is no failed attempt.
            BrokenReason::Preempted | BrokenReason::Cancelled | BrokenReason::Expired => {
                self.put_back(index);
            }
        }
    }

    fn put_back(&mut self, index: u32) {
        let item = &mut self.items[index as usize];
        item.state = ItemState::Waiting;
        if item.failures >= self.limits.alone_after {
            self.alone.push_back(index);
        } else {
            self.again.push_back(index);
        }
    }

    fn fail_attempt(&mut self, index: u32, reason: &str, now: Moment) {
        let item = &mut self.items[index as usize];
        item.failures += 1;
        if item.failures >= self.limits.attempts {
            self.fail_item(index, reason, now);
        } else {
            self.put_back(index);
        }
    }

    fn fail_item(&mut self, index: u32, reason: &str, now: Moment) {
        let attempts = u32::from(self.items[index as usize].attempts);
        let reason = Arc::from(reason);
        self.end_item(index, ItemEnd::Failed { reason, attempts }, now);
    }

    fn end_item(&mut self, index: u32, end: ItemEnd, now: Moment) {
        if self.items[index as usize].state == ItemState::Ended {
            return;
        }
        self.mark_ended(index, matches!(end, ItemEnd::Succeeded { .. }));
        self.partials.remove(&index);
        let custom_id = self.custom_id(index);
        let size = match &end {
            ItemEnd::Succeeded { body, .. } => body.len(),
            ItemEnd::Failed { reason, .. } => reason.len(),
        };
        if self.unrecorded.is_empty() {
            self.flush_at = now + self.limits.group_wait;
        }
        self.unrecorded_bytes += size + custom_id.len() + RESULT_OVERHEAD;
        self.unrecorded.push(ItemResult {
            index,
            custom_id,
            end,
        });
        self.drop_finished_chunk(index);
    }

    /// The caller's name for an item. A claim taken over from an earlier owner
    /// may end before its chunk is loaded; the name is then found at reading.
    fn custom_id(&self, index: u32) -> Arc<str> {
        let chunk = self.record.chunk_of(index);
        let first = self.record.chunks[chunk as usize].first;
        self.chunks
            .get(&chunk)
            .and_then(|items| items.get((index - first) as usize))
            .map(|item| item.custom_id.clone())
            .unwrap_or_default()
    }

    fn drop_finished_chunk(&mut self, index: u32) {
        let chunk = self.record.chunk_of(index);
        let place = &self.record.chunks[chunk as usize];
        let range = place.first as usize..(place.first + place.items) as usize;
        let finished = self.items[range]
            .iter()
            .all(|item| item.state == ItemState::Ended);
        if finished {
            self.chunks.remove(&chunk);
        }
    }

    /// A worker is gone: its leases return, or are in doubt.
    pub fn lose_worker(&mut self, worker: &WorkerName, now: Moment) {
        let mut lost: Vec<AttemptId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.worker == *worker && !lease.in_doubt)
            .map(|(request, lease)| AttemptId {
                request: *request,
                number: lease.number,
            })
            .collect();
        lost.sort_unstable();
        for attempt in lost {
            let end = AttemptEnd::Broken {
                reason: BrokenReason::SideLost,
                partial: Arc::from(""),
            };
            self.report(attempt, end, now);
        }
    }

    /// Takes in what a side process knows of an attempt in doubt.
    pub fn note_verdict(&mut self, attempt: AttemptId, verdict: AttemptVerdict, now: Moment) {
        let in_doubt = self
            .leases
            .get(&attempt.request)
            .is_some_and(|lease| lease.in_doubt && lease.number == attempt.number);
        if !in_doubt {
            return;
        }
        match verdict {
            AttemptVerdict::Running => {}
            AttemptVerdict::NeverSeen => {
                let end = AttemptEnd::NotRun(NotRunReason::Cancelled);
                self.report(attempt, end, now);
            }
            AttemptVerdict::Ended(end) => self.report(attempt, end, now),
        }
    }

    /// The run of the side process that could have told is over for good.
    pub fn note_untellable(&mut self, attempt: AttemptId, now: Moment) {
        let Some(lease) = self.leases.remove(&attempt.request) else {
            return;
        };
        self.fail_item(lease.index, "it may have run: the worker was lost", now);
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
            Moment::FAR
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

    /// Says what is to be done now: chunks to read, results to write, the end.
    pub fn poll(&mut self, now: Moment) -> Vec<JobEffect> {
        let mut effects = Vec::new();
        if !self.retry_at.is_past(now) {
            return effects;
        }
        self.lapse(now, &mut effects);
        self.ask(now, &mut effects);
        self.want_chunk(&mut effects);
        self.flush(now, &mut effects);
        self.close(now, &mut effects);
        effects
    }

    /// Leases that were not heard of in time go back; an unrepeatable one is
    /// in doubt instead.
    fn lapse(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        let mut late: Vec<(WorkerName, AttemptId)> = self
            .leases
            .iter()
            .filter(|(_, lease)| !lease.in_doubt && lease.until.is_past(now))
            .map(|(request, lease)| {
                let number = lease.number;
                let request = *request;
                (lease.worker.clone(), AttemptId { request, number })
            })
            .collect();
        late.sort_unstable();
        for (worker, attempt) in late {
            let end = AttemptEnd::Broken {
                reason: BrokenReason::SideLost,
                partial: Arc::from(""),
            };
            self.report(attempt, end, now);
            let attempts = vec![attempt];
            effects.push(JobEffect::Withdraw { worker, attempts });
        }
    }

    fn ask(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if !self.ask_at.is_past(now) {
            return;
        }
        self.ask_at = now + ASK_PAUSE;
        for (request, lease) in self.leases.iter().filter(|(_, lease)| lease.in_doubt) {
            effects.push(JobEffect::Ask {
                worker: lease.worker.clone(),
                incarnation: lease.incarnation,
                attempt: AttemptId {
                    request: *request,
                    number: lease.number,
                },
            });
        }
    }

    /// The next chunk that items are needed from, within the memory bound.
    fn want_chunk(&mut self, effects: &mut Vec<JobEffect>) {
        if self.loading.is_some() || self.closing {
            return;
        }
        let wanted = [self.alone.front(), self.again.front()]
            .into_iter()
            .flatten()
            .map(|index| self.record.chunk_of(*index))
            .find(|chunk| !self.chunks.contains_key(chunk))
            .or_else(|| self.next_fresh_chunk());
        let Some(chunk) = wanted else { return };
        if self.chunks.len() >= self.limits.chunks && !self.make_room() {
            return;
        }
        self.loading = Some(chunk);
        effects.push(JobEffect::LoadChunk(chunk));
    }

    /// The chunk after the fresh items in memory, one ahead of need.
    fn next_fresh_chunk(&self) -> Option<u32> {
        let mut index = self.next_fresh;
        while index < self.record.items && self.items[index as usize].state != ItemState::Waiting {
            index += 1;
        }
        if index >= self.record.items {
            return None;
        }
        let chunk = self.record.chunk_of(index);
        let last = u32::try_from(self.record.chunks.len()).ok()?;
        [chunk, chunk + 1]
            .into_iter()
            .find(|c| *c < last && !self.chunks.contains_key(c))
    }

    /// Drops the oldest chunk; it is read again if one of its items fails.
    fn make_room(&mut self) -> bool {
        let needed = self
            .record
            .chunk_of(self.next_fresh.min(self.record.items - 1));
        let Some(oldest) = self.chunks.keys().copied().find(|chunk| *chunk < needed) else {
            return false;
        };
        let range = &self.record.chunks[oldest as usize];
        let leased = self
            .leases
            .values()
            .any(|l| (range.first..range.first + range.items).contains(&l.index));
        if leased && self.chunks.len() < self.limits.chunks * 2 {
            // Its names are still needed for results; go over the bound a
            // little rather than stall.
            return true;
        }
        self.chunks.remove(&oldest);
        true
    }

    fn flush(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if let Some((seq, results)) = &self.recording {
            // A write that failed is made again under the same number, so that
            // one whose answer was lost is found instead of doubled.
            if self.flush_at.is_past(now) {
                let (seq, results) = (*seq, results.clone());
                self.flush_at = Moment::FAR;
                effects.push(JobEffect::Record { seq, results });
            }
            return;
        }
        if self.unrecorded.is_empty() {
            return;
        }
        let full = self.unrecorded.len() >= self.limits.group_items
            || self.unrecorded_bytes >= self.limits.group_bytes;
        let last = self.is_done() || self.record.deadline.is_past(now);
        if !(full || last || self.flush_at.is_past(now)) {
            return;
        }
        let results = self.next_group();
        let seq = self.next_seq;
        self.recording = Some((seq, results.clone()));
        self.flush_at = Moment::FAR;
        effects.push(JobEffect::Record { seq, results });
    }

    fn next_group(&mut self) -> Arc<[ItemResult]> {
        let mut bytes = 0;
        let mut count = 0;
        for result in self.unrecorded.iter().take(self.limits.group_items * 2) {
            bytes += result_size(result);
            if count > 0 && bytes > self.limits.group_bytes {
                break;
            }
            count += 1;
        }
        self.unrecorded.drain(..count).collect()
    }

    fn close(&mut self, now: Moment, effects: &mut Vec<JobEffect>) {
        if self.closing || self.unrecorded() > 0 {
            return;
        }
        let state = if self.is_done() {
            JobState::Complete
        } else if self.record.deadline.is_past(now) {
            JobState::Expired
        } else {
            return;
        };
        self.withdraw_all(effects);
        self.closing = true;
        effects.push(JobEffect::Close {
            state,
            counts: self.counts,
        });
    }

    /// Stops everything that is out, for a job that is over or is another's.
    pub fn withdraw_all(&mut self, effects: &mut Vec<JobEffect>) {
        let mut by_worker: BTreeMap<WorkerName, Vec<AttemptId>> = BTreeMap::new();
        for (request, lease) in self.leases.drain() {
            by_worker.entry(lease.worker).or_default().push(AttemptId {
                request,
                number: lease.number,
            });
        }
        for (worker, attempts) in by_worker {
            effects.push(JobEffect::Withdraw { worker, attempts });
        }
    }

    /// Puts back a lease whose claim could not be written: it was never sent.
    pub fn release(&mut self, attempt: AttemptId) {
        if let Some(lease) = self.leases.remove(&attempt.request) {
            self.put_back(lease.index);
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
