//! Giving items up whose route the operators took away.
//!
//! The configuration in force here may be older than a job's route: the job may
//! come from a daemon that learnt of the route first. An item that is given up
//! is so for good, so the store must have said that there is nothing newer.

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

/// How long an item's route must be missing under one configuration before the
/// item is given up: versions that follow quickly may bring it back.
const ROUTE_GONE: Duration = Duration::from_secs(3);

/// An item of a job has no route. Once that has lasted, the store is asked, and
/// the job's items without a route are given up if it agrees.
pub(super) fn note(gw: &Rc<Gateway>, owned: &Rc<OwnedJob>) {
    let now = gw.now();
    let first = RouteMissing {
        configuration: gw.cluster_state.borrow().revisions().configuration,
        ask_at: now + ROUTE_GONE,
    };
    let known = owned.route_missing.get();
    let known = known.filter(|k| k.configuration == first.configuration);
    if known.is_some_and(|k| !k.ask_at.is_past(now)) {
        return;
    }
    // It is asked again as much later if it does not agree.
    owned.route_missing.set(Some(first));
    if known.is_some() {
        let asked = ask(gw.clone(), owned.clone(), first.configuration);
        tokio::task::spawn_local(asked);
    }
}

async fn ask(gw: Rc<Gateway>, owned: Rc<OwnedJob>, revision: i64) {
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
        info!(target: "jobs", job:% = id, revision:? = stored, known = revision; "items kept, their route may be newer");
        return;
    }
    let is_here = owned_job(&gw, &id).is_some_and(|known| Rc::ptr_eq(&known, &owned));
    // A job that is being handed over is as its copy says.
    if is_here && !gw.stopping.get() {
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
        warn!(target: "jobs", job:% = job.id, request:% = job.items[item].input.id, revision, in_force_ms; "item given up, its route is gone");
        job.give_up(item, now);
    }
    owned.record_due.notify_one();
}

fn without_route(owned: &OwnedJob, configuration: &Configuration) -> Vec<usize> {
    let job = owned.job.borrow();
    if !job.is_open() {
        return Vec::new();
    }
    let waiting = job.items.iter().enumerate();
    let waiting = waiting.filter(|(_, i)| matches!(i.phase, ItemPhase::Waiting { .. }));
    let host = &job.record.host;
    let gone = waiting.filter(|(_, i)| configuration.route(host, &i.input.path).is_none());
    gone.map(|(at, _)| at).collect()
}
