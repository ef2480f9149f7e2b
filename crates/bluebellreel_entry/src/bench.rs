//! A test harness that drives the daemon's production code step by step, without
//! threads or sockets and with a manually set clock. Used by the fault matrix and
//! other failure tests.

use crate::core::EntryCore;
use crate::data::ChunkAccess;
use crate::fleet::{FleetMessage, PutAnswer, SharedManifest, accepted, get_manifest, put_manifest};
use crate::handles::DaemonHandles;
use crate::http::record_query_result;
use crate::jobs::{
    AcceptAnswer, CancelAnswer, JobsMessage, Submission, accept_job, cancel_job, find_job,
    read_results,
};
use crate::message::Message;
use crate::online::{CallerEvent, ClaimQueryResult, NewCall, OnlineMessage, find_claim};
use crate::platform::{
    EntryRecord, KvPool, ListedState, ListedWorker, entry_key, entry_prefix, job_prefix,
};
use crate::readiness::Readiness;
use bluebellreel_claim::ClaimRecord;
use bluebellreel_http::ApiError;
use bluebellreel_job::{JobRecord, JobState};
use bluebellreel_kv::{Commit, KvClient, KvSettings, KvTransport, Put, Txn};
use bluebellreel_routing::{NewRequest, Outcome};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_settings::EntrySettings;
use bluebellreel_telemetry::{EntryMetrics, Tracer};
use bluebellreel_types::{
    Clock, DataCentre, EntryName, Incarnation, JobId, Moment, RequestId, TeamName, TraceContext,
    Work, WorkerName, content_digest,
};
use crossbeam_channel::{Receiver, TryRecvError, bounded, unbounded};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the actor's message queue.
const MESSAGE_QUEUE_CAPACITY: usize = 65_536;

/// An online call and the caller's view of it.
pub struct HarnessCall {
    /// Id of the request.
    pub id: RequestId,
    rx: Receiver<CallerEvent>,
    /// Text received so far.
    pub text: String,
    /// How the call ended, once it has.
    pub end: Option<CallEnd>,
    stranded: bool,
}

/// How an online call ended for its caller.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The request ended with this outcome.
    Outcome(Outcome),
    /// The idempotency key already had this claim.
    Claimed(Box<ClaimRecord>),
}

impl HarnessCall {
    /// Processes the events received since the last poll.
    pub fn poll(&mut self) {
        loop {
            match self.rx.try_recv() {
                Ok(CallerEvent::Text(text)) => self.text.push_str(&text),
                Ok(CallerEvent::Finished(outcome)) => {
                    self.end = Some(CallEnd::Outcome(outcome));
                }
                Ok(CallerEvent::Claimed(record)) => self.end = Some(CallEnd::Claimed(record)),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    self.stranded = self.end.is_none();
                    return;
                }
            }
        }
    }

    /// Whether the daemon crashed before it answered.
    #[must_use]
    pub fn is_stranded(&self) -> bool {
        self.stranded
    }
}

/// One line of a job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HarnessResult {
    /// The item's custom id.
    pub custom_id: String,
    /// The item's final status.
    pub status: &'static str,
    /// The body of the item's response.
    pub body: Option<String>,
}

/// A query to the side process that a claim names.
pub struct ClaimQuery {
    record: ClaimRecord,
    revision: i64,
    rx: Receiver<ClaimQueryResult>,
}

/// An entry daemon without threads or sockets.
pub struct EntryHarness {
    /// Name of the daemon.
    pub name: EntryName,
    /// Incarnation of the daemon.
    pub run: Incarnation,
    core: EntryCore,
    handles: DaemonHandles,
    rx: Receiver<Message>,
    commands: mpsc::UnboundedReceiver<EntryCommand>,
    lease: Option<i64>,
    seen: BTreeSet<EntryName>,
}

impl EntryHarness {
    /// Creates a newly started daemon.
    #[must_use]
    pub fn new(settings: EntrySettings, send: KvTransport, clock: Clock) -> Self {
        let run = Incarnation::random();
        let (tx, rx) = bounded(MESSAGE_QUEUE_CAPACITY);
        let (rpc, commands) = mpsc::unbounded_channel();
        let kv_settings = KvSettings {
            url: settings.kv.clone(),
            call_timeout: Duration::from_secs(2),
            calls_per_second: settings.kv_calls_per_second,
        };
        let kv = KvClient::with_transport(send, kv_settings, run, clock.clone());
        let handles = DaemonHandles {
            run,
            clock,
            lease: Arc::default(),
            kv: Arc::new(kv),
            pool: KvPool::manual(),
            rpc,
            tx,
            tracer: Tracer::disabled(),
            metrics: Arc::new(EntryMetrics::default()),
            readiness: Readiness::default(),
            data: ChunkAccess::default(),
            settings: Arc::new(settings),
        };
        Self {
            name: handles.settings.name.clone(),
            run,
            core: EntryCore::new(&handles, SharedManifest::default()),
            handles,
            rx,
            commands,
            lease: None,
            seen: BTreeSet::new(),
        }
    }

    /// Handles all queued messages.
    pub fn handle_messages(&mut self) {
        while let Ok(message) = self.rx.try_recv() {
            self.core.deliver(message);
        }
    }

    /// Runs one tick of the daemon's components.
    pub fn tick(&mut self) {
        self.core.tick();
    }

    /// Runs one queued call to the key-value service. Returns whether there was one.
    pub fn run_kv_task(&mut self) -> bool {
        let Some(task) = self.handles.pool.pop_manual() else {
            return false;
        };
        task(&self.handles.kv);
        true
    }

    /// Takes the next command to the connections.
    pub fn command(&mut self) -> Option<EntryCommand> {
        self.commands.try_recv().ok()
    }

    /// Delivers a notice from a side process.
    pub fn notice(&mut self, notice: EntryNotice) {
        self.core.deliver(Message::Rpc(notice));
    }

    /// Delivers a VM list with these workers.
    pub fn list(&mut self, workers: &[(WorkerName, SocketAddr, DataCentre)]) {
        let listed = workers
            .iter()
            .map(|(name, side, data_centre)| ListedWorker {
                name: name.clone(),
                side: *side,
                data_centre: data_centre.clone(),
                state: ListedState::Live,
            });
        self.core.deliver(Message::Listed(listed.collect()));
    }

    /// Renews the daemon's lease, or acquires a new one.
    pub fn renew_lease(&mut self) {
        let kv = &self.handles.kv;
        if let Some(lease) = self.lease
            && kv.keep_alive(lease).unwrap_or(true)
        {
            return;
        }
        let Ok(lease) = kv.grant(self.handles.settings.lease) else {
            return;
        };
        let record = EntryRecord {
            name: self.name.clone(),
            run: self.run,
            address: self.handles.settings.listen,
            data_centre: self.handles.settings.data_centre.clone(),
            disk: None,
        };
        let txn = Txn {
            puts: vec![Put {
                key: entry_key(&self.name),
                value: serde_json::to_vec(&record).unwrap_or_default(),
                lease,
            }],
            ..Txn::default()
        };
        if let Commit::Applied { .. } = kv.commit(&txn, kv.now() + Duration::from_secs(1)) {
            self.lease = Some(lease);
        }
    }

    /// Reads all leases, jobs and the manifest, as the watches do when they start
    /// over.
    pub fn read_all(&mut self) {
        let kv = self.handles.kv.clone();
        if let Ok((all, _)) = kv.list(&entry_prefix()) {
            let records: Vec<EntryRecord> = all
                .iter()
                .filter_map(|kv| serde_json::from_slice(&kv.value).ok())
                .collect();
            let present: BTreeSet<_> = records.iter().map(|r| r.name.clone()).collect();
            for name in self.seen.difference(&present) {
                self.core.deliver(Message::EntryLeft(name.clone()));
            }
            self.seen = present;
            for record in records {
                self.core.deliver(Message::EntryJoined(record));
            }
        }
        if let Ok((all, _)) = kv.list(&job_prefix()) {
            let job = |kv: &bluebellreel_kv::KeyValue| {
                let record: JobRecord = serde_json::from_slice(&kv.value).ok()?;
                Some((record, kv.revision))
            };
            let jobs = all.iter().filter_map(job).collect();
            self.core.deliver(Message::Jobs(JobsMessage::AllJobs(jobs)));
        }
        if let Ok(Some(stored)) = get_manifest(&kv)
            && let Some(accepted) = accepted(&stored)
        {
            let message = FleetMessage::ManifestAccepted(accepted);
            self.core.deliver(Message::Fleet(message));
        }
    }

    /// Submits a job as a caller does.
    ///
    /// # Errors
    ///
    /// Returns the error that the caller receives.
    pub fn submit(
        &mut self,
        team: &TeamName,
        key: &str,
        body: &[u8],
        deadline: Moment,
    ) -> Result<JobId, ApiError> {
        let submission = Submission {
            id: JobId::derived(team, key),
            team: team.clone(),
            deadline,
            accepted_at: self.handles.clock.now(),
            owner: self.name.clone(),
            owner_run: self.run,
            max_items: self.handles.settings.limits.job_items,
        };
        let mut pieces = vec![body.to_vec()];
        let answer = accept_job(
            self.handles.storage(),
            &submission,
            || Ok(()),
            || Ok(pieces.pop()),
        )?;
        match answer {
            AcceptAnswer::Accepted(record, revision) => {
                let message = JobsMessage::Accepted(record, revision);
                self.core.deliver(Message::Jobs(message));
            }
            AcceptAnswer::Existing(_) => {}
        }
        Ok(submission.id)
    }

    /// Cancels a job and returns its final state.
    ///
    /// # Errors
    ///
    /// Returns the reason if the cancellation was not recorded.
    pub fn cancel(&mut self, id: &JobId) -> Result<JobState, String> {
        match cancel_job(self.handles.storage(), id, self.handles.clock.now()) {
            CancelAnswer::Over(record) => Ok(record.state),
            CancelAnswer::NoSuchJob => Err("no such job".into()),
            CancelAnswer::Failed { reason, .. } => Err(reason),
        }
    }

    /// A job's state, `None` if it cannot be read.
    #[must_use]
    pub fn job_state(&self, id: &JobId) -> Option<JobState> {
        let found = find_job(&self.handles.kv, id).ok()??;
        Some(found.record.state)
    }

    /// All results of a job, `None` if they cannot be read.
    #[must_use]
    pub fn results(&self, id: &JobId) -> Option<Vec<HarnessResult>> {
        let record = find_job(&self.handles.kv, id).ok()??.record;
        let mut lines = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = read_results(self.handles.storage(), &record, after.as_deref()).ok()?;
            lines.extend(page.lines.into_iter().map(|line| HarnessResult {
                custom_id: line.custom_id.to_string(),
                status: line.status,
                body: line.response.map(|r| r.body.to_string()),
            }));
            match page.next {
                Some(next) => after = Some(next),
                None => return Some(lines),
            }
        }
    }

    /// Sends an online request as a caller does.
    pub fn call(&mut self, work: Work, deadline: Moment) -> HarnessCall {
        let id = RequestId::random();
        let (caller, rx) = unbounded();
        let call = NewCall {
            digest: content_digest(&work.body),
            request: NewRequest {
                id,
                work: Arc::new(work),
                deadline,
                trace: TraceContext::fresh(),
            },
            caller,
        };
        let message = OnlineMessage::Call(Box::new(call));
        self.core.deliver(Message::Online(message));
        HarnessCall {
            id,
            rx,
            text: String::new(),
            end: None,
            stranded: false,
        }
    }

    /// Reads the claim of a key.
    #[must_use]
    pub fn claim(&self, team: &TeamName, key: &str) -> Option<ClaimRecord> {
        Some(find_claim(&self.handles.kv, team, key).ok()??.0)
    }

    /// Queries the outcome of a key's claim.
    pub fn query_claim(&mut self, team: &TeamName, key: &str) -> Option<ClaimQuery> {
        let (record, revision) = find_claim(&self.handles.kv, team, key).ok()??;
        let (answer, rx) = bounded(1);
        let message = OnlineMessage::QueryClaim {
            record: Box::new(record.clone()),
            answer,
        };
        self.core.deliver(Message::Online(message));
        Some(ClaimQuery {
            record,
            revision,
            rx,
        })
    }

    /// Records the result of a query if it has arrived. Returns whether it has.
    pub fn settle(&mut self, query: &ClaimQuery) -> bool {
        let Ok(result) = query.rx.try_recv() else {
            return false;
        };
        let record = query.record.clone();
        record_query_result(&self.handles.kv, record, query.revision, &result);
        true
    }

    /// Replaces the manifest if its generation is the one that was seen.
    ///
    /// # Errors
    ///
    /// Returns the generation that won instead, or `None` if it is unknown.
    pub fn put_manifest(&mut self, seen: u64, text: &str) -> Result<u64, Option<u64>> {
        match put_manifest(&self.handles.kv, seen, text) {
            PutAnswer::Accepted(stored) => Ok(stored.generation),
            PutAnswer::Beaten(winner) => Err(winner.map(|w| w.generation)),
            PutAnswer::NotDone(_) | PutAnswer::Unknown(_) => Err(None),
        }
    }

    /// Generation of the manifest in force on this daemon.
    pub fn generation(&mut self) -> u64 {
        let (answer, rx) = bounded(1);
        let message = FleetMessage::QuerySummary(answer);
        self.core.deliver(Message::Fleet(message));
        rx.try_recv().map_or(0, |summary| summary.generation)
    }
}
