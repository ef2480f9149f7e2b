//! The graceful stop of a gateway.
//!
//! From the signal on it is not ready, and hands its jobs over. It takes
//! requests as before until the balancer has noticed, and later ones too: with
//! few gateways left, the balancer sends callers to those that stop. Once
//! nothing is in progress it refuses what still comes, gives its lease back,
//! and ends.

use crate::gateway::Gateway;
use crate::online::millis;
use crate::run::Doors;
use crate::{jobs, registration};
use bluebellreel_types::JobId;
use log::{info, warn};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long a stopping daemon takes connections as before: the balancer asks
/// each second and needs two misses.
const LEAVE_ROTATION: Duration = Duration::from_millis(2600);
/// Time before the kill at which the process ends by itself.
const BEFORE_KILL: Duration = Duration::from_millis(700);
/// Share of the time to the kill after which new requests are refused: a
/// request passed on later may be cut by the end of the process.
const REFUSE_FROM: f64 = 0.6;
/// Longest wait for the store to take the lease back. It takes some
/// milliseconds; from a silent store the lease lapses by itself.
const RELEASE: Duration = Duration::from_millis(300);
/// Time between looks whether requests are still in progress.
const LOOK: Duration = Duration::from_millis(20);

/// A stop that was asked for.
struct Leaving<'a> {
    gw: &'a Rc<Gateway>,
    doors: &'a Doors,
    asked_at: Instant,
    /// Time to the kill when the stop was asked for.
    grace: Duration,
}

impl Leaving<'_> {
    /// Time to the kill. Settings that change meanwhile may shorten it; a longer
    /// one need not hold for a signal that came before.
    fn grace(&self) -> Duration {
        self.gw.grace.get().min(self.grace)
    }

    /// When new requests are refused in any case.
    fn refuse_from(&self) -> Instant {
        self.asked_at + self.grace().mul_f64(REFUSE_FROM)
    }

    /// When the process ends, whatever is in progress.
    fn end(&self) -> Instant {
        self.asked_at + self.grace().saturating_sub(BEFORE_KILL)
    }

    fn is_busy(&self) -> bool {
        self.gw.in_progress.count() > 0 || self.doors.callers.served.open() > 0
    }

    /// Logs where the stop is.
    fn tell(&self, phase: &str) {
        let gw = self.gw;
        let took_ms = millis(self.asked_at.elapsed());
        info!(target: "gateway", entry:% = gw.me(), phase, in_progress = gw.in_progress.count(), open = self.doors.callers.served.open(), jobs = gw.jobs.borrow().own.len(), took_ms; "stop goes on");
    }

    /// Waits until nothing is in progress and all jobs are handed over, but not
    /// past the time from which requests are refused.
    async fn finish_requests(&self) {
        let tried = Rc::default();
        let mut handing = hand_over(self.gw, &tried);
        sleep_until((self.asked_at + LEAVE_ROTATION).min(self.end())).await;
        self.doors.callers.stop.close();
        self.tell("idle connections closed");
        while Instant::now() < self.refuse_from().min(self.end()) {
            if handing.is_finished() {
                if !jobs::is_any_left(self.gw, &tried.borrow()) && !self.is_busy() {
                    return;
                }
                handing = hand_over(self.gw, &tried);
            }
            sleep(LOOK).await;
        }
    }

    /// Takes no more requests: each that still comes is told that it has not
    /// run. Whatever is awaited at the end of a stop is awaited after this. A
    /// request that was passed on meanwhile would be cut by the end of the
    /// process, and its caller could not know whether it ran.
    async fn refuse_and_give_lease_back(&self) {
        self.gw.refusing.set(true);
        self.tell("requests refused");
        let until = (Instant::now() + RELEASE).min(self.end());
        let released = timeout_at(until, registration::unregister(self.gw)).await;
        if released.is_err() {
            warn!(target: "members", "lease not given back in time");
        }
    }

    /// Listens no longer once nothing is in progress, and waits until every
    /// connection has ended: after that nothing can come between the last look and
    /// the end. While a stream goes on, callers are better off with a refusal that
    /// says when to return.
    async fn shut_doors(&self) {
        while self.gw.in_progress.count() > 0 && Instant::now() < self.end() {
            sleep(LOOK).await;
        }
        for door in [&self.doors.callers, &self.doors.peers] {
            door.stop.finish();
        }
        for door in [&self.doors.callers, &self.doors.peers] {
            // What is cut is told below.
            let _ = timeout_at(self.end(), door.served.over()).await;
        }
    }
}

/// Stops; whether no request was cut.
pub(crate) async fn leave(gw: &Rc<Gateway>, doors: &Doors) -> bool {
    let leaving = Leaving {
        gw,
        doors,
        asked_at: Instant::now(),
        grace: gw.grace.get(),
    };
    gw.stopping.set(true);
    gw.report_due.notify_one();
    info!(target: "gateway", entry:% = gw.me(), in_progress = gw.in_progress.count(), jobs = gw.jobs.borrow().own.len(); "stopping");
    // Later calls of peers come on connections of their own, one each.
    doors.peers.stop.close();
    leaving.finish_requests().await;
    leaving.refuse_and_give_lease_back().await;
    leaving.shut_doors().await;
    // Nothing is awaited from this look to the end of the process.
    let clean = tell_cut(gw);
    info!(target: "gateway", entry:% = gw.me(), clean, open = doors.callers.served.open(), took_ms = millis(leaving.asked_at.elapsed()); "stopped");
    clean
}

/// Hands over the jobs that have not been tried yet. Some come after the
/// signal: accepted before it, or handed over by a peer that stops as well.
fn hand_over(gw: &Rc<Gateway>, tried: &Rc<RefCell<BTreeSet<JobId>>>) -> JoinHandle<()> {
    let (gw, tried) = (gw.clone(), tried.clone());
    spawn_local(async move { jobs::hand_over_all(&gw, &tried).await })
}

/// Names the requests that the end of the process cuts; whether there are none.
fn tell_cut(gw: &Gateway) -> bool {
    gw.ended.set(true);
    let ids = gw.in_progress.ids();
    for id in &ids {
        warn!(target: "gateway", request:% = id; "cut by the stop");
    }
    if !ids.is_empty() {
        warn!(target: "gateway", cut = ids.len(); "requests cut by the stop");
    }
    ids.is_empty()
}
