//! What the store tells of configuration and workers, and how it is kept
//! current.
//!
//! A daemon watches the store itself, and takes over from a peer whatever the
//! peer knows at a higher revision. So a daemon that the store turns away
//! stays as current as its peers. Nothing known is ever replaced by an older
//! fact.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Catalog, Configuration, WorkerRecord};
use bluebellreel_kv::{Key, KeyValue, KvError, Txn, WatchEvent};
use bluebellreel_platform::store::Watched;
use bluebellreel_platform::{decode_configuration, decode_worker, keys};
use bluebellreel_types::{Moment, WorkerName};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait of one watch. A connection that has silently died brings
/// nothing; the next watch shows what was missed, within this time.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(250);
/// Time in which the store's calls must have failed for its return to count as
/// the end of an outage.
const OUTAGE: Duration = Duration::from_millis(900);
/// How long a worker that is missing after an outage may take to register
/// again: the platform says about two seconds.
const REGISTER_AGAIN: Duration = Duration::from_millis(2500);

/// The configuration with its origin.
#[derive(Clone)]
struct Configured {
    revision: i64,
    text: Vec<u8>,
    checked: Rc<Configuration>,
}

/// Facts of the store.
#[derive(Default)]
pub(crate) struct Facts {
    configured: Option<Configured>,
    pub(crate) catalog: Catalog,
}

/// Facts as peers hand them on.
#[derive(Serialize, Deserialize)]
pub(crate) struct SharedFacts {
    configuration: Option<(i64, Vec<u8>)>,
    workers_revision: i64,
    workers: Vec<(i64, WorkerName, Option<WorkerRecord>)>,
}

impl Facts {
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configured.as_ref().map(|c| c.checked.clone())
    }

    /// Revision of the configuration in force; zero without one.
    pub(crate) fn configuration_revision(&self) -> i64 {
        self.configured.as_ref().map_or(0, |c| c.revision)
    }

    /// Takes a configuration over unless a newer one is in force.
    fn configure(&mut self, revision: i64, text: &[u8], source: &str) {
        if revision <= self.configuration_revision() {
            return;
        }
        let checked = match decode_configuration(text) {
            Ok(checked) => checked,
            Err(e) => {
                warn!(target: "facts", revision, source, error:% = e; "configuration not taken");
                return;
            }
        };
        let known = self.configured.as_ref().map_or(0, |c| c.checked.version);
        if checked.version < known {
            warn!(target: "facts", revision, source, version = checked.version, known; "older configuration not taken");
            return;
        }
        info!(target: "facts", revision, source, version = checked.version, routes = checked.routes.len(); "configuration in force");
        self.configured = Some(Configured {
            revision,
            text: text.to_vec(),
            checked: Rc::new(checked),
        });
    }

    pub(crate) fn share(&self) -> SharedFacts {
        let configured = self.configured.as_ref();
        let workers = self
            .catalog
            .facts()
            .map(|(revision, id, record)| (revision, id.clone(), record.cloned()));
        SharedFacts {
            configuration: configured.map(|c| (c.revision, c.text.clone())),
            workers_revision: self.catalog.revision(),
            workers: workers.collect(),
        }
    }

    /// Takes over what a peer knows better; whether workers changed.
    pub(crate) fn learn(&mut self, shared: SharedFacts, source: &str) -> bool {
        if let Some((revision, text)) = shared.configuration {
            self.configure(revision, &text, source);
        }
        let mut changed = false;
        for (revision, id, record) in shared.workers {
            changed |= match record {
                Some(record) => self.catalog.put(revision, record),
                None => self.catalog.remove(revision, &id),
            };
        }
        self.catalog.seen_to(shared.workers_revision);
        changed
    }
}

/// Applies changed workers to the board.
pub(crate) fn follow_workers(gw: &Gateway) {
    let facts = gw.facts.borrow();
    gw.board.borrow_mut().follow(&facts.catalog);
    drop(facts);
    gw.batch_due.notify_one();
    crate::jobs::make_room(gw);
}

/// Keeps the configuration current, and answers requests to empty VMs.
pub(crate) async fn watch_operator(gw: Rc<Gateway>) {
    let prefix = Key::from(keys::OPERATOR);
    watch_prefix(gw.clone(), prefix, |gw, change| match change {
        Change::All(all, _) => all.iter().for_each(|kv| operator_wrote(gw, kv)),
        Change::One(WatchEvent::Put(kv)) => operator_wrote(gw, &kv),
        Change::One(WatchEvent::Deleted { .. }) | Change::SeenTo(_) => {}
    })
    .await;
}

fn operator_wrote(gw: &Rc<Gateway>, kv: &KeyValue) {
    if kv.key.as_str() == keys::CONFIGURATION {
        gw.facts
            .borrow_mut()
            .configure(kv.revision, &kv.value, "store");
        gw.report_due.notify_one();
    } else if let Some(vm) = keys::vm_to_empty(kv.key.as_str()) {
        tokio::task::spawn_local(say_empty(gw.clone(), vm.to_owned()));
    }
}

/// VMs with a disk hold nothing of ours, so one that is to be emptied is empty
/// at once. Every daemon writes the same; one write suffices.
async fn say_empty(gw: Rc<Gateway>, vm: String) {
    let key = Key::from(keys::vm_status(&vm));
    let txn = Txn::create(key, keys::vm_is_empty().to_vec());
    let until = Instant::now() + Duration::from_secs(30);
    let outcome = gw.store.commit(&txn, until).await;
    info!(target: "facts", vm = vm.as_str(), outcome:? = outcome; "VM reported empty");
}

/// Keeps the list of workers current.
pub(crate) async fn watch_workers(gw: Rc<Gateway>) {
    let prefix = Key::from(keys::WORKERS);
    watch_prefix(gw, prefix, |gw, change| {
        let changed = match change {
            Change::All(all, revision) => workers_listed(gw, &all, revision),
            Change::One(event) => worker_changed(gw, event),
            Change::SeenTo(revision) => {
                gw.facts.borrow_mut().catalog.seen_to(revision);
                false
            }
        };
        if changed {
            follow_workers(gw);
        }
    })
    .await;
}

fn worker_changed(gw: &Gateway, event: WatchEvent) -> bool {
    let mut facts = gw.facts.borrow_mut();
    match event {
        WatchEvent::Put(kv) => match read_worker(&kv) {
            Some(record) => {
                let id = record.id.clone();
                let state = record.state;
                let changed = facts.catalog.put(kv.revision, record);
                if changed {
                    info!(target: "facts", worker:% = id, state:? = state, revision = kv.revision; "worker listed");
                }
                changed
            }
            None => false,
        },
        WatchEvent::Deleted { key, revision } => {
            let Some(id) = keys::worker_id(key.as_str()) else {
                return false;
            };
            info!(target: "facts", worker = id, revision; "worker no longer listed");
            facts.catalog.remove(revision, &WorkerName::from(id))
        }
    }
}

fn workers_listed(gw: &Gateway, all: &[KeyValue], revision: i64) -> bool {
    let list: Vec<(i64, WorkerRecord)> = all
        .iter()
        .filter_map(|kv| Some((kv.revision, read_worker(kv)?)))
        .collect();
    info!(target: "facts", workers = list.len(), revision; "workers read");
    let keep_until = gw
        .members
        .borrow()
        .outage_ended_at(gw.now(), REGISTER_AGAIN);
    let mut facts = gw.facts.borrow_mut();
    facts.catalog.replace(revision, list, keep_until)
}

fn read_worker(kv: &KeyValue) -> Option<WorkerRecord> {
    let id = keys::worker_id(kv.key.as_str())?;
    match decode_worker(id, &kv.value) {
        Ok(record) => Some(record),
        Err(e) => {
            warn!(target: "facts", worker = id, error:% = e; "worker not taken");
            None
        }
    }
}

/// What a watch hands out.
pub(crate) enum Change {
    /// The complete list, at a revision.
    All(Vec<KeyValue>, i64),
    /// One change.
    One(WatchEvent),
    /// All changes up to a revision were handed out.
    SeenTo(i64),
}

/// Lists a prefix and follows its changes for ever. After a gap in the history
/// it lists again at once: what changed in the gap would otherwise stay hidden.
pub(crate) async fn watch_prefix(
    gw: Rc<Gateway>,
    prefix: Key,
    take: impl Fn(&Rc<Gateway>, Change),
) {
    let failing = Cell::new(None::<Moment>);
    loop {
        let (all, mut revision) = match gw.store.list(&prefix).await {
            Ok(listed) => listed,
            Err(e) => {
                watch_failed(&gw, &prefix, &failing, &e);
                sleep(RETRY).await;
                continue;
            }
        };
        watch_works(&gw, &prefix, &failing);
        take(&gw, Change::All(all, revision));
        loop {
            match gw.store.watch(&prefix, revision, WATCH_WAIT).await {
                Ok(Watched::Changes(changes)) => {
                    let outage = watch_works(&gw, &prefix, &failing);
                    for event in changes.events {
                        take(&gw, Change::One(event));
                    }
                    revision = changes.revision.max(revision);
                    take(&gw, Change::SeenTo(revision));
                    if outage {
                        break;
                    }
                }
                Ok(Watched::HistoryGone) => {
                    info!(target: "facts", prefix:% = prefix, revision; "history gone, listing again");
                    break;
                }
                Err(e) => {
                    watch_failed(&gw, &prefix, &failing, &e);
                    sleep(RETRY).await;
                }
            }
        }
    }
}

fn watch_failed(gw: &Gateway, prefix: &Key, failing: &Cell<Option<Moment>>, e: &KvError) {
    if failing.get().is_none() {
        failing.set(Some(gw.now()));
        warn!(target: "facts", prefix:% = prefix, error:% = e; "store lost");
    }
}

/// Notes that the store answers; whether that ends an outage.
fn watch_works(gw: &Gateway, prefix: &Key, failing: &Cell<Option<Moment>>) -> bool {
    let Some(since) = failing.take() else {
        return false;
    };
    let lasted = gw.now().since(since);
    info!(target: "facts", prefix:% = prefix, lasted_ms = millis(lasted); "store regained");
    if lasted < OUTAGE {
        return false;
    }
    gw.members.borrow_mut().store_regained(gw.now());
    true
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
