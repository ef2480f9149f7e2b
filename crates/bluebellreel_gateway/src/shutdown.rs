//! The graceful shutdown of a gateway.
//!
//! From the signal on the gateway reports itself as not ready and hands its jobs over.
//! It accepts requests until the balancer has noticed, and also later ones: when few
//! gateways are left, the balancer sends callers to stopping ones too. A request is
//! accepted only if its time limit ends before the process does, so that no accepted
//! request is cut off; others are refused at once as not run. Once nothing is in progress
//! the gateway refuses further requests, releases its lease, and ends.

use crate::gateway::Gateway;
use crate::jobs::{self, HandOvers};
use crate::lease;
use crate::millis::millis;
use crate::server_handles::ServerHandles;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long a stopping daemon accepts connections as before: the balancer probes
/// readiness every second and removes a gateway after two failed probes.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2600);
/// How long before SIGKILL the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time reserved before the end for closing the listeners: for answers that are being
/// sent and connections that wait to be accepted.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);
/// Timeout of releasing the lease. The store takes a few milliseconds; if it does not
/// answer, the lease expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks whether requests are still in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A shutdown in progress.
struct Shutdown<'a> {
    gw: &'a Rc<Gateway>,
    handles: &'a ServerHandles,
    hand_overs: Rc<HandOvers>,
    requested_at: Instant,
    /// When all new requests are refused at the latest.
    refuse_from: Instant,
    /// Until when requests must be answered in full.
    answer_by: Instant,
    /// When the process ends, even if requests are in progress.
    end: Instant,
}

impl<'a> Shutdown<'a> {
    fn new(gw: &'a Rc<Gateway>, handles: &'a ServerHandles) -> Self {
        let requested_at = Instant::now();
        let end = requested_at + gw.grace.get().saturating_sub(KILL_MARGIN);
        let answer_by = end - CLOSE_MARGIN;
        Self {
            gw,
            handles,
            hand_overs: Rc::default(),
            requested_at,
            refuse_from: answer_by - RELEASE_TIMEOUT,
            answer_by,
            end,
        }
    }

    /// Whether a request is in progress or a job has still to be handed over.
    fn has_work(&self) -> bool {
        self.gw.in_progress.count() > 0 || self.hand_overs.is_busy(self.gw)
    }

    /// Whether a connection is active whose next request may be served. Once a request has
    /// been refused for its time limit, further ones with this limit will be too.
    fn expects_requests(&self) -> bool {
        let connections = self.handles.callers.connection_tracker.open();
        connections > 0 && !self.gw.refused_by_limit.get()
    }

    /// Logs the phase that the shutdown has reached.
    fn log_phase(&self, phase: &str) {
        let gw = self.gw;
        let took_ms = millis(self.requested_at.elapsed());
        info!(target: "gateway", entry:% = gw.me(), phase, in_progress = gw.in_progress.count(), open = self.handles.callers.connection_tracker.open(), jobs = gw.jobs.borrow().own.len(), took_ms; "stop goes on");
    }

    /// Hands over each job that this daemon owns or comes to own. After the signal it
    /// may still get jobs that were accepted before it, taken over, or handed over by
    /// a peer that stops as well. Cancellations that could not be recorded are
    /// forwarded too.
    fn hand_jobs_over(&self) {
        let (gw, hand_overs) = (self.gw.clone(), self.hand_overs.clone());
        spawn_local(async move {
            loop {
                hand_overs.begin(&gw);
                jobs::forward_cancellations(&gw);
                sleep(CHECK_INTERVAL).await;
            }
        });
    }

    /// Waits until nothing is in progress, but at most until all requests are refused.
    async fn finish_requests(&self) {
        sleep_until((self.requested_at + BALANCER_DRAIN_TIME).min(self.refuse_from)).await;
        self.handles.callers.stop.close();
        self.log_phase("idle connections closed");
        while (self.has_work() || self.expects_requests()) && Instant::now() < self.refuse_from {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Refuses each further request as not run, then releases the lease. Every wait at
    /// the end of a shutdown comes after the refusals begin: a request sent to a
    /// worker during such a wait would be cut off by the end of the process, and its
    /// caller could not know whether it ran.
    async fn refuse_and_release_lease(&self) {
        self.gw.refusing.set(true);
        self.log_phase("requests refused");
        let until = (Instant::now() + RELEASE_TIMEOUT).min(self.end);
        let released = timeout_at(until, lease::unregister(self.gw)).await;
        if released.is_err() {
            warn!(target: "members", "lease not released in time");
        }
    }

    /// Stops listening once nothing is in progress, and waits until every connection
    /// is closed: after that no request can arrive between the last check and the end
    /// of the process. While a stream is in progress the gateway keeps listening, as a
    /// refusal with `Retry-After` serves callers better than a refused connection.
    async fn close_listeners(&self) {
        while self.has_work() && Instant::now() < self.answer_by {
            sleep(CHECK_INTERVAL).await;
        }
        self.gw.answers_due.notify_waiters();
        for handle in [&self.handles.callers, &self.handles.peers] {
            handle.stop.finish();
        }
        for handle in [&self.handles.callers, &self.handles.peers] {
            // `log_cut` logs the requests that are still in progress.
            let _ = timeout_at(self.end, handle.connection_tracker.wait_closed()).await;
        }
    }

    /// Logs the requests that the end of the process cuts off. Returns whether there
    /// are none, and no connection is open on which an answer may be incomplete.
    fn log_cut(&self) -> bool {
        let gw = self.gw;
        gw.ended.set(true);
        let ids = gw.in_progress.ids();
        for id in &ids {
            warn!(target: "gateway", request:% = id; "cut by the stop");
        }
        let open = self.handles.callers.connection_tracker.open();
        if !ids.is_empty() || open > 0 {
            warn!(target: "gateway", cut = ids.len(), open; "requests cut by the stop");
        }
        ids.is_empty() && open == 0
    }
}

/// Shuts the gateway down. Returns whether every request was answered in full.
pub(crate) async fn shut_down(gw: &Rc<Gateway>, handles: &ServerHandles) -> bool {
    let shutdown = Shutdown::new(gw, handles);
    gw.stopping.set(true);
    gw.answer_by.set(Some(shutdown.answer_by));
    gw.report_due.notify_one();
    info!(target: "gateway", entry:% = gw.me(), in_progress = gw.in_progress.count(), jobs = gw.jobs.borrow().own.len(); "stopping");
    // Idle connections from peers are closed; from now on each call of a peer uses a
    // new connection.
    handles.peers.stop.close();
    shutdown.hand_jobs_over();
    shutdown.finish_requests().await;
    shutdown.refuse_and_release_lease().await;
    shutdown.close_listeners().await;
    // Nothing is awaited from this check to the end of the process.
    let clean = shutdown.log_cut();
    info!(target: "gateway", entry:% = gw.me(), clean, took_ms = millis(shutdown.requested_at.elapsed()); "stopped");
    clean
}
