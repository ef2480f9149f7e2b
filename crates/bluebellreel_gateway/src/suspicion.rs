//! Holding back requests that workers crash under.
//!
//! Guard: a request that crashes each worker that begins to run it was sent on to the
//! next one, at any gateway, as often as its caller came back: one caller took all
//! workers of a service down, and up to eight others with each. Which requests they are
//! is decided in `bluebellreel_dispatch`, from crashes that all gateways tell each other;
//! here they are stopped before they are sent.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Fingerprint, Sender, Standing};
use bluebellreel_types::Moment;
use log::warn;
use std::rc::Rc;

/// What a caller is told whose request is held back.
pub(crate) const REASON: &str = "workers crash under it";

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

/// Whether a request may be sent to a worker, and whether as a trial; else when it may be
/// tried again.
pub(crate) fn may_run(
    gw: &Rc<Gateway>,
    request: &str,
    sender: Sender,
    fingerprint: impl FnOnce() -> Fingerprint,
) -> Result<Option<Trial>, Moment> {
    if gw.suspects.borrow().is_empty() {
        return Ok(None);
    }
    let (fingerprint, now) = (fingerprint(), gw.now());
    let standing = gw.suspects.borrow().standing(fingerprint, sender, now);
    match standing {
        Standing::Clear | Standing::Suspect => Ok(None),
        Standing::OnTrial => {
            gw.suspects.borrow_mut().begin_trial(fingerprint, now);
            gw.report_due.notify_one();
            warn!(target: "online", request, fingerprint:% = fingerprint; "request tried out");
            let gw = gw.clone();
            Ok(Some(Trial { gw, fingerprint }))
        }
        Standing::Held(until) => {
            let left = until.since(now);
            let held_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            warn!(target: "online", request, fingerprint:% = fingerprint, due_in_ms = held_ms; "request held back");
            Err(until)
        }
    }
}

/// A run of a request has ended without a crash.
pub(crate) fn ended_well(gw: &Gateway, fingerprint: impl FnOnce() -> Fingerprint) {
    if gw.suspects.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let cleared = gw.suspects.borrow_mut().completed(fingerprint, gw.now());
    if cleared {
        gw.report_due.notify_one();
        warn!(target: "online", fingerprint:% = fingerprint; "request cleared");
    }
}
