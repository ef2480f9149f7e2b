//! Giving up items whose route was removed from the configuration.
//!
//! A route may be missing here only because the job comes from a daemon with a newer
//! configuration than this daemon's. Giving up an item is final, so the store must have
//! confirmed first that no newer configuration exists.

use super::load::owned_job;
use super::own::{OwnedJob, RouteMissing};
use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_batch::ItemPhase;
use bluebellreel_dispatch::Configuration;
use bluebellreel_kv::Key;
use bluebellreel_platform::keys;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;

/// How long an item's route must be missing from one version of the configuration
/// before the item is given up: a version that follows soon may restore the route.
const MISSING_ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Notes that an item of a job has no route. If this lasts for
/// [`MISSING_ROUTE_TIMEOUT`], the store is asked for the newest configuration, and the
/// job's items without a route are given up if this daemon already applies it.
pub(super) fn note_missing_route(gw: &Rc<Gateway>, owned: &Rc<OwnedJob>) {
    let now = gw.now();
    let first = RouteMissing {
        configuration: gw.cluster_state.borrow().revisions().configuration,
        ask_at: now + MISSING_ROUTE_TIMEOUT,
    };
    let known = owned.route_missing.get();
    let known = known.filter(|k| k.configuration == first.configuration);
    if known.is_some_and(|k| !k.ask_at.is_past(now)) {
        return;
    }
    // If the store has a newer configuration, the check is repeated after the same time.
    owned.route_missing.set(Some(first));
    if known.is_some() {
        let asked = check_configuration(gw.clone(), owned.clone(), first.configuration);
        tokio::task::spawn_local(asked);
    }
}

async fn check_configuration(gw: Rc<Gateway>, owned: Rc<OwnedJob>, revision: i64) {
    let id = owned.job.borrow().id.clone();
    let stored = match gw.store.read(&Key::from(keys::CONFIGURATION)).await {
        Ok(stored) => stored.map(|kv| kv.revision),
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "configuration not confirmed");
            return;
        }
    };
    let in_force = gw.cluster_state.borrow().revisions().configuration;
    if stored != Some(revision)
        || in_force != revision
        || gw.cluster_state.borrow().is_from_snapshot()
    {
        info!(target: "jobs", job:% = id, revision:? = stored, known = revision; "items kept, a newer configuration may have their route");
        return;
    }
    let still_owned = owned_job(&gw, &id).is_some_and(|known| Rc::ptr_eq(&known, &owned));
    // The items of a job that is being handed over must not change any more: their
    // progress may have been sent to the new owner already.
    if still_owned && !gw.stopping.get() {
        give_up(&gw, &owned, revision);
    }
}

fn give_up(gw: &Gateway, owned: &OwnedJob, revision: i64) {
    let now = gw.now();
    let cluster_state = gw.cluster_state.borrow();
    let (Some(configuration), Some(since)) = (
        cluster_state.configuration(),
        cluster_state.configured_since(),
    ) else {
        return;
    };
    let in_force_ms = millis(now.since(since));
    for item in without_route(owned, &configuration) {
        let mut job = owned.job.borrow_mut();
        warn!(target: "jobs", job:% = job.id, request:% = job.items[item].input.id, revision, in_force_ms; "item given up, its route was removed");
        job.give_up(item, now);
    }
    owned.record_due.notify_one();
}

fn without_route(owned: &OwnedJob, configuration: &Configuration) -> Vec<usize> {
    let job = owned.job.borrow();
    if !job.may_run() {
        return Vec::new();
    }
    let waiting = job.items.iter().enumerate();
    let waiting = waiting.filter(|(_, i)| matches!(i.phase, ItemPhase::Waiting { .. }));
    let host = &job.record.host;
    let missing = waiting.filter(|(_, i)| configuration.route(host, &i.input.path).is_none());
    missing.map(|(at, _)| at).collect()
}
