//! Holding back requests that workers crash under.
//!
//! Guard: a request that crashes each worker that begins to run it would be sent on to the
//! next one, at any gateway, as often as its caller returns, and each crash ends what else
//! runs there. Which requests are quarantined is decided in `bluebellreel_dispatch`, from
//! crashes of which all gateways notify each other; here they are stopped before they are
//! sent.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::quarantine;
use bluebellreel_dispatch::{Cleared, Fingerprint, Sender, Standing, may_try};
use bluebellreel_types::Moment;
use log::warn;
use std::rc::Rc;
use std::time::Duration;

/// The reason in the answer to a caller whose request is quarantined.
pub(crate) const REASON: &str = "workers crash under it";

/// Backoff of a request that another daemon may try out.
const TRIED_ELSEWHERE_BACKOFF: Duration = Duration::from_secs(1);

/// A request that shows whether workers can run it now, as long as it lives. Others like
/// it wait for what it shows.
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

/// How a request may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    /// As any other.
    Plain,
    /// As a trial; see [`Trial::begin`].
    OnTrial(Fingerprint),
}

impl Trial {
    /// Notifies all that a request is tried out, if it is.
    pub(crate) fn begin(gw: &Rc<Gateway>, request: &str, leave: Leave) -> Option<Self> {
        let Leave::OnTrial(fingerprint) = leave else {
            return None;
        };
        gw.suspects.borrow_mut().begin_trial(fingerprint, gw.now());
        gw.report_due.notify_one();
        warn!(target: "online", request, fingerprint:% = fingerprint; "request tried out");
        let gw = gw.clone();
        Some(Self { gw, fingerprint })
    }
}

/// Whether a request may be sent to a worker; else when it may be tried again.
pub(crate) fn may_run(
    gw: &Gateway,
    request: &str,
    sender: Sender,
    fingerprint: impl FnOnce() -> Fingerprint,
) -> Result<Leave, Moment> {
    if gw.suspects.borrow().is_empty() {
        return Ok(Leave::Plain);
    }
    let (fingerprint, now) = (fingerprint(), gw.now());
    let standing = gw.suspects.borrow().standing(fingerprint, sender, now);
    let until = match standing {
        Standing::Clear | Standing::Suspect => return Ok(Leave::Plain),
        Standing::OnTrial(since) if may_try_here(gw, fingerprint, sender, since) => {
            return Ok(Leave::OnTrial(fingerprint));
        }
        Standing::OnTrial(_) => now + TRIED_ELSEWHERE_BACKOFF,
        Standing::Quarantined(until) => until,
    };
    let held_ms = millis(until.since(now));
    warn!(target: "online", request, fingerprint:% = fingerprint, due_in_ms = held_ms; "request held back");
    Err(until)
}

/// Whether this daemon may try a request out now. A job's item has one owner.
fn may_try_here(gw: &Gateway, fingerprint: Fingerprint, sender: Sender, since: Moment) -> bool {
    let now = gw.now();
    let peers = gw.members.borrow().alive_peers(now).count();
    sender == Sender::Job || may_try(fingerprint, gw.me(), peers + 1, since, now)
}

/// A run of a request has ended without a crash.
pub(crate) fn ended_well(gw: &Rc<Gateway>, fingerprint: impl FnOnce() -> Fingerprint) {
    if gw.suspects.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let cleared = gw.suspects.borrow_mut().completed(fingerprint, gw.now());
    if cleared == Cleared::Quarantine {
        quarantine::remove(gw, fingerprint);
    }
    if cleared != Cleared::Nothing {
        gw.report_due.notify_one();
        warn!(target: "online", fingerprint:% = fingerprint; "request cleared");
    }
}
