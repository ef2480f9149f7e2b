//! Holds back requests that crash workers.
//!
//! A request that crashes every worker that runs it would otherwise be sent to one worker
//! after another, by any gateway, as often as its caller retries, and each crash ends all
//! other runs at that worker. `bluebellreel_dispatch` decides which requests are
//! quarantined, from crashes of which the gateways notify each other. This module checks
//! each request before it is sent.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::quarantine_store;
use bluebellreel_dispatch::{Cleared, Fingerprint, QuarantineStatus, Sender, may_try};
use bluebellreel_types::Moment;
use log::warn;
use std::rc::Rc;
use std::time::Duration;

/// The reason given in the answer to a quarantined request.
pub(crate) const QUARANTINE_REASON: &str = "workers crash under it";

/// Backoff of a request whose trial is left to another daemon.
const TRIED_ELSEWHERE_BACKOFF: Duration = Duration::from_secs(1);

/// A trial run of a request that has crashed workers, which shows whether workers can run
/// it now. While it exists, other requests with the same fingerprint are held back.
pub(crate) struct Trial {
    gw: Rc<Gateway>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut suspects = self.gw.suspects.borrow_mut();
        suspects.end_trial(self.fingerprint);
    }
}

/// Permission to send a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The request may run without restriction.
    Normal,
    /// As a trial; see [`Trial::begin`].
    TrialOnly(Fingerprint),
}

impl Trial {
    /// Begins a trial and notifies all peers of it, if the permit is for one.
    pub(crate) fn begin(gw: &Rc<Gateway>, request: &str, permit: Permit) -> Option<Self> {
        let Permit::TrialOnly(fingerprint) = permit else {
            return None;
        };
        gw.suspects.borrow_mut().begin_trial(fingerprint, gw.now());
        gw.report_due.notify_one();
        warn!(target: "online", request, fingerprint:% = fingerprint; "request on trial");
        let gw = gw.clone();
        Some(Self { gw, fingerprint })
    }
}

/// Checks whether a request may be sent to a worker.
///
/// # Errors
///
/// Returns when the request may be retried, if it is held back now.
pub(crate) fn may_run(
    gw: &Gateway,
    request: &str,
    sender: Sender,
    fingerprint: impl FnOnce() -> Fingerprint,
) -> Result<Permit, Moment> {
    if gw.suspects.borrow().is_empty() {
        return Ok(Permit::Normal);
    }
    let (fingerprint, now) = (fingerprint(), gw.now());
    let quarantine_status = gw
        .suspects
        .borrow()
        .quarantine_status(fingerprint, sender, now);
    let until = match quarantine_status {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => return Ok(Permit::Normal),
        QuarantineStatus::TrialOnly(since) if may_try_here(gw, fingerprint, sender, since) => {
            return Ok(Permit::TrialOnly(fingerprint));
        }
        QuarantineStatus::TrialOnly(_) => now + TRIED_ELSEWHERE_BACKOFF,
        QuarantineStatus::Quarantined(until) => until,
    };
    let held_ms = millis(until.since(now));
    warn!(target: "online", request, fingerprint:% = fingerprint, due_in_ms = held_ms; "request held back");
    Err(until)
}

/// Whether this daemon may begin a trial of a request now. Batch items always may, as
/// only the owner of their job sends them.
fn may_try_here(gw: &Gateway, fingerprint: Fingerprint, sender: Sender, since: Moment) -> bool {
    let now = gw.now();
    let peers = gw.members.borrow().alive_peers(now).count();
    sender == Sender::Job || may_try(fingerprint, gw.me(), peers + 1, since, now)
}

/// Records that a run of a request has ended without a crash.
pub(crate) fn run_completed(gw: &Rc<Gateway>, fingerprint: impl FnOnce() -> Fingerprint) {
    if gw.suspects.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let cleared = gw.suspects.borrow_mut().completed(fingerprint, gw.now());
    if cleared == Cleared::Quarantine {
        quarantine_store::remove(gw, fingerprint);
    }
    if cleared != Cleared::Nothing {
        gw.report_due.notify_one();
        warn!(target: "online", fingerprint:% = fingerprint; "request cleared");
    }
}
