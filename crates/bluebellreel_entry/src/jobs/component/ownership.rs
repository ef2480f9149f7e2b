//! Ownership of jobs: acceptance, take-over and loss.

use super::{JobsComponent, REOPEN_DELAY};
use crate::jobs::messages::{JobsMessage, OpenedJob};
use crate::jobs::store;
use crate::message::Message;
use crate::platform::job_id_of;
use bluebellreel_job::{JobLimits, JobRecord, JobTarget, OwnedJob};
use bluebellreel_kv::WatchEvent;
use bluebellreel_types::{JobId, Moment};
use std::collections::BTreeSet;

impl JobsComponent {
    pub(super) fn take_over_due(&mut self, now: Moment) {
        if self.stopping {
            return;
        }
        let me = self.handles.settings.name.clone();
        let run = self.handles.run;
        let holds = |id: &JobId| {
            let is_open = self.scheduler.jobs.contains_key(id);
            is_open || self.opening.contains(id) || self.reopen_at.contains_key(id)
        };
        for (record, revision) in self.index.due_takeovers((&me, run), holds, now) {
            let me = me.clone();
            let handles = self.handles.clone();
            let id = record.id.clone();
            let queued = self.handles.pool.run(move |kv| {
                let result = store::take_over(kv, &record, revision, me, run);
                let id = record.id.clone();
                handles.send_message(Message::Jobs(JobsMessage::TakenOver { id, result }));
            });
            if !queued {
                self.on_takeover(&id, None);
            }
        }
    }

    pub(super) fn on_takeover(&mut self, id: &JobId, result: Option<(Box<JobRecord>, i64)>) {
        match result {
            Some((record, revision)) => {
                log::info!(target: "jobs", job:% = id, epoch = record.epoch; "Job taken over.");
                self.handles.metrics.takeovers.inc();
                self.index.put(*record, revision);
                self.reopen(id);
            }
            None => self.index.on_takeover_failed(id),
        }
    }

    /// Retries opening jobs whose earlier attempt failed.
    pub(super) fn reopen_due(&mut self, now: Moment) {
        let due = self.reopen_at.iter().filter(|(_, at)| at.is_past(now));
        let due: Vec<JobId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.reopen_at.remove(&id);
            self.reopen(&id);
        }
    }

    /// Reads the recorded state of an owned job; the job is opened once it is read.
    pub(super) fn reopen(&mut self, id: &JobId) {
        let Some(job) = self.index.jobs.get(id) else {
            return;
        };
        if !self.is_mine(&job.record) || !self.opening.insert(id.clone()) {
            return;
        }
        let (record, revision) = (job.record.clone(), job.revision);
        let (handles, id) = (self.handles.clone(), id.clone());
        let job = id.clone();
        let queued = self.handles.pool.run(move |_| {
            let message = match store::open_job(handles.storage(), record, revision) {
                Ok(opened) => JobsMessage::Opened(Box::new(opened)),
                Err(e) => {
                    log::warn!(target: "jobs", job:% = id, error:% = e; "Job cannot be opened; retrying.");
                    JobsMessage::OpenFailed(id)
                }
            };
            handles.send_message(Message::Jobs(message));
        });
        if !queued {
            self.on_open_failed(job);
        }
    }

    /// Schedules another attempt for a job that could not be opened.
    pub(super) fn on_open_failed(&mut self, id: JobId) {
        self.opening.remove(&id);
        self.reopen_at.insert(id, self.now() + REOPEN_DELAY);
    }

    pub(super) fn open(&mut self, opened: OpenedJob) {
        let id = opened.record.id.clone();
        self.opening.remove(&id);
        let current = self.index.jobs.get(&id).map(|job| job.revision);
        if current != Some(opened.revision) {
            return;
        }
        // A service job may contain any call of the service, also non-repeatable
        // ones, so all its calls run at most once.
        let repeatable = matches!(opened.record.target, JobTarget::Chat(_));
        let job = OwnedJob::open(
            opened.record,
            opened.revision,
            repeatable,
            JobLimits::default(),
            &opened.recorded,
            &opened.claims,
        );
        self.scheduler.jobs.insert(id, job);
    }

    pub(super) fn drop_job(&mut self, id: &JobId) {
        let Some(mut job) = self.scheduler.jobs.remove(id) else {
            return;
        };
        log::info!(target: "jobs", job:% = id; "Job no longer owned by this daemon.");
        let mut effects = Vec::new();
        job.withdraw_all(&mut effects);
        for effect in effects {
            self.execute(id, &job.record, job.revision, effect);
        }
    }

    pub(super) fn adopt_new(&mut self, record: JobRecord, revision: i64) {
        log::info!(target: "jobs", job:% = record.id, items = record.items; "Job accepted.");
        self.index.put(record.clone(), revision);
        self.open(OpenedJob {
            record,
            revision,
            recorded: Vec::new(),
            claims: Vec::new(),
        });
    }

    pub(super) fn note_all(&mut self, jobs: Vec<(JobRecord, i64)>) {
        let present: BTreeSet<JobId> = jobs.iter().map(|(r, _)| r.id.clone()).collect();
        let gone: Vec<JobId> = self
            .index
            .jobs
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.index.jobs.remove(&id);
            self.drop_job(&id);
        }
        for (record, revision) in jobs {
            self.note_record(record, revision);
        }
    }

    pub(super) fn note_change(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put(kv) => {
                if let Ok(record) = serde_json::from_slice::<JobRecord>(&kv.value) {
                    self.note_record(record, kv.revision);
                }
            }
            WatchEvent::Deleted { key, revision } => {
                let id = job_id_of(&key);
                self.index.remove(&id, revision);
                self.drop_job(&id);
            }
        }
    }

    /// Updates the index. A newer record that names another owner ends this
    /// daemon's ownership.
    pub(super) fn note_record(&mut self, record: JobRecord, revision: i64) {
        let mine = self.is_mine(&record);
        let id = record.id.clone();
        self.index.put(record, revision);
        let outdated = self
            .scheduler
            .jobs
            .get(&id)
            .is_some_and(|job| job.revision < revision);
        if outdated && !mine {
            self.drop_job(&id);
        }
    }

    pub(super) fn is_mine(&self, record: &JobRecord) -> bool {
        record.owner == self.handles.settings.name && record.owner_run == self.handles.run
    }
}
