//! Watches the store for operators' changes and for workers.
//!
//! A watch costs a call per change, so only two daemons watch; the others fetch the
//! changes from them (see `reports`). A daemon whose calls the store rejects reports that
//! and is not elected as a watcher. A daemon that receives no reports watches by itself.

use crate::gateway::Gateway;
use crate::join::joined;
use crate::millis::millis;
use crate::reports::report_time;
use crate::workers::apply_workers;
use bluebellreel_dispatch::WorkerRecord;
use bluebellreel_kv::{Key, KeyValue, KvError, Txn, WatchEvent};
use bluebellreel_members::{Lag, Revisions};
use bluebellreel_platform::store::{Changes, Watched};
use bluebellreel_platform::{MAX_WORKER_BYTES, decode_worker, keys};
use bluebellreel_types::{Moment, WorkerName};
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Duration of one watch. A watch on a silently broken connection, or one that the store
/// has lost, delivers nothing; the changes it missed are noticed within this time.
/// Operators expect a change to be in force within two seconds.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a watch that has delivered changes, so that the next one delivers those
/// that follow shortly after each other together.
const GATHER_PAUSE: Duration = Duration::from_millis(120);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which a daemon that does not watch checks whether it should.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a worker that is missing after an outage may take to register again: the
/// platform specifies about two seconds.
const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// A store that has served a peer without interruption for this long has had no recent
/// outage. It is longer than daemons take to notice the end of an outage.
const CONTINUOUS_SERVICE: Duration = Duration::from_secs(6);
/// The unit in which peers report how long the store has served them.
const SERVED_UNIT: Duration = Duration::from_secs(1);
/// How long the write that reports a VM as empty is retried.
const REPORT_EMPTY_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether this daemon watches the store for all.
pub(crate) fn is_watcher(gw: &Gateway) -> bool {
    let now = gw.now();
    let is_elected = {
        let members = gw.members.borrow();
        members.is_watcher(gw.me(), !gw.store.is_lost(), now)
    };
    gw.watch_duty.borrow_mut().watches(is_elected, now)
}

/// Follows the operators' prefix: keeps the configuration current, and answers requests
/// to empty VMs.
pub(crate) async fn watch_operator(gw: Rc<Gateway>) {
    joined(&gw).await;
    follow(&gw, Key::from(keys::OPERATOR), &OPERATOR).await;
}

/// Keeps the list of workers current.
pub(crate) async fn watch_workers(gw: Rc<Gateway>) {
    joined(&gw).await;
    follow(&gw, Key::from(keys::WORKERS), &WORKERS).await;
}

/// The operations by which a watched prefix is processed.
struct WatchHandler {
    /// Size limit of the values that are used.
    max_value_bytes: fn(&Gateway) -> usize,
    /// The prefix's own revision among several.
    revision: fn(Revisions) -> i64,
    /// Returns the revision up to which all changes were processed.
    seen: fn(&Gateway) -> i64,
    /// Whether the facts held lack a part that only a list from the store adds.
    is_incomplete: fn(&Gateway) -> bool,
    /// Processes a complete list of the prefix.
    listed: fn(&Rc<Gateway>, &Listing),
    /// Processes one change. Returns whether `apply` is needed.
    changed: fn(&Rc<Gateway>, WatchEvent) -> bool,
    /// Applies changes, once for all changes of an answer: with thousands of workers,
    /// applying each one separately would take seconds.
    apply: fn(&Gateway),
    /// Records that all changes up to a revision were processed, which was the store's at
    /// some time after the moment.
    advance_to: fn(&Gateway, i64, Moment),
}

const OPERATOR: WatchHandler = WatchHandler {
    max_value_bytes: |gw| gw.settings.value_bytes,
    revision: |revisions| revisions.configuration,
    seen: |gw| gw.cluster_state.borrow().operator_seen,
    is_incomplete: |_| false,
    listed: operator_listed,
    changed: |gw, event| {
        if let WatchEvent::Put(kv) = event {
            operator_wrote(gw, &kv);
        }
        false
    },
    apply: |_| {},
    advance_to: |gw, revision, _| operator_seen_to(gw, revision),
};

const WORKERS: WatchHandler = WatchHandler {
    max_value_bytes: |_| MAX_WORKER_BYTES,
    revision: |revisions| revisions.workers,
    seen: |gw| gw.cluster_state.borrow().catalog.revision(),
    // Peers of an earlier build do not pass versions on.
    is_incomplete: |gw| gw.cluster_state.borrow().catalog.lacks_versions(),
    listed: workers_listed,
    changed: |gw, event| worker_changed(gw, event),
    apply: |gw| {
        apply_workers(gw, "store");
        gw.report_due.notify_one();
    },
    advance_to: |gw, revision, asked| {
        gw.cluster_state.borrow_mut().catalog.advance_to(revision);
        gw.note_list_complete(asked);
    },
};

/// A complete list of a prefix.
struct Listing {
    all: Vec<KeyValue>,
    revision: i64,
    /// When the call was sent, on a clock that also runs while the VM is suspended.
    asked: Moment,
}

fn operator_listed(gw: &Rc<Gateway>, listing: &Listing) {
    for kv in &listing.all {
        operator_wrote(gw, kv);
        if kv.key.as_str() == keys::CONFIGURATION {
            gw.note_confirmation(kv.revision, listing.asked);
        }
    }
    operator_seen_to(gw, listing.revision);
}

fn operator_seen_to(gw: &Gateway, revision: i64) {
    let mut cluster_state = gw.cluster_state.borrow_mut();
    cluster_state.confirmed_by_store();
    cluster_state.operator_seen = cluster_state.operator_seen.max(revision);
}

fn operator_wrote(gw: &Rc<Gateway>, kv: &KeyValue) {
    if kv.key.as_str() == keys::CONFIGURATION {
        gw.take_configuration(kv);
    } else if let Some(vm) = keys::vm_to_empty(kv.key.as_str()) {
        tokio::task::spawn_local(report_empty(gw.clone(), vm.to_owned()));
    }
}

/// Reports a VM as empty. VMs with a disk hold no data of this system, so one that is to
/// be emptied is empty at once. Each watching daemon makes the same write; one suffices.
async fn report_empty(gw: Rc<Gateway>, vm: String) {
    let key = Key::from(keys::vm_status(&vm));
    let txn = Txn::create(key, keys::empty_vm_status().to_vec());
    let outcome = gw
        .store
        .commit(&txn, Instant::now() + REPORT_EMPTY_TIMEOUT)
        .await;
    info!(target: "facts", vm = vm.as_str(), outcome:? = outcome; "VM reported empty");
}

/// Until when missing workers are kept: workers are kept only after an outage of the
/// store, until they have had time to register again.
///
/// If the store has served a peer without interruption, it was only unreachable from this
/// daemon: entries did not expire, so a missing worker has left.
fn keep_missing_until(gw: &Gateway) -> Option<Moment> {
    let left = REREGISTRATION_TIMEOUT.checked_sub(gw.store.since_outage_end()?)?;
    // An outage of the store ends for a peer after it has begun for this daemon. A peer
    // that was served since before then had no outage, even if it started recently.
    let min_served = (gw.store.since_outage_start()? + SERVED_UNIT).min(CONTINUOUS_SERVICE);
    if gw.members.borrow().is_served_for(min_served, gw.now()) {
        return None;
    }
    Some(gw.now() + left)
}

fn worker_changed(gw: &Gateway, event: WatchEvent) -> bool {
    let mut cluster_state = gw.cluster_state.borrow_mut();
    match event {
        WatchEvent::Put(kv) => {
            let Some((id, record)) = read_worker(gw, &kv) else {
                return false;
            };
            if let Some(record) = &record {
                let mut versions = gw.versions.borrow_mut();
                versions.saw(&record.service, record.version.as_ref(), gw.elapsed());
            }
            cluster_state.catalog.take(kv.revision, &id, record)
        }
        WatchEvent::Deleted { key, revision } => {
            let Some(id) = keys::worker_id(key.as_str()) else {
                return false;
            };
            let keep_until = keep_missing_until(gw);
            info!(target: "facts", worker = id, revision, kept = keep_until.is_some(); "worker no longer listed");
            let id = WorkerName::from(id);
            match keep_until {
                Some(until) => cluster_state.catalog.mark_missing(revision, &id, until),
                None => cluster_state.catalog.remove(revision, &id),
            }
        }
    }
}

fn workers_listed(gw: &Rc<Gateway>, listing: &Listing) {
    let revision = listing.revision;
    let read = |kv: &KeyValue| {
        let (id, record) = read_worker(gw, kv)?;
        Some((kv.revision, id, record))
    };
    let list: Vec<(i64, WorkerName, Option<WorkerRecord>)> =
        listing.all.iter().filter_map(read).collect();
    let workers = list.iter().filter(|(_, _, record)| record.is_some());
    info!(target: "facts", workers = workers.count(), revision; "workers read");
    let keep_until = keep_missing_until(gw);
    let changed = {
        let mut cluster_state = gw.cluster_state.borrow_mut();
        cluster_state.catalog.replace(revision, list, keep_until)
    };
    if changed {
        apply_workers(gw, "store");
        gw.report_due.notify_one();
    }
    if revision >= gw.cluster_state.borrow().seen().workers {
        gw.note_list_complete(listing.asked);
    }
}

/// Parses a worker's entry: its id, and its record if that is valid.
fn read_worker(gw: &Gateway, kv: &KeyValue) -> Option<(WorkerName, Option<WorkerRecord>)> {
    let id = keys::worker_id(kv.key.as_str())?;
    let record = match decode_worker(id, &kv.value) {
        Ok(record) => Some(record),
        Err(e) => {
            if gw.note_unreadable(kv) {
                warn!(target: "facts", worker = id, revision = kv.revision, error:% = e; "worker rejected");
            }
            None
        }
    };
    Some((WorkerName::from(id), record))
}

/// The newest revision of a prefix that peers report.
fn newest_reported(gw: &Gateway, handler: &WatchHandler) -> i64 {
    let members = gw.members.borrow();
    let peers = members.alive_peers(gw.now());
    let revisions = peers.map(|(_, peer)| (handler.revision)(peer.revisions));
    revisions.max().unwrap_or(0)
}

/// Delay after which a daemon that has become a watcher lists the prefix once. It may know
/// only what its predecessor reported, which keeps workers that are missing after an
/// outage.
const SUCCESSOR_LIST_DELAY: Duration = Duration::from_secs(3);

/// Decides when a new watcher lists the prefix although no watch has failed.
#[derive(Default)]
struct Succession {
    began: Option<Moment>,
    has_listed: bool,
}

impl Succession {
    /// Whether the daemon should list now. `watches` is whether it is a watcher.
    fn is_list_due(&mut self, watches: bool, now: Moment) -> bool {
        if !watches {
            *self = Self::default();
            return false;
        }
        let began = *self.began.get_or_insert(now);
        !self.has_listed && (began + SUCCESSOR_LIST_DELAY).is_past(now)
    }
}

/// Lists a prefix and watches its changes, forever.
///
/// After a gap in the history or a failed watch it lists again at once: a watch that is
/// opened while the store drops its history may deliver nothing until it times out, and
/// callers of a new route would get 404 in the meantime.
async fn follow(gw: &Rc<Gateway>, prefix: Key, handler: &WatchHandler) {
    let failing_since = Cell::new(None::<Moment>);
    let mut lag = Lag::default();
    let mut must_list = true;
    let mut reconnections = 0;
    let mut succession = Succession::default();
    loop {
        // Workers may have left while this daemon was isolated. The peers that noticed
        // may be gone as well, and those that have started since have no record of the
        // workers.
        let relist =
            gw.reconnections.get() != std::mem::replace(&mut reconnections, gw.reconnections.get());
        must_list |= relist;
        // Each daemon must itself confirm state from a snapshot with the store. Peers
        // cannot confirm it: a daemon fetches nothing from peers that know nothing newer.
        let is_confirmed = !gw.cluster_state.borrow().is_from_snapshot();
        let known = is_confirmed && (handler.seen)(gw) > 0;
        let is_elected = is_watcher(gw);
        must_list |= succession.is_list_due(is_elected, gw.now());
        let own = (handler.revision)(gw.cluster_state.borrow().seen());
        let report_time = report_time(gw.members.borrow().peers().count());
        let lags = lag.is_overdue(own, newest_reported(gw, handler), report_time, gw.now());
        let is_incomplete = (handler.is_incomplete)(gw);
        must_list |= is_incomplete;
        if known && !relist && !is_elected && !lags && !is_incomplete {
            // State fetched from a peer meanwhile is complete up to its revision.
            must_list = false;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        if must_list || !known {
            let asked = gw.elapsed();
            let max_value_bytes = (handler.max_value_bytes)(gw);
            match gw.store.list(&prefix, max_value_bytes).await {
                Ok((all, revision)) => {
                    note_recovery(gw, &prefix, &failing_since);
                    let listing = Listing {
                        all,
                        revision,
                        asked,
                    };
                    (handler.listed)(gw, &listing);
                    must_list = false;
                    succession.has_listed = true;
                }
                Err(e) => {
                    note_failure(gw, &prefix, &failing_since, &e);
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        let after = (handler.seen)(gw);
        let asked = gw.elapsed();
        let watch = gw.store.watch(&prefix, after, WATCH_TIMEOUT);
        let watched = tokio::select! {
            watched = watch => watched,
            // The watch of the other prefix has found a gap in the history.
            () = gw.history_compacted.notified() => {
                must_list = true;
                continue;
            }
        };
        match watched {
            Ok(Watched::Changes(changes)) => {
                note_recovery(gw, &prefix, &failing_since);
                let is_delivery = !changes.events.is_empty();
                apply_changes(gw, handler, changes, asked);
                if is_delivery {
                    sleep(GATHER_PAUSE).await;
                }
            }
            Ok(Watched::HistoryGone) => {
                info!(target: "facts", prefix:% = prefix, after; "history compacted, listing again");
                gw.history_compacted.notify_waiters();
                must_list = true;
            }
            Ok(Watched::TooLong) => {
                info!(target: "facts", prefix:% = prefix, after; "changes too long, listing again");
                must_list = true;
                sleep(GATHER_PAUSE).await;
            }
            Err(e) => {
                note_failure(gw, &prefix, &failing_since, &e);
                must_list = true;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Processes the changes that a watch has delivered, which was begun at `asked`.
fn apply_changes(gw: &Rc<Gateway>, handler: &WatchHandler, changes: Changes, asked: Moment) {
    let mut needs_apply = false;
    for event in changes.events {
        needs_apply |= (handler.changed)(gw, event);
    }
    if needs_apply {
        (handler.apply)(gw);
    }
    (handler.advance_to)(gw, changes.revision, asked);
}

/// Reads the changes of the list of workers from the store at once. Returns whether the store
/// has answered.
pub(crate) async fn refresh_workers(gw: &Rc<Gateway>) -> bool {
    let prefix = Key::from(keys::WORKERS);
    let after = (WORKERS.seen)(gw);
    let asked = gw.elapsed();
    if after > 0 {
        match gw.store.watch(&prefix, after, Duration::ZERO).await {
            Ok(Watched::Changes(changes)) => {
                apply_changes(gw, &WORKERS, changes, asked);
                return true;
            }
            Ok(Watched::HistoryGone | Watched::TooLong) => {}
            Err(_) => return false,
        }
    }
    let Ok((all, revision)) = gw.store.list(&prefix, MAX_WORKER_BYTES).await else {
        return false;
    };
    let listing = Listing {
        all,
        revision,
        asked,
    };
    workers_listed(gw, &listing);
    true
}

fn note_failure(gw: &Gateway, prefix: &Key, failing_since: &Cell<Option<Moment>>, e: &KvError) {
    if failing_since.get().is_none() {
        failing_since.set(Some(gw.now()));
        warn!(target: "facts", prefix:% = prefix, error:% = e; "store lost");
    }
}

/// Logs that the store answers again, if calls had failed before.
fn note_recovery(gw: &Gateway, prefix: &Key, failing_since: &Cell<Option<Moment>>) {
    let Some(since) = failing_since.take() else {
        return;
    };
    let lasted = gw.now().since(since);
    let lasted_ms = millis(lasted);
    info!(target: "facts", prefix:% = prefix, lasted_ms; "store regained");
}
