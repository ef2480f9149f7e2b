//! A caller's request on its way.

use crate::crash::InterruptedRun;
use crate::gateway::Gateway;
use crate::quarantine_gate::{self, Trial};
use bluebellreel_dispatch::{Fingerprint, Route, Sender, Ticket};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_types::{Moment, WorkerName};
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a route's objective that a request may wait in line; the rest is
/// for its way, its prompt, and what is not known of the others in line.
const MAX_QUEUEING_SHARE: f64 = 0.62;
/// How long a worker with a free slot may take to its first byte before a
/// request that may be repeated goes elsewhere. An idle engine takes some
/// 20 ms; a send elsewhere must still leave half of a 300 ms objective.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(130);
/// Added for each request that waits before it: about the time in which one of
/// a worker's slots comes free.
const FIRST_BYTE_PER_WAITING: Duration = Duration::from_millis(110);

/// A caller's request on its way.
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) out: Outgoing,
    /// When its answer is no longer wanted, or no longer allowed.
    pub(crate) deadline: Instant,
    pub(crate) received: Instant,
    /// Workers that it was sent to.
    pub(crate) tried: Vec<WorkerName>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// Reckoned when it is first asked for.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// While it shows whether workers can run it now.
    pub(crate) trial: Option<Trial>,
}

impl Request {
    /// Whether it may be sent once more.
    pub(crate) fn may_repeat(&self) -> bool {
        let allowed = self.runs == 0 || self.route.repeatable();
        allowed && self.runs < self.route.max_workers.max(1)
    }

    /// A run of it that its worker broke off.
    pub(crate) fn interrupted_run(&self, ticket: Ticket, began: Moment) -> InterruptedRun {
        InterruptedRun {
            request: self.id.clone(),
            fingerprint: self.fingerprint(),
            ticket,
            began,
        }
    }

    /// What it asks for, whichever attempt it is.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.out.identity()))
    }

    /// Whether it may be sent to a worker; else when it may be tried again.
    pub(crate) fn may_run(&mut self, gw: &Rc<Gateway>) -> Result<(), Moment> {
        // What an earlier run has shown counts by now.
        self.trial = None;
        let permit = quarantine_gate::may_run(gw, &self.id, Sender::Caller, || self.fingerprint())?;
        self.trial = Trial::begin(gw, &self.id, permit);
        Ok(())
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long it may wait in line and still meet its objective.
    pub(crate) fn patience(&self) -> Duration {
        self.route.objective.mul_f64(MAX_QUEUEING_SHARE)
    }

    /// When the first byte from a worker counts as late; never for a request
    /// that cannot go elsewhere.
    pub(crate) fn first_byte_due(&self, gw: &Gateway, worker: &WorkerName) -> Instant {
        let last_try = self.runs + 1 >= self.route.max_workers.max(1);
        if last_try || !self.route.repeatable() {
            return self.deadline;
        }
        let waiting = gw
            .board
            .borrow()
            .seat(worker)
            .map_or(0, |s| s.running().online.saturating_sub(s.record.slots));
        let wait = FIRST_BYTE_TIMEOUT + FIRST_BYTE_PER_WAITING * waiting;
        (Instant::now() + wait).min(self.deadline)
    }
}
