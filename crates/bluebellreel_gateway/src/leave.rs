//! The graceful stop of a gateway.
//!
//! From the signal on it is not ready, and hands its jobs over. It takes
//! requests as before until the balancer has noticed, and later ones too: with
//! few gateways left, the balancer sends callers to those that stop. Once
//! nothing is in progress it refuses what still comes, gives its lease back,
//! and ends.

use crate::doors::Doors;
use crate::gateway::Gateway;
use crate::jobs::{self, HandOvers};
use crate::lease;
use crate::millis::millis;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long a stopping daemon takes connections as before: the balancer asks
/// each second and needs two misses.
const LEAVE_ROTATION: Duration = Duration::from_millis(2600);
/// Time before the kill at which the process ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(700);
/// Share of the time to the end after which new requests are refused: answers
/// take more than a second under load, and a request passed on later may be cut.
const REFUSE_FROM_SHARE: f64 = 0.6;
/// Time kept before the end for closing the doors: refusals that are on their
/// way, connections that wait to be accepted.
const CLOSE_DOORS: Duration = Duration::from_millis(300);
/// Longest wait for the store to take the lease back. It takes some
/// milliseconds; from a silent store the lease lapses by itself.
const RELEASE_LONGEST: Duration = Duration::from_millis(300);
/// Time between checks whether requests are still in progress.
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// A stop that was asked for.
struct Leaving<'a> {
    gw: &'a Rc<Gateway>,
    doors: &'a Doors,
    hand_overs: Rc<HandOvers>,
    asked_at: Instant,
    /// From when new requests are refused in any case.
    refuse_from: Instant,
    /// When the process ends, whatever is in progress.
    end: Instant,
}

impl<'a> Leaving<'a> {
    fn new(gw: &'a Rc<Gateway>, doors: &'a Doors) -> Self {
        let asked_at = Instant::now();
        let left = gw.grace.get().saturating_sub(BEFORE_KILL);
        Self {
            gw,
            doors,
            hand_overs: Rc::default(),
            asked_at,
            refuse_from: asked_at + left.mul_f64(REFUSE_FROM_SHARE),
            end: asked_at + left,
        }
    }

    /// Whether anything is in progress, or a job waits for its hand-over.
    fn is_busy(&self) -> bool {
        let connections = self.doors.callers.served.open();
        self.gw.in_progress.count() > 0 || connections > 0 || self.hand_overs.is_busy(self.gw)
    }

    /// Logs where the stop is.
    fn log_phase(&self, phase: &str) {
        let gw = self.gw;
        let took_ms = millis(self.asked_at.elapsed());
        info!(target: "gateway", entry:% = gw.me(), phase, in_progress = gw.in_progress.count(), open = self.doors.callers.served.open(), jobs = gw.jobs.borrow().own.len(), took_ms; "stop goes on");
    }

    /// Hands jobs over as they come. Some come after the signal: accepted
    /// before it, taken over, or handed over by a peer that stops as well. So do ends
    /// of jobs that cannot be recorded.
    fn hand_jobs_over(&self) {
        let (gw, hand_overs) = (self.gw.clone(), self.hand_overs.clone());
        spawn_local(async move {
            loop {
                hand_overs.begin(&gw);
                jobs::pass_ends_on(&gw);
                sleep(CHECK_EVERY).await;
            }
        });
    }

    /// Waits until nothing is in progress, but not past the time from which
    /// requests are refused.
    async fn finish_requests(&self) {
        sleep_until((self.asked_at + LEAVE_ROTATION).min(self.refuse_from)).await;
        self.doors.callers.stop.close();
        self.log_phase("idle connections closed");
        while self.is_busy() && Instant::now() < self.refuse_from {
            sleep(CHECK_EVERY).await;
        }
    }

    /// Takes no more requests: each that still comes is refused as not run.
    /// Whatever is awaited at the end of a stop is awaited after this: a request
    /// that was passed on meanwhile would be cut by the end of the process, and
    /// its caller could not know whether it ran.
    async fn refuse_and_give_lease_back(&self) {
        self.gw.refusing.set(true);
        self.log_phase("requests refused");
        let until = (Instant::now() + RELEASE_LONGEST).min(self.end);
        let released = timeout_at(until, lease::unregister(self.gw)).await;
        if released.is_err() {
            warn!(target: "members", "lease not given back in time");
        }
    }

    /// Listens no longer once nothing is in progress, and waits until every
    /// connection has ended: after that nothing can come between the last look and
    /// the end. While a stream goes on, callers are better off with a refusal that
    /// says when to return.
    async fn shut_doors(&self) {
        let shut_at = self.end - CLOSE_DOORS;
        let is_busy = || self.gw.in_progress.count() > 0 || self.hand_overs.is_busy(self.gw);
        while is_busy() && Instant::now() < shut_at {
            sleep(CHECK_EVERY).await;
        }
        for door in [&self.doors.callers, &self.doors.peers] {
            door.stop.finish();
        }
        for door in [&self.doors.callers, &self.doors.peers] {
            // What is cut is logged below.
            let _ = timeout_at(self.end, door.served.wait_closed()).await;
        }
    }

    /// Names the requests that the end of the process cuts; whether nothing is
    /// cut, also no answer that is not written to its end.
    fn log_cut(&self) -> bool {
        let gw = self.gw;
        gw.ended.set(true);
        let ids = gw.in_progress.ids();
        for id in &ids {
            warn!(target: "gateway", request:% = id; "cut by the stop");
        }
        let open = self.doors.callers.served.open();
        if !ids.is_empty() || open > 0 {
            warn!(target: "gateway", cut = ids.len(), open; "requests cut by the stop");
        }
        ids.is_empty() && open == 0
    }
}

/// Stops; whether no request was cut.
pub(crate) async fn leave(gw: &Rc<Gateway>, doors: &Doors) -> bool {
    let leaving = Leaving::new(gw, doors);
    gw.stopping.set(true);
    gw.report_due.notify_one();
    info!(target: "gateway", entry:% = gw.me(), in_progress = gw.in_progress.count(), jobs = gw.jobs.borrow().own.len(); "stopping");
    // Later calls of peers come on connections of their own, one each.
    doors.peers.stop.close();
    leaving.hand_jobs_over();
    leaving.finish_requests().await;
    leaving.refuse_and_give_lease_back().await;
    leaving.shut_doors().await;
    // Nothing is awaited from this look to the end of the process.
    let clean = leaving.log_cut();
    info!(target: "gateway", entry:% = gw.me(), clean, took_ms = millis(leaving.asked_at.elapsed()); "stopped");
    clean
}
