//! Forwards a worker's events to the caller as they arrive, and resumes the stream at
//! another worker if the route allows it.
//!
//! Only complete events with consecutive ids are forwarded, so that a stream can be
//! resumed at another worker after any event. If a stream cannot be completed, the
//! connection to the caller is broken, so that the caller notices.

use crate::answer_limits::{AnswerLimits, TOO_LONG};
use crate::crash::{self, InterruptedRun};
use crate::events::{Events, Oversized};
use crate::gateway::Gateway;
use crate::list_check;
use crate::millis::millis;
use crate::origins;
use crate::placement;
use crate::quarantine_gate;
use crate::request::{Binding, Request};
use crate::stream_monitor::StreamMonitor;
use crate::ticket::{RESTART_GRACE, may_be_of_other_version, note_late, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use crate::workers::version_text;
use bluebellreel_dispatch::{Depth, Placement};
use bluebellreel_net::{Broken, Reuse};
use bluebellreel_types::{Moment, WorkerName, WorkerVersion};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use log::{info, warn};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Silence after which a stream is resumed at another worker. Events arrive about
/// 30 ms apart, and a pause counts as late from 300 ms on: when the silence is noticed
/// after half of that, the other worker's first event still arrives in time.
const MAX_SILENCE: Duration = Duration::from_millis(150);
/// Silence after which a stream is resumed elsewhere, in multiples of the mean interval
/// between its worker's events. It applies to slow workers, where it exceeds
/// [`MAX_SILENCE`].
const MAX_SILENT_INTERVALS: f64 = 2.5;
/// Upper limit of this silence, as a share of the longest pause that the route allows.
const MAX_PAUSE_SHARE: f64 = 0.75;
/// Timeout of the first event of a resumed stream, if another worker could take the
/// stream instead.
const RESUMED_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of one last read after a worker was silent for too long. If this process was
/// paused, all workers seem silent: events that arrived meanwhile are read before the
/// worker counts as silent.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(12);

/// Why a stream that no keeper has recorded is begun at another version.
const NOT_RECORDED: &str = "version not recorded";
/// Why the output of a run that resumes a stream is not used.
const OUT_OF_STEP: &str = "list of workers not confirmed";

/// The outcome of a read from the worker's answer.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    Broken,
    Silent,
    DeadlinePassed,
}

/// Where a stream is resumed.
enum Resumption {
    NewWorker(Box<Upstream>),
    /// The former worker was only late: it has sent something that is to be read now.
    FormerWorker,
}

impl From<Result<Option<Bytes>, Broken>> for ReadOutcome {
    fn from(read: Result<Option<Bytes>, Broken>) -> Self {
        match read {
            Ok(Some(bytes)) => Self::Bytes(bytes),
            Ok(None) => Self::End,
            Err(Broken) => Self::Broken,
        }
    }
}

/// A stream that is forwarded to a caller.
pub(crate) struct Relay {
    gw: Rc<Gateway>,
    req: Request,
    upstream: Upstream,
    events: Events,
    stream_monitor: StreamMonitor,
    last_id: Option<u64>,
    events_passed: u64,
    max_events: u64,
    /// Events of the present run.
    events_of_run: u64,
    /// The event after which the present run resumes the answer; none if it began it.
    resumed_after: Option<u64>,
    silence_deadline: Instant,
    /// When the first event arrived.
    first_event_at: Instant,
    /// When the last event arrived.
    last_event_at: Instant,
    longest_pause: Duration,
    /// Whether the worker has restarted since the request was sent there.
    has_restarted: bool,
    /// Workers at which the stream is not resumed again: they were silent, or did not
    /// accept it.
    excluded: Vec<WorkerName>,
    /// Whether the version that began the stream was recorded, if that is needed.
    is_recorded: bool,
    /// When the present run was sent, if it resumes the answer and nothing of it has been used
    /// yet.
    unchecked: Option<Moment>,
    finished: bool,
}

impl Relay {
    pub(crate) fn new(gw: Rc<Gateway>, req: Request, upstream: Upstream) -> Self {
        let silence_deadline = first_event_deadline(&gw, upstream.run_guard.worker());
        let last_id = bluebellreel_platform::ingress::last_event_id(&req.out.headers);
        let max_events = AnswerLimits::of(&req.out.headers).events;
        let dispatched = upstream.dispatched;
        Self {
            gw,
            req,
            upstream,
            events: Events::default(),
            stream_monitor: StreamMonitor::default(),
            last_id,
            events_passed: 0,
            max_events,
            events_of_run: 0,
            resumed_after: last_id,
            silence_deadline,
            first_event_at: Instant::now(),
            last_event_at: Instant::now(),
            longest_pause: Duration::ZERO,
            has_restarted: false,
            excluded: Vec::new(),
            is_recorded: false,
            unchecked: last_id.map(|_| dispatched),
            finished: false,
        }
    }

    /// Returns the events as a stream of bytes.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        futures::stream::unfold(self, |mut relay| async {
            let chunk = relay.next().await?;
            Some((chunk, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.finished {
            return None;
        }
        loop {
            let before = (self.last_id, self.events_passed);
            let complete = match self.complete_events() {
                Ok(complete) => complete,
                Err(reason) => {
                    self.upstream.run_guard.lost();
                    if self.resume(reason, false).await {
                        continue;
                    }
                    return Some(self.abort(reason));
                }
            };
            if !complete.is_empty() {
                if !self.went_to_its_version().await {
                    self.undo(before);
                    if self.resume(OUT_OF_STEP, false).await {
                        continue;
                    }
                    return Some(self.abort(OUT_OF_STEP));
                }
                if !std::mem::replace(&mut self.is_recorded, true)
                    && !origins::record(&self.gw, &self.req).await
                    && let Some(version) = origins::version_without_record(&self.gw, &self.req)
                {
                    if self.begin_anew(version).await {
                        continue;
                    }
                    return Some(self.abort(NOT_RECORDED));
                }
                return Some(Ok(complete));
            }
            match self.read_next().await {
                ReadOutcome::Bytes(bytes) => self.events.push(&bytes),
                ReadOutcome::End if self.is_complete().await => {
                    self.finish();
                    return None;
                }
                ReadOutcome::End | ReadOutcome::Broken => {
                    self.upstream.run_guard.lost();
                    self.probe_for_crash().await;
                    if !self.resume("broken off by the worker", false).await {
                        return Some(self.abort("broken off by the worker"));
                    }
                }
                ReadOutcome::Silent => {
                    let reason = if self.has_restarted {
                        "worker started again"
                    } else {
                        "worker silent"
                    };
                    if self.events_of_run == 0 {
                        self.upstream.run_guard.late();
                    }
                    if self.has_restarted {
                        self.probe_for_crash().await;
                    }
                    let open = !self.has_other_version();
                    if !self.resume(reason, open).await {
                        if self.has_restarted {
                            return Some(self.abort(reason));
                        }
                        self.silence_deadline = self.req.deadline;
                    }
                }
                ReadOutcome::DeadlinePassed => return Some(self.abort("deadline passed")),
            }
        }
    }

    /// Whether a stream whose body has ended is complete. One that ends with its connection
    /// may have been cut short by the end of its worker, even before its first event.
    async fn is_complete(&self) -> bool {
        if self.events.has_partial_event() {
            return false;
        }
        if !self.upstream.body.is_unframed() {
            return true;
        }
        let is_empty = self.events_of_run == 0 && self.last_id.is_none();
        let address = self.upstream.address;
        !is_empty && !crash::was_cut_short(&self.gw, self.interrupted_run(), address).await
    }

    /// Removes the complete events from the buffer whose ids follow the last forwarded
    /// one. Fails if the first one does not follow, or if the answer is too long; events
    /// before that are forwarded first.
    fn complete_events(&mut self) -> Result<Bytes, &'static str> {
        let mut all = BytesMut::new();
        loop {
            let is_excess = self.events_passed >= self.max_events;
            if is_excess && self.events.has_complete_event() == Ok(true) {
                if all.is_empty() {
                    return Err(TOO_LONG);
                }
                break;
            }
            let event = match self.events.next() {
                Ok(Some(event)) => event,
                Err(Oversized) if all.is_empty() => return Err(Oversized::REASON),
                Ok(None) | Err(Oversized) => break,
            };
            if let (Some(last), Some(id)) = (self.last_id, event.id)
                && id != last + 1
            {
                if all.is_empty() {
                    return Err("event ids are not consecutive");
                }
                // Events before the gap are forwarded. The buffer is dropped, so the
                // next event fails the check for consecutive ids.
                self.events = Events::default();
                break;
            }
            if event.id.is_some() {
                self.last_id = event.id;
                self.bind();
                self.note_event();
            }
            all.extend_from_slice(&event.bytes);
        }
        Ok(all.freeze())
    }

    /// Binds the stream to the version of the worker that has begun it.
    fn bind(&mut self) {
        if self.req.binding == Binding::Free {
            let ticket = self.upstream.run_guard.ticket();
            let version = self.gw.board.borrow().version_of_run(ticket);
            self.req.binding = Binding::of(version);
        }
    }

    /// Looks the version up again if it was not known when the stream began.
    fn rebind(&mut self) {
        if self.req.binding == Binding::Unknown && self.events_passed > 0 {
            self.req.binding = Binding::Free;
            self.bind();
        }
    }

    /// Whether the worker is listed with another version than the one that began the
    /// stream.
    fn has_other_version(&self) -> bool {
        let board = self.gw.board.borrow();
        let listed = board.version_of(self.upstream.run_guard.worker());
        let began = self.req.binding.version();
        began.is_some() && listed.is_some() && listed != began
    }

    fn note_event(&mut self) {
        if self.events_passed == 0 {
            let waited = self.req.received.elapsed();
            self.gw.metrics.first_event.observe(waited.as_secs_f64());
            self.first_event_at = Instant::now();
        } else {
            self.longest_pause = self.longest_pause.max(self.last_event_at.elapsed());
        }
        self.last_event_at = Instant::now();
        self.events_passed += 1;
        self.events_of_run += 1;
        let depth = Depth::of(self.events_of_run);
        if depth > Depth::of(self.events_of_run - 1) {
            self.upstream.run_guard.proved();
            let version = self.upstream.run_guard.version();
            quarantine_gate::prompt_progressed(&self.gw, self.req.parts(), version, depth);
        }
        self.stream_monitor
            .record_event(&self.gw, &self.upstream.run_guard);
        self.silence_deadline = Instant::now() + self.max_silence();
    }

    /// How long the worker may be silent. A slow but steady worker keeps its stream:
    /// its next event arrives sooner than the first event of another worker would.
    fn max_silence(&self) -> Duration {
        let board = self.gw.board.borrow();
        let worker = self.upstream.run_guard.worker();
        let mean_interval = board.speeds.interval(worker, self.gw.now());
        let steady_silence = mean_interval
            .unwrap_or_default()
            .mul_f64(MAX_SILENT_INTERVALS);
        let late_silence = self.req.route.pause.mul_f64(MAX_PAUSE_SHARE);
        MAX_SILENCE.max(steady_silence.min(late_silence))
    }

    async fn read_next(&mut self) -> ReadOutcome {
        if !self.has_restarted {
            let Upstream {
                body, run_guard, ..
            } = &mut self.upstream;
            let until = self.silence_deadline.min(self.req.deadline);
            tokio::select! {
                biased;
                read = body.next() => return read.into(),
                () = worker_restarted(&self.gw, run_guard.ticket()) => {
                    self.has_restarted = true;
                    if self.has_other_version() {
                        return ReadOutcome::Silent;
                    }
                    self.silence_deadline = until.min(Instant::now() + RESTART_GRACE);
                }
                () = sleep_until(until) => {}
            }
        }
        let until = self.silence_deadline.min(self.req.deadline);
        let mut read = timeout_at(until, self.upstream.body.next()).await;
        if read.is_err() {
            let last = Instant::now() + FINAL_READ_TIMEOUT;
            read = timeout_at(last, self.upstream.body.next()).await;
        }
        match read {
            Ok(read) => read.into(),
            Err(_) if self.req.left().is_zero() => ReadOutcome::DeadlinePassed,
            Err(_) => ReadOutcome::Silent,
        }
    }

    /// Checks whether the worker that broke the stream off has crashed.
    async fn probe_for_crash(&self) {
        crash::check_for_crash(&self.gw, self.interrupted_run()).await;
    }

    fn interrupted_run(&self) -> InterruptedRun {
        let ticket = self.upstream.run_guard.ticket().clone();
        self.req
            .interrupted_run(ticket, self.upstream.began, self.events_of_run)
    }

    /// Whether the present run, which resumes the answer, was sent to a worker of the version
    /// that began it.
    async fn went_to_its_version(&mut self) -> bool {
        let Some(dispatched) = self.unchecked.take() else {
            return true;
        };
        let ticket = self.upstream.run_guard.ticket();
        list_check::check_run(&self.gw, ticket, dispatched).await
    }

    /// Forgets the events of the present run, as none was passed on.
    fn undo(&mut self, (last_id, events_passed): (Option<u64>, u64)) {
        self.last_id = last_id;
        self.events_passed = events_passed;
        self.events = Events::default();
    }

    /// Begins the stream anew at a worker of `version`, with nothing passed on of it yet.
    /// Returns whether that succeeded.
    async fn begin_anew(&mut self, version: WorkerVersion) -> bool {
        info!(target: "online", request:% = self.req.id, worker:% = self.upstream.run_guard.worker(), worker_version = version_text(self.upstream.run_guard.version()), required_version:% = version; "stream begun anew");
        self.upstream.run_guard.proved();
        self.req.binding = Binding::Version(version);
        self.last_id = None;
        self.events_passed = 0;
        self.is_recorded = false;
        self.send_elsewhere(false).await
    }

    /// Resumes the stream at a worker, preferably one that has not had it. Returns
    /// whether that succeeded. If `open`, the connection to the former worker is kept
    /// meanwhile, as it may still send events.
    async fn resume(&mut self, reason: &str, open: bool) -> bool {
        let worker = self.upstream.run_guard.worker().clone();
        let resumable = self.may_resume();
        warn!(target: "online", request:% = self.req.id, worker:% = worker, worker_version = version_text(self.upstream.run_guard.version()), events = self.events_passed, last_id:? = self.last_id, runs = self.req.runs, resumable, reason; "stream interrupted");
        self.upstream.run_guard.failed();
        self.rebind();
        if self.has_restarted {
            // The worker's new incarnation has not had the stream.
            self.req.tried.retain(|w| *w != worker);
        }
        self.send_elsewhere(open).await
    }

    fn may_resume(&self) -> bool {
        self.req.route.resumable && self.req.may_repeat()
    }

    /// Sends the stream to other workers until one answers. Returns whether one has.
    async fn send_elsewhere(&mut self, open: bool) -> bool {
        let worker = self.upstream.run_guard.worker().clone();
        if self.last_id.is_some() {
            if !list_check::check_for_send(&self.gw).await {
                self.gw.metrics.resumption("gateway", "out_of_step");
                return false;
            }
            let ticket = self.upstream.run_guard.ticket();
            if may_be_of_other_version(&self.gw, ticket, self.upstream.dispatched) {
                self.req.binding = Binding::Unknown;
                origins::record_unknown(&self.gw, &self.req).await;
            }
        }
        while self.may_resume() && !self.req.left().is_zero() {
            if self.req.may_run(&self.gw).is_err() || self.req.denial(&self.gw).is_some() {
                return false;
            }
            let Some(next) = self.next_worker(!open) else {
                let outcome = match self.req.binding {
                    Binding::Unknown => "version_unknown",
                    Binding::Free | Binding::Version(_) => "no_worker",
                };
                self.gw.metrics.resumption("gateway", outcome);
                return false;
            };
            self.req.tried.push(next.clone());
            match self.send_resumed(&next, open).await {
                Ok(Resumption::FormerWorker) => {
                    self.silence_deadline = Instant::now() + self.max_silence();
                    self.req.runs += 1;
                    return true;
                }
                Ok(Resumption::NewWorker(upstream)) if upstream.head.status.is_success() => {
                    if open && !self.has_restarted {
                        self.excluded.push(worker.clone());
                    }
                    // Dropping the old upstream closes its connection, which ends the
                    // run at the former worker.
                    self.upstream = *upstream;
                    self.has_restarted = false;
                    self.events = Events::default();
                    self.events_of_run = 0;
                    self.resumed_after = self.last_id;
                    self.unchecked = self.last_id.map(|_| self.upstream.dispatched);
                    self.stream_monitor = StreamMonitor::default();
                    self.req.runs += 1;
                    self.silence_deadline = Instant::now() + RESUMED_FIRST_EVENT_TIMEOUT;
                    self.gw.metrics.resumed.inc();
                    self.gw.metrics.resumption("gateway", "same_version");
                    let list_age_ms = self.gw.list_age().map(millis);
                    info!(target: "online", request:% = self.req.id, worker:% = next, worker_version = version_text(self.upstream.run_guard.version()), last_id:? = self.last_id, list_age_ms:? = list_age_ms; "stream resumed");
                    return true;
                }
                Ok(Resumption::NewWorker(upstream)) => {
                    if upstream.head.status.is_server_error() {
                        upstream.run_guard.lost();
                    }
                    self.req.runs += 1;
                }
                Err(NoAnswer::Unknown(_)) => self.req.runs += 1,
                Err(NoAnswer::Silent) => {
                    self.req.runs += 1;
                    self.excluded.push(next);
                }
                Err(NoAnswer::Unsent(_) | NoAnswer::NotRun(_)) => self.excluded.push(next),
            }
        }
        false
    }

    /// Chooses the worker at which the stream is resumed: one that has not had it; else,
    /// if `may_return`, one that has, preferably not the last one.
    ///
    /// The caller already has a part of the answer: a late rest is better than none.
    fn next_worker(&self, may_return: bool) -> Option<WorkerName> {
        let max_wait = self.req.left();
        let choose_excluding = |avoid: &[WorkerName]| {
            let placed = placement::choose_except(&self.gw, &self.req, avoid, max_wait);
            match placed {
                Placement::Send(worker) => Some(worker),
                Placement::Full | Placement::NoWorker => None,
            }
        };
        let untried = choose_excluding(&self.req.tried);
        if untried.is_some() || !may_return {
            return untried;
        }
        let last = self.req.tried.last().cloned();
        let excluded_or_last: Vec<WorkerName> = self.excluded.iter().cloned().chain(last).collect();
        choose_excluding(&excluded_or_last).or_else(|| choose_excluding(&self.excluded))
    }

    /// Sends the stream to one more worker. If no other worker is left to try, waits for
    /// it until the caller's deadline, until the former worker sends something, or until
    /// the new worker restarts: its new incarnation has not had the stream.
    async fn send_resumed(
        &mut self,
        worker: &WorkerName,
        mut open: bool,
    ) -> Result<Resumption, NoAnswer> {
        let early_deadline = (Instant::now() + RESUMED_FIRST_EVENT_TIMEOUT).min(self.req.deadline);
        let until = if self.is_last_try() {
            self.req.deadline
        } else {
            early_deadline
        };
        let run_guard = placement::acquire(&self.gw, worker);
        let ticket = run_guard.ticket().clone();
        let began = self.gw.now();
        let mut restarted = pin!(worker_restarted(&self.gw, &ticket));
        let mut restart_deadline = None;
        let (gw, req) = (&self.gw, &self.req);
        let note_failure = async |answer: &Result<Upstream, NoAnswer>| match answer {
            Err(NoAnswer::Silent) if Instant::now() < req.deadline => {
                note_late(gw, &ticket);
            }
            Err(NoAnswer::Unknown(_)) => {
                let run = req.interrupted_run(ticket.clone(), began, 0);
                crash::check_for_crash(gw, run).await;
            }
            _ => {}
        };
        let mut sent = pin!(send(
            &self.gw,
            Send {
                run_guard,
                out: &self.req.out,
                left: Some(self.req.left()),
                after: self.last_id,
                reuse: Reuse::Any,
                until,
            },
        ));
        if let Ok(answer) = timeout_at(early_deadline, sent.as_mut()).await {
            note_failure(&answer).await;
            return answer.map(Box::new).map(Resumption::NewWorker);
        }
        loop {
            tokio::select! {
                biased;
                answer = sent.as_mut() => {
                    note_failure(&answer).await;
                    return answer.map(Box::new).map(Resumption::NewWorker);
                }
                read = self.upstream.body.next(), if open => match read {
                    Ok(Some(bytes)) => {
                        self.events.push(&bytes);
                        match self.events.has_complete_event() {
                            Ok(true) => return Ok(Resumption::FormerWorker),
                            Ok(false) => {}
                            Err(Oversized) => open = false,
                        }
                    }
                    Ok(None) => return Ok(Resumption::FormerWorker),
                    Err(Broken) => open = false,
                },
                () = restarted.as_mut(), if restart_deadline.is_none() => {
                    restart_deadline = Some(Instant::now() + RESTART_GRACE);
                }
                () = sleep_until(restart_deadline.unwrap_or(until)), if restart_deadline.is_some() => {
                    let answer = Err(NoAnswer::Unknown("worker started again".into()));
                    note_failure(&answer).await;
                    self.req.tried.retain(|w| w != worker);
                    return answer.map(Box::new).map(Resumption::NewWorker);
                }
            }
        }
    }

    /// Whether no other worker could take the stream after the attempt that begins now.
    ///
    /// A worker whose slots are all taken answers when one becomes free. If the attempt
    /// there were abandoned with no other worker left, the stream would stall until its
    /// deadline and break.
    fn is_last_try(&self) -> bool {
        if self.req.runs + 1 >= self.req.route.max_workers.max(1) {
            return true;
        }
        let next = placement::choose(&self.gw, &self.req, self.req.left());
        !matches!(next, Placement::Send(_))
    }

    fn finish(&mut self) {
        self.finished = true;
        self.upstream.run_guard.proved();
        let lasted = self.first_event_at.elapsed();
        self.gw.board.borrow_mut().speeds.note_run(lasted);
        // A run that resumes an answer shows nothing about what comes before.
        if self.resumed_after.is_none() {
            quarantine_gate::run_completed(&self.gw, || self.req.fingerprint());
            let version = self.upstream.run_guard.version();
            quarantine_gate::prompt_answered(&self.gw, self.req.parts(), version);
        }
        let metrics = &self.gw.metrics;
        metrics.pause.observe(self.longest_pause.as_secs_f64());
        metrics.request("served");
        info!(target: "online", request:% = self.req.id, worker:% = self.upstream.run_guard.worker(), events = self.events_passed, runs = self.req.runs, pause_ms = millis(self.longest_pause), took_ms = millis(self.req.received.elapsed()); "served");
    }

    fn abort(&mut self, reason: &str) -> Result<Bytes, Broken> {
        self.finished = true;
        self.gw.metrics.request("broken_off");
        warn!(target: "online", request:% = self.req.id, worker:% = self.upstream.run_guard.worker(), events = self.events_passed, runs = self.req.runs, took_ms = millis(self.req.received.elapsed()), reason; "broken off");
        Err(Broken)
    }
}

/// The deadline of the first event: later if other requests wait at the worker.
fn first_event_deadline(gw: &Gateway, worker: &WorkerName) -> Instant {
    let waiting = gw
        .board
        .borrow()
        .worker_view(worker)
        .map_or(0, |s| s.running().total().saturating_sub(s.record.slots));
    Instant::now() + MAX_SILENCE + Duration::from_millis(110) * waiting
}

impl Drop for Relay {
    /// A relay that is dropped before its stream has ended has lost its caller. The
    /// connection to the worker closes with it, which ends the run there.
    fn drop(&mut self) {
        if !self.finished && !self.gw.ended.get() {
            self.gw.metrics.request("caller_left");
            info!(target: "online", request:% = self.req.id, worker:% = self.upstream.run_guard.worker(), events = self.events_passed, took_ms = millis(self.req.received.elapsed()); "caller left");
        }
    }
}
