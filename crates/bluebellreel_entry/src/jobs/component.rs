//! The component that owns batch jobs.

mod handout;
mod ownership;

use crate::handles::DaemonHandles;
use crate::jobs::index::JobIndex;
use crate::jobs::messages::{JobWrite, JobsMessage, JobsSummary, OwnedSummary, PendingPull};
use crate::jobs::store;
use crate::message::Message;
use crate::platform::EntryRecord;
use bluebellreel_job::{
    ItemEnd, ItemLease, JobEffect, JobRecord, JobScheduler, OwnedJob, SchedulerLimits,
};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_types::{
    Class, Dispatch, EntryName, Incarnation, JobId, ModelName, Moment, TraceContext, WorkerName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Interval between two polls of all jobs.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which an offer of waiting batch work is repeated to a worker.
const OFFER_REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Delay before opening a job is retried.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Interval between two clean-ups of the scheduler.
const CLEANUP_PERIOD: Duration = Duration::from_secs(10);

/// A connected worker, which pulls batch items.
struct Puller {
    incarnation: Incarnation,
    models: BTreeSet<ModelName>,
    offered: u32,
    offer_at: Moment,
}

/// Owns batch jobs: hands out their items, records results, and takes over jobs
/// of daemons that are gone.
pub(crate) struct JobsComponent {
    handles: DaemonHandles,
    scheduler: JobScheduler,
    index: JobIndex,
    pullers: BTreeMap<WorkerName, Puller>,
    claim_seqs: HashMap<JobId, u64>,
    opening: BTreeSet<JobId>,
    reopen_at: BTreeMap<JobId, Moment>,
    tick_at: Moment,
    cleanup_at: Moment,
    stopping: bool,
}

impl JobsComponent {
    pub(crate) fn new(handles: DaemonHandles) -> Self {
        Self {
            handles,
            scheduler: JobScheduler::new(SchedulerLimits::default()),
            index: JobIndex::default(),
            pullers: BTreeMap::new(),
            claim_seqs: HashMap::new(),
            opening: BTreeSet::new(),
            reopen_at: BTreeMap::new(),
            tick_at: Moment(0),
            cleanup_at: Moment(0),
            stopping: false,
        }
    }

    /// Polls all jobs, takes over orphaned ones, and sends offers to workers.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        if !self.tick_at.is_past(now) {
            return;
        }
        self.tick_at = now + TICK;
        self.poll_all(now);
        self.take_over_due(now);
        self.reopen_due(now);
        self.offer_all(now);
        if self.cleanup_at.is_past(now) {
            self.cleanup_at = now + CLEANUP_PERIOD;
            self.scheduler.remove_stale_entries(now);
        }
        let metrics = &self.handles.metrics;
        let owned = i64::try_from(self.scheduler.jobs.len()).unwrap_or(i64::MAX);
        metrics.jobs_owned.set(owned);
        let waiting = self.scheduler.unrecorded_bytes();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        metrics.unrecorded_bytes.set(waiting);
    }

    fn now(&self) -> Moment {
        self.handles.clock.now()
    }

    /// Stops handing out items and prepares all jobs for hand-over.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
        for job in self.scheduler.jobs.values_mut() {
            job.hand_over();
        }
    }

    /// Whether all leased items have returned and their results are recorded.
    pub(crate) fn is_idle(&self) -> bool {
        self.scheduler.jobs.values().all(OwnedJob::is_handed_over)
    }

    /// Models and services needed by waiting items.
    pub(crate) fn waiting_models(&self) -> BTreeSet<ModelName> {
        if self.stopping {
            return BTreeSet::new();
        }
        self.scheduler.waiting_models()
    }

    /// Workers that hold items of this daemon's jobs.
    pub(crate) fn busy_workers(&self) -> BTreeSet<WorkerName> {
        self.scheduler.holders()
    }

    pub(crate) fn on_entry_joined(&mut self, record: EntryRecord) {
        self.index.note_entry(record.name, record.run);
    }

    pub(crate) fn on_entry_left(&mut self, name: &EntryName) {
        log::warn!(target: "jobs", entry:% = name; "Entry daemon lease ended.");
        self.index.forget_entry(name);
    }

    pub(crate) fn on_notice(&mut self, notice: EntryNotice) {
        let now = self.now();
        match notice {
            EntryNotice::Connected(hello) => {
                let puller = Puller {
                    incarnation: hello.incarnation,
                    models: hello.models.into_iter().collect(),
                    offered: 0,
                    offer_at: now,
                };
                self.pullers.insert(hello.worker, puller);
            }
            EntryNotice::Lost(worker) => {
                if self.pullers.remove(&worker).is_some() {
                    for job in self.scheduler.jobs.values_mut() {
                        job.lose_worker(&worker, now);
                    }
                }
            }
            EntryNotice::Load { worker, load } => {
                if let Some(puller) = self.pullers.get_mut(&worker) {
                    puller.models = load.models.into_iter().collect();
                }
            }
            EntryNotice::Pull {
                worker,
                room,
                answer,
            } => self.pull(&worker, room, answer, now),
            EntryNotice::Reports { reports, .. } => {
                for report in reports {
                    self.scheduler.report(report.attempt, report.end, now);
                }
                self.poll_all(now);
            }
            EntryNotice::Verdict { attempt, verdict } => {
                for job in self.scheduler.jobs.values_mut() {
                    job.note_verdict(attempt, verdict.clone(), now);
                }
            }
            EntryNotice::Part { .. }
            | EntryNotice::Ended { .. }
            | EntryNotice::Applied { .. }
            | EntryNotice::OrderEnded { .. } => {}
        }
    }

    pub(crate) fn on_message(&mut self, message: JobsMessage) {
        let now = self.now();
        match message {
            JobsMessage::Accepted(record, revision) => self.adopt_new(*record, revision),
            JobsMessage::AllJobs(jobs) => self.note_all(jobs),
            JobsMessage::Changed(event) => self.note_change(event),
            JobsMessage::Opened(opened) => self.open(*opened),
            JobsMessage::OpenFailed(id) => self.on_open_failed(id),
            JobsMessage::TakenOver { id, result } => self.on_takeover(&id, result),
            JobsMessage::Chunk {
                id,
                epoch,
                chunk,
                bytes,
            } => self.note_chunk(&id, epoch, chunk, bytes.as_deref(), now),
            JobsMessage::Recorded {
                id,
                epoch,
                seq,
                items,
                failed,
                write,
            } => {
                if write == JobWrite::Done {
                    self.handles.metrics.items.inc_by(u64::from(items));
                    self.handles.metrics.items_failed.inc_by(u64::from(failed));
                }
                self.note_write(&id, epoch, write, now, |job| job.note_recorded(seq, now));
            }
            JobsMessage::Closed { id, epoch, write } => {
                if write == JobWrite::Done {
                    log::info!(target: "jobs", job:% = id; "Job ended.");
                    self.scheduler.jobs.remove(&id);
                } else {
                    self.note_write(&id, epoch, write, now, |_| ());
                }
            }
            JobsMessage::Claimed { pull, written } => self.note_claimed(*pull, &written),
            JobsMessage::QueryCount(team, answer) => {
                answer.send(self.index.count(&team)).ok();
            }
            JobsMessage::QuerySummary(answer) => {
                answer.send(self.summary(now)).ok();
            }
        }
        self.poll_all(now);
    }

    fn note_chunk(
        &mut self,
        id: &JobId,
        epoch: u64,
        chunk: u32,
        bytes: Option<&[u8]>,
        now: Moment,
    ) {
        let Some(job) = self.owned(id, epoch) else {
            return;
        };
        let Some(bytes) = bytes else {
            job.note_chunk_failed(now);
            return;
        };
        if let Err(reason) = job.note_chunk(chunk, bytes) {
            log::error!(target: "jobs", job:% = id, reason; "Input chunk does not match the accepted job.");
            job.note_chunk_failed(now);
        }
    }

    fn owned(&mut self, id: &JobId, epoch: u64) -> Option<&mut OwnedJob> {
        let job = self.scheduler.jobs.get_mut(id)?;
        (job.record.epoch == epoch).then_some(job)
    }

    fn note_write(
        &mut self,
        id: &JobId,
        epoch: u64,
        write: JobWrite,
        now: Moment,
        done: impl FnOnce(&mut OwnedJob),
    ) {
        let Some(job) = self.owned(id, epoch) else {
            return;
        };
        match write {
            JobWrite::Done => done(job),
            JobWrite::Failed => job.note_record_failed(now),
            JobWrite::Fenced => self.drop_job(id),
        }
    }

    fn poll_all(&mut self, now: Moment) {
        let mut todo = Vec::new();
        for (id, job) in &mut self.scheduler.jobs {
            let effects = job.poll(now);
            if !effects.is_empty() {
                todo.push((id.clone(), job.record.clone(), job.revision, effects));
            }
        }
        for (id, record, revision, effects) in todo {
            for effect in effects {
                self.execute(&id, &record, revision, effect);
            }
        }
    }

    fn execute(&mut self, id: &JobId, record: &JobRecord, revision: i64, effect: JobEffect) {
        let (storage_handles, handles) = (self.handles.clone(), self.handles.clone());
        let (id, record, epoch) = (id.clone(), record.clone(), record.epoch);
        let send = move |message| {
            handles.send_message(Message::Jobs(message));
        };
        match effect {
            JobEffect::LoadChunk(chunk) => {
                self.run_kv(&id.clone(), epoch, move |_| {
                    let bytes = store::load_chunk(storage_handles.storage(), &record, chunk);
                    send(JobsMessage::Chunk {
                        id,
                        epoch,
                        chunk,
                        bytes,
                    });
                });
            }
            JobEffect::Record { seq, results } => {
                let items = u32::try_from(results.len()).unwrap_or(u32::MAX);
                let failed = results
                    .iter()
                    .filter(|r| matches!(r.end, ItemEnd::Failed { .. }));
                let failed = u32::try_from(failed.count()).unwrap_or(u32::MAX);
                self.run_kv(&id.clone(), epoch, move |_| {
                    let write = store::record_results(
                        storage_handles.storage(),
                        &record,
                        revision,
                        seq,
                        &results,
                    );
                    send(JobsMessage::Recorded {
                        id,
                        epoch,
                        seq,
                        items,
                        failed,
                        write,
                    });
                });
            }
            JobEffect::Close { state, counts } => {
                let ended = record.ended(state, counts, self.now());
                self.run_kv(&id.clone(), epoch, move |kv| {
                    let write = store::close_job(kv, &record, revision, &ended);
                    send(JobsMessage::Closed { id, epoch, write });
                });
            }
            JobEffect::Withdraw { worker, attempts } => {
                self.handles
                    .send_command(EntryCommand::Withdraw { worker, attempts });
            }
            JobEffect::QueryAttempt {
                worker,
                incarnation,
                attempt,
            } => self.query_verdict(&id, &worker, incarnation, attempt),
        }
    }

    fn run_kv(
        &mut self,
        id: &JobId,
        epoch: u64,
        task: impl FnOnce(&bluebellreel_kv::KvClient) + Send + 'static,
    ) {
        if !self.handles.pool.run(task) {
            let now = self.now();
            if let Some(job) = self.owned(id, epoch) {
                job.note_chunk_failed(now);
                job.note_record_failed(now);
            }
        }
    }

    fn query_verdict(
        &mut self,
        id: &JobId,
        worker: &WorkerName,
        incarnation: Incarnation,
        attempt: bluebellreel_types::AttemptId,
    ) {
        let now = self.now();
        match self.pullers.get(worker) {
            Some(puller) if puller.incarnation == incarnation => {
                let worker = worker.clone();
                self.handles
                    .send_command(EntryCommand::Cancel { worker, attempt });
            }
            Some(_) => {
                if let Some(job) = self.scheduler.jobs.get_mut(id) {
                    job.note_outcome_lost(attempt, now);
                }
            }
            None => {}
        }
    }

    fn summary(&self, now: Moment) -> JobsSummary {
        let late = self
            .index
            .jobs
            .values()
            .filter(|job| job.record.deadline.is_past(now));
        let owned = self.scheduler.jobs.values().map(|job| OwnedSummary {
            id: job.record.id.clone(),
            team: job.record.team.clone(),
            items: job.record.items,
            succeeded: job.counts().succeeded,
            failed: job.counts().failed,
            running: job.leased(),
            deadline: job.record.deadline.to_rfc3339(),
        });
        JobsSummary {
            running: self.index.jobs.len(),
            owned: owned.collect(),
            orphaned: self.index.orphaned(),
            late: late.count(),
            unrecorded_bytes: self.scheduler.unrecorded_bytes(),
        }
    }
}

fn dispatch_of(lease: &ItemLease, side: Incarnation) -> Dispatch {
    Dispatch {
        attempt: lease.attempt,
        side,
        class: Class::Batch,
        work: lease.work.clone(),
        deadline: lease.deadline,
        resume: lease.resume.clone(),
        trace: TraceContext::fresh(),
    }
}

fn send_pull_answer(pull: PendingPull) {
    // If the side process has disconnected, sending fails. Its leases are
    // released when the lost connection is reported.
    pull.answer.0.send(pull.ready).ok();
}

#[cfg(test)]
mod tests;
