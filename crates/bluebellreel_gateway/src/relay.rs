//! Passing a worker's events on as they come, across workers where the route
//! allows it.
//!
//! Only whole events are passed on and their ids must follow each other, so
//! that a stream can go on at another worker after any event. A stream that
//! cannot be finished is broken off visibly.

use crate::crash;
use crate::events::Events;
use crate::gateway::Gateway;
use crate::millis::millis;
use crate::placement;
use crate::quarantine_gate;
use crate::request::Request;
use crate::stream_monitor::StreamMonitor;
use crate::ticket::{RESTART_GRACE, worker_restarted};
use crate::upstream::{NoAnswer, Send, Upstream, send};
use bluebellreel_dispatch::Placement;
use bluebellreel_net::{Broken, Reuse};
use bluebellreel_types::WorkerName;
use bytes::{Bytes, BytesMut};
use futures::Stream;
use log::{info, warn};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Silence after which a stream goes on at another worker. Events come some
/// 30 ms apart and a pause is late from 300 ms on: noticed after half of it,
/// the other worker still brings its first event in time.
const MAX_SILENCE: Duration = Duration::from_millis(150);
/// Events in whose time a slow worker must give the next one.
const MAX_SILENT_INTERVALS: f64 = 2.5;
/// Share of a route's longest pause after which a slow worker is left, too.
const MAX_PAUSE_SHARE: f64 = 0.75;
/// How long a worker may take to the first event of a stream that goes on,
/// where another one could take it instead.
const RESUMED_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(250);
/// Silence of other workers, too, is a sign that this process was paused: what
/// has arrived meanwhile is read before a worker is doubted.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(12);

/// What the worker's body brought.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    Broken,
    Silent,
    DeadlinePassed,
}

/// Where a stream goes on.
enum Resumption {
    NewWorker(Box<Upstream>),
    /// Its former worker was late and brings this; nothing at its end.
    FormerWorker(Bytes),
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

/// A stream on its way to a caller.
pub(crate) struct Relay {
    gw: Rc<Gateway>,
    req: Request,
    upstream: Upstream,
    events: Events,
    stream_monitor: StreamMonitor,
    last_id: Option<u64>,
    events_passed: u64,
    silence_deadline: Instant,
    /// When its first event came.
    first_event_at: Instant,
    /// When its last event came.
    last_event_at: Instant,
    longest_pause: Duration,
    /// Whether its worker has started again since it was sent there.
    has_restarted: bool,
    /// Workers that it does not return to: they were silent, or did not take it.
    excluded: Vec<WorkerName>,
    finished: bool,
}

impl Relay {
    pub(crate) fn new(gw: Rc<Gateway>, req: Request, upstream: Upstream) -> Self {
        let silence_deadline = first_event_deadline(&gw, upstream.run_guard.worker());
        let last_id = bluebellreel_platform::ingress::last_event_id(&req.out.headers);
        Self {
            gw,
            req,
            upstream,
            events: Events::default(),
            stream_monitor: StreamMonitor::default(),
            last_id,
            events_passed: 0,
            silence_deadline,
            first_event_at: Instant::now(),
            last_event_at: Instant::now(),
            longest_pause: Duration::ZERO,
            has_restarted: false,
            excluded: Vec::new(),
            finished: false,
        }
    }

    /// The events as a stream of bytes.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        futures::stream::unfold(self, |mut relay| async {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.finished {
            return None;
        }
        loop {
            let complete = match self.complete_events() {
                Ok(complete) => complete,
                Err(reason) => {
                    if self.resume(reason, false).await {
                        continue;
                    }
                    return Some(self.abort(reason));
                }
            };
            if !complete.is_empty() {
                return Some(Ok(complete));
            }
            match self.read_next().await {
                ReadOutcome::Bytes(bytes) => self.events.push(&bytes),
                ReadOutcome::End if !self.events.has_partial_event() => {
                    self.finish();
                    return None;
                }
                ReadOutcome::End | ReadOutcome::Broken => {
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
                    if !self.resume(reason, true).await {
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

    /// Whole events that follow the last one.
    fn complete_events(&mut self) -> Result<Bytes, &'static str> {
        let mut all = BytesMut::new();
        while let Some(event) = self.events.next() {
            if let (Some(last), Some(id)) = (self.last_id, event.id)
                && id != last + 1
            {
                if all.is_empty() {
                    return Err("events do not follow");
                }
                // Pass on what is whole; the gap shows again next time.
                self.events = Events::default();
                break;
            }
            self.last_id = event.id.or(self.last_id);
            self.note_event();
            all.extend_from_slice(&event.bytes);
        }
        Ok(all.freeze())
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
        self.stream_monitor
            .record_event(&self.gw, &self.upstream.run_guard);
        self.silence_deadline = Instant::now() + self.longest_silence();
    }

    /// How long the worker may be silent. One that is slow but steady is not
    /// left: its next event comes sooner than another worker's first one.
    fn longest_silence(&self) -> Duration {
        let board = self.gw.board.borrow();
        let worker = self.upstream.run_guard.worker();
        let pace = board.paces.interval(worker, self.gw.now());
        let slow = pace.unwrap_or_default().mul_f64(MAX_SILENT_INTERVALS);
        let late = self.req.route.pause.mul_f64(MAX_PAUSE_SHARE);
        MAX_SILENCE.max(slow.min(late))
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

    /// Looks whether the worker that broke off has crashed.
    async fn probe_for_crash(&self) {
        let ticket = self.upstream.run_guard.ticket().clone();
        let interrupted_run = self.req.interrupted_run(ticket, self.upstream.began);
        crash::check_for_crash(&self.gw, interrupted_run).await;
    }

    /// Goes on at a worker, if possible at one that has not had it; whether it
    /// could. Its former one, if `open`, may still bring something.
    async fn resume(&mut self, reason: &str, open: bool) -> bool {
        let worker = self.upstream.run_guard.worker().clone();
        let resumable = self.req.route.resumable && self.req.may_repeat();
        warn!(target: "online", request:% = self.req.id, worker:% = worker, events = self.events_passed, last_id:? = self.last_id, runs = self.req.runs, resumable, reason; "stream interrupted");
        self.upstream.run_guard.failed();
        if self.has_restarted {
            // Its new life has not had the stream.
            self.req.tried.retain(|w| *w != worker);
        }
        while resumable && self.req.may_repeat() && !self.req.left().is_zero() {
            if self.req.may_run(&self.gw).is_err() {
                return false;
            }
            let Some(next) = self.next_worker(!open) else {
                return false;
            };
            self.req.tried.push(next.clone());
            match self.send_resumed(&next, open).await {
                Ok(Resumption::FormerWorker(bytes)) => {
                    self.events.push(&bytes);
                    self.silence_deadline = Instant::now() + self.longest_silence();
                    self.req.runs += 1;
                    return true;
                }
                Ok(Resumption::NewWorker(upstream)) if upstream.head.status.is_success() => {
                    if open && !self.has_restarted {
                        self.excluded.push(worker);
                    }
                    // Dropping the old one closes its connection, and with it
                    // ends its run.
                    self.upstream = *upstream;
                    self.has_restarted = false;
                    self.events = Events::default();
                    self.stream_monitor = StreamMonitor::default();
                    self.req.runs += 1;
                    self.silence_deadline = Instant::now() + RESUMED_FIRST_EVENT_TIMEOUT;
                    self.gw.metrics.resumed.inc();
                    info!(target: "online", request:% = self.req.id, worker:% = next, last_id:? = self.last_id; "stream goes on");
                    return true;
                }
                Ok(_) | Err(NoAnswer::Unknown(_)) => self.req.runs += 1,
                Err(NoAnswer::Silent) => {
                    self.req.runs += 1;
                    self.excluded.push(next);
                }
                Err(NoAnswer::Unsent(_) | NoAnswer::NotRun(_)) => self.excluded.push(next),
            }
        }
        false
    }

    /// The worker that it goes on at: one that has not had it; else, if it may
    /// return, one that has, rather another than the last one.
    ///
    /// Its caller has a part of the answer: the rest is worth more late than not
    /// at all.
    fn next_worker(&self, may_return: bool) -> Option<WorkerName> {
        let patience = self.req.left();
        let choose_excluding = |avoid: &[WorkerName]| {
            let placed = placement::choose_excluding_listed(&self.gw, &self.req, avoid, patience);
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

    /// Sends to one more worker. Where it is the last one, it is waited for as
    /// long as the caller waits, or until the former one brings something, or
    /// until it has started again: its new life has not had the stream.
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
        let mut restarted = pin!(worker_restarted(&self.gw, &ticket));
        let mut restart_deadline = None;
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
            return answer.map(Box::new).map(Resumption::NewWorker);
        }
        loop {
            tokio::select! {
                biased;
                answer = sent.as_mut() => return answer.map(Box::new).map(Resumption::NewWorker),
                read = self.upstream.body.next(), if open => match read {
                    Ok(bytes) => return Ok(Resumption::FormerWorker(bytes.unwrap_or_default())),
                    Err(Broken) => open = false,
                },
                () = restarted.as_mut(), if restart_deadline.is_none() => {
                    restart_deadline = Some(Instant::now() + RESTART_GRACE);
                }
                () = sleep_until(restart_deadline.unwrap_or(until)), if restart_deadline.is_some() => {
                    self.req.tried.retain(|w| w != worker);
                    return Err(NoAnswer::Unknown("worker started again".into()));
                }
            }
        }
    }

    /// Whether nobody else would take the stream after the send that begins.
    ///
    /// A worker with all slots taken answers when a turn comes. Left before
    /// that for nobody, the stream would stand until its deadline and break.
    fn is_last_try(&self) -> bool {
        if self.req.runs + 1 >= self.req.route.max_workers.max(1) {
            return true;
        }
        let next = placement::choose(&self.gw, &self.req, self.req.left());
        !matches!(next, Placement::Send(_))
    }

    fn finish(&mut self) {
        self.finished = true;
        let lasted = self.first_event_at.elapsed();
        self.gw.board.borrow_mut().paces.note_run(lasted);
        quarantine_gate::run_completed(&self.gw, || self.req.fingerprint());
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

/// Until when the first event may take: longer where requests wait before it.
fn first_event_deadline(gw: &Gateway, worker: &WorkerName) -> Instant {
    let waiting = gw
        .board
        .borrow()
        .seat(worker)
        .map_or(0, |s| s.running().total().saturating_sub(s.record.slots));
    Instant::now() + MAX_SILENCE + Duration::from_millis(110) * waiting
}

impl Drop for Relay {
    /// A relay that is dropped before its stream is over has lost its caller.
    /// The worker's connection closes with it, which ends the run there.
    fn drop(&mut self) {
        if !self.finished && !self.gw.ended.get() {
            self.gw.metrics.request("caller_left");
            info!(target: "online", request:% = self.req.id, worker:% = self.upstream.run_guard.worker(), events = self.events_passed, took_ms = millis(self.req.received.elapsed()); "caller left");
        }
    }
}
