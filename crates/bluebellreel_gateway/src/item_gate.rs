//! Decides when an item under which workers have crashed is sent to a worker again.
//!
//! Callers' requests that crash workers are quarantined, see `quarantine_gate`. An item is
//! owed: it waits until workers are calm, and runs then, whatever part of its prompt callers'
//! requests are held back for.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::quarantine_gate::{Checked, Permit, daemons, ready_versions};
use bluebellreel_dispatch::{Fingerprint, ItemStatus, VersionTag, may_try_item};
use bluebellreel_types::{Moment, WorkerVersion};
use log::warn;
use std::time::Duration;

/// Pause before an item is checked again that waits for others on trial.
const TURN_PAUSE: Duration = Duration::from_millis(250);
/// Time between two log lines about items that wait. A job may have thousands of items with
/// one part.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Checks whether an item may be sent to a worker.
///
/// # Errors
///
/// Returns when to check again, if it has to wait.
pub(crate) fn may_run<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: Checked<F>,
) -> Result<Permit, Moment> {
    let now = gw.now();
    let (by_parts, version) = status_by_parts(gw, &checked);
    let request = checked.request;
    let by_itself = if gw.suspects.borrow().is_empty() {
        ItemStatus::Clear
    } else {
        let fingerprint = (checked.fingerprint)();
        gw.suspects.borrow().item_status(fingerprint, now)
    };
    let item_on_trial = match by_parts.max(by_itself) {
        ItemStatus::Clear => false,
        ItemStatus::OnTrial(_) if gw.item_trials.borrow().has_room() => true,
        ItemStatus::OnTrial(_) => return Err(now + TURN_PAUSE),
        ItemStatus::Waiting(until) => {
            gw.metrics.quarantine("item");
            if (gw.held_item_logged.get() + LOG_INTERVAL).is_past(now) {
                gw.held_item_logged.set(now);
                warn!(target: "online", request, due_in_ms = millis(until.since(now)); "item held back");
            }
            return Err(until);
        }
    };
    Ok(Permit::for_item(item_on_trial, version))
}

/// The item's status by the parts of its prompt at those versions of the workers that may
/// run it soonest, and the version if it is restricted to one.
fn status_by_parts<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: &Checked<F>,
) -> (ItemStatus, Option<WorkerVersion>) {
    if gw.part_suspects.borrow().is_empty() || checked.parts.is_empty() {
        return (ItemStatus::Clear, None);
    }
    let parts: Vec<Fingerprint> = checked.parts.iter().map(|p| p.fingerprint).collect();
    let versions = ready_versions(gw, checked);
    let statuses: Vec<ItemStatus> = versions
        .iter()
        .map(|version| status_at(gw, &parts, VersionTag::of(version.as_ref())))
        .collect();
    let soonest = statuses.iter().zip(versions).min_by_key(|(s, _)| **s);
    let Some((status, version)) = soonest else {
        return (ItemStatus::Clear, None);
    };
    let has_to_wait = |s: &ItemStatus| matches!(s, ItemStatus::Waiting(_));
    let is_restricted = statuses.iter().any(has_to_wait) && statuses.len() > 1;
    (*status, version.filter(|_| is_restricted))
}

/// The status by parts at one version. Items of many daemons may share a part, so that the
/// daemons take turns.
fn status_at(gw: &Gateway, parts: &[Fingerprint], version: VersionTag) -> ItemStatus {
    let now = gw.now();
    let (status, part) = gw.part_suspects.borrow().item_status(parts, version, now);
    match (status, part) {
        (ItemStatus::OnTrial(since), Some(part))
            if !may_try_item(part, gw.me(), daemons(gw), since, now) =>
        {
            ItemStatus::Waiting(now + TURN_PAUSE)
        }
        _ => status,
    }
}

/// Records that a worker has got ahead with an item on trial.
pub(crate) fn progressed(gw: &Gateway) {
    gw.item_trials.borrow_mut().progressed();
    gw.batch_due.notify_one();
}
