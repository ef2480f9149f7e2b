//! Following the store: what operators write, and which workers there are.
//!
//! A watch costs a call for each change, so only two daemons watch; the others
//! take over what those report (see `reports`). A daemon that the store turns
//! away says so and is passed over. One that hears nobody watches by itself.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::workers::apply_workers;
use bluebellreel_dispatch::WorkerRecord;
use bluebellreel_kv::{Key, KeyValue, KvError, Txn, WatchEvent};
use bluebellreel_platform::store::Watched;
use bluebellreel_platform::{decode_worker, keys};
use bluebellreel_types::{Moment, WorkerName};
use log::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait of one watch. A connection that has silently died brings
/// nothing, nor does a watch that the store has lost; what was missed shows
/// within this time. Operators expect a change in force within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(300);
/// Time between checks of a daemon that does not watch whether it should.
const CHECK_EVERY: Duration = Duration::from_millis(250);
/// How long a worker that is missing after an outage may take to register
/// again: the platform says about two seconds.
const REGISTER_AGAIN_LONGEST: Duration = Duration::from_millis(2500);
/// Time for which the store must have served a peer to have been there all
/// along: longer than daemons take to notice the end of an outage.
const SERVED_ALL_ALONG: Duration = Duration::from_secs(6);
/// In what units peers tell how long the store has served them.
const SERVED_UNIT: Duration = Duration::from_secs(1);
/// How long the answer to a request to empty a VM is repeated.
const REPORT_EMPTY_LONGEST: Duration = Duration::from_secs(30);

/// Whether this daemon is one of those that watch.
fn is_watcher(gw: &Gateway) -> bool {
    let members = gw.members.borrow();
    members.is_watcher(gw.me(), !gw.store.is_lost(), gw.now())
}

/// Keeps the configuration current, and answers requests to empty VMs.
pub(crate) async fn watch_operator(gw: Rc<Gateway>) {
    follow(&gw, Key::from(keys::OPERATOR), &OPERATOR).await;
}

/// Keeps the list of workers current.
pub(crate) async fn watch_workers(gw: Rc<Gateway>) {
    follow(&gw, Key::from(keys::WORKERS), &WORKERS).await;
}

/// What is done with a prefix.
struct Subject {
    /// Revision up to which everything is known.
    seen: fn(&Gateway) -> i64,
    /// Takes the complete list.
    listed: fn(&Rc<Gateway>, &[KeyValue], i64),
    /// Takes one change; whether it matters to what follows.
    changed: fn(&Rc<Gateway>, WatchEvent) -> bool,
    /// Brings what mattered into force, once for all changes of an answer:
    /// with thousands of workers, once for each would take seconds.
    settle: fn(&Gateway),
    /// Everything up to a revision was handed out.
    seen_to: fn(&Gateway, i64),
}

const OPERATOR: Subject = Subject {
    seen: |gw| gw.facts.borrow().operator_seen,
    listed: |gw, all, revision| {
        for kv in all {
            operator_wrote(gw, kv);
        }
        operator_seen_to(gw, revision);
    },
    changed: |gw, event| {
        if let WatchEvent::Put(kv) = event {
            operator_wrote(gw, &kv);
        }
        false
    },
    settle: |_| {},
    seen_to: operator_seen_to,
};

const WORKERS: Subject = Subject {
    seen: |gw| gw.facts.borrow().catalog.revision(),
    listed: workers_listed,
    changed: |gw, event| worker_changed(gw, event),
    settle: |gw| {
        apply_workers(gw, "store");
        gw.report_due.notify_one();
    },
    seen_to: |gw, revision| gw.facts.borrow_mut().catalog.seen_to(revision),
};

fn operator_seen_to(gw: &Gateway, revision: i64) {
    let mut facts = gw.facts.borrow_mut();
    facts.confirmed_by_store();
    facts.operator_seen = facts.operator_seen.max(revision);
}

fn operator_wrote(gw: &Rc<Gateway>, kv: &KeyValue) {
    if kv.key.as_str() == keys::CONFIGURATION {
        let mut facts = gw.facts.borrow_mut();
        facts.configure(kv.revision, &kv.value, "store", gw.now());
        gw.report_due.notify_one();
    } else if let Some(vm) = keys::vm_to_empty(kv.key.as_str()) {
        tokio::task::spawn_local(report_empty(gw.clone(), vm.to_owned()));
    }
}

/// VMs with a disk hold nothing of ours, so one that is to be emptied is empty
/// at once. Each watching daemon writes the same; one write suffices.
async fn report_empty(gw: Rc<Gateway>, vm: String) {
    let key = Key::from(keys::vm_status(&vm));
    let txn = Txn::create(key, keys::empty_vm_status().to_vec());
    let outcome = gw
        .store
        .commit(&txn, Instant::now() + REPORT_EMPTY_LONGEST)
        .await;
    info!(target: "facts", vm = vm.as_str(), outcome:? = outcome; "VM reported empty");
}

/// Until when workers that are missing are kept; none but after an outage.
///
/// A store that has served a peer all along was not away, it was cut off from
/// this daemon: entries did not lapse, and a worker that is missing leaves.
fn keep_missing_until(gw: &Gateway) -> Option<Moment> {
    let left = REGISTER_AGAIN_LONGEST.checked_sub(gw.store.regained_for()?)?;
    // An outage of the store ends for a peer after it began here. One that was served
    // before that met none, however short a time it has been there.
    let all_along = (gw.store.outage_began_ago()? + SERVED_UNIT).min(SERVED_ALL_ALONG);
    if gw.members.borrow().is_served_for(all_along, gw.now()) {
        return None;
    }
    Some(gw.now() + left)
}

fn worker_changed(gw: &Gateway, event: WatchEvent) -> bool {
    let mut facts = gw.facts.borrow_mut();
    match event {
        WatchEvent::Put(kv) => {
            let Some((id, record)) = read_worker(gw, &kv) else {
                return false;
            };
            facts.catalog.take(kv.revision, &id, record)
        }
        WatchEvent::Deleted { key, revision } => {
            let Some(id) = keys::worker_id(key.as_str()) else {
                return false;
            };
            let keep_until = keep_missing_until(gw);
            info!(target: "facts", worker = id, revision, kept = keep_until.is_some(); "worker no longer listed");
            let id = WorkerName::from(id);
            match keep_until {
                Some(until) => facts.catalog.miss(revision, &id, until),
                None => facts.catalog.remove(revision, &id),
            }
        }
    }
}

fn workers_listed(gw: &Rc<Gateway>, all: &[KeyValue], revision: i64) {
    let read = |kv: &KeyValue| {
        let (id, record) = read_worker(gw, kv)?;
        Some((kv.revision, id, record))
    };
    let list: Vec<(i64, WorkerName, Option<WorkerRecord>)> = all.iter().filter_map(read).collect();
    let workers = list.iter().filter(|(_, _, record)| record.is_some());
    info!(target: "facts", workers = workers.count(), revision; "workers read");
    let keep_until = keep_missing_until(gw);
    let changed = {
        let mut facts = gw.facts.borrow_mut();
        facts.catalog.replace(revision, list, keep_until)
    };
    if changed {
        apply_workers(gw, "store");
        gw.report_due.notify_one();
    }
}

/// What stands at a worker's place: its id, and the worker if the entry names
/// one that could be used.
fn read_worker(gw: &Gateway, kv: &KeyValue) -> Option<(WorkerName, Option<WorkerRecord>)> {
    let id = keys::worker_id(kv.key.as_str())?;
    let record = match decode_worker(id, &kv.value) {
        Ok(record) => Some(record),
        Err(e) => {
            if gw.note_unreadable(kv) {
                warn!(target: "facts", worker = id, revision = kv.revision, error:% = e; "worker not taken");
            }
            None
        }
    };
    Some((WorkerName::from(id), record))
}

/// Time without what a peer knows after which a daemon that does not watch
/// looks for itself. Peers answer within some milliseconds; one of another
/// version, or behind a cut, may never do so.
const STALE_LONGEST: Duration = Duration::from_secs(1);

/// Whether a peer has known more than this daemon for too long. `since` holds
/// since when one does.
fn is_stale(gw: &Gateway, since: &Cell<Option<Moment>>) -> bool {
    let now = gw.now();
    let lacks = {
        let facts = gw.facts.borrow();
        let members = gw.members.borrow();
        members.heard(now).any(|(_, p)| facts.lacks(p.revisions))
    };
    if !lacks {
        since.set(None);
        return false;
    }
    let begun = since.get().unwrap_or(now);
    since.set(Some(begun));
    (begun + STALE_LONGEST).is_past(now)
}

/// Time after which a daemon that has become a watcher lists, once. It may know no more
/// than its predecessor told, which keeps workers that are missing after an outage.
const LIST_AS_SUCCESSOR: Duration = Duration::from_secs(3);

/// When a daemon that watches for the others lists, though no watch failed.
#[derive(Default)]
struct Succession {
    began: Option<Moment>,
    has_listed: bool,
}

impl Succession {
    /// Whether it lists now, given whether it watches.
    fn is_list_due(&mut self, watches: bool, now: Moment) -> bool {
        if !watches {
            *self = Self::default();
            return false;
        }
        let began = *self.began.get_or_insert(now);
        !self.has_listed && (began + LIST_AS_SUCCESSOR).is_past(now)
    }
}

/// Lists a prefix and follows its changes for ever.
///
/// After a gap in the history, and after a watch that failed, it lists again at
/// once: a watch opened while the store drops its history may bring nothing and
/// wait its time out, and callers of a new route would get 404 for as long.
async fn follow(gw: &Rc<Gateway>, prefix: Key, subject: &Subject) {
    let failing = Cell::new(None::<Moment>);
    let behind = Cell::new(None::<Moment>);
    let mut must_list = true;
    let mut rejoined = 0;
    let mut succession = Succession::default();
    loop {
        // Guard: workers may have left while this daemon was cut off. The peers that
        // knew may have gone as well, and those that started since do not know.
        let relist = gw.rejoined.get() != std::mem::replace(&mut rejoined, gw.rejoined.get());
        must_list |= relist;
        // What a snapshot says is to be confirmed by the store, by each daemon
        // itself: its peers may have nothing that it lacks, and say nothing.
        let by_store = !gw.facts.borrow().is_from_snapshot();
        let known = by_store && (subject.seen)(gw) > 0;
        let leads = is_watcher(gw);
        must_list |= succession.is_list_due(leads, gw.now());
        if known && !relist && !leads && !is_stale(gw, &behind) {
            // What a peer brings meanwhile is complete up to its revision.
            must_list = false;
            sleep(CHECK_EVERY).await;
            continue;
        }
        if must_list || !known {
            match gw.store.list(&prefix).await {
                Ok((all, revision)) => {
                    works(gw, &prefix, &failing);
                    (subject.listed)(gw, &all, revision);
                    must_list = false;
                    succession.has_listed = true;
                }
                Err(e) => {
                    failed(gw, &prefix, &failing, &e);
                    sleep(RETRY).await;
                    continue;
                }
            }
        }
        let after = (subject.seen)(gw);
        let watch = gw.store.watch(&prefix, after, WATCH_WAIT);
        let watched = tokio::select! {
            watched = watch => watched,
            // The other prefix's watch has met the gap.
            () = gw.history_gone.notified() => {
                must_list = true;
                continue;
            }
        };
        match watched {
            Ok(Watched::Changes(changes)) => {
                works(gw, &prefix, &failing);
                let mut matters = false;
                for event in changes.events {
                    matters |= (subject.changed)(gw, event);
                }
                if matters {
                    (subject.settle)(gw);
                }
                (subject.seen_to)(gw, changes.revision);
            }
            Ok(Watched::HistoryGone) => {
                info!(target: "facts", prefix:% = prefix, after; "history gone, listing again");
                gw.history_gone.notify_waiters();
                must_list = true;
            }
            Err(e) => {
                failed(gw, &prefix, &failing, &e);
                must_list = true;
                sleep(RETRY).await;
            }
        }
    }
}

fn failed(gw: &Gateway, prefix: &Key, failing: &Cell<Option<Moment>>, e: &KvError) {
    if failing.get().is_none() {
        failing.set(Some(gw.now()));
        warn!(target: "facts", prefix:% = prefix, error:% = e; "store lost");
    }
}

/// Notes that the store answers.
fn works(gw: &Gateway, prefix: &Key, failing: &Cell<Option<Moment>>) {
    let Some(since) = failing.take() else {
        return;
    };
    let lasted = gw.now().since(since);
    let lasted_ms = millis(lasted);
    info!(target: "facts", prefix:% = prefix, lasted_ms; "store regained");
}
