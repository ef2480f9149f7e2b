//! The component that brings manifests into force and matches the fleet to them.

use crate::fleet::messages::{DrainOrder, FleetMessage, FleetSummary};
use crate::handles::DaemonHandles;
use bluebellreel_fleet::{
    AcceptedManifest, AppliedManifest, LoadOrder, LoadedModel, Manifest, Matcher, WorkerView,
};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_types::{
    DataCentre, Incarnation, LoadReport, ModelName, ModelVersion, Moment, WorkerName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Interval at which side processes with an older manifest are sent the current
/// one again.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// The manifest in force, shared with the HTTP threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedManifest(Arc<RwLock<Arc<Manifest>>>);

impl SharedManifest {
    /// The manifest in force, or an empty one before the first.
    pub(crate) fn get(&self) -> Arc<Manifest> {
        self.0.read().map(|m| m.clone()).unwrap_or_default()
    }

    fn set(&self, manifest: Arc<Manifest>) {
        if let Ok(mut current) = self.0.write() {
            *current = manifest;
        }
    }
}

/// Brings manifests into force on this daemon and on connected workers, and orders
/// model loads while this daemon is its data centre's matcher.
pub(crate) struct FleetComponent {
    handles: DaemonHandles,
    applied: AppliedManifest,
    shared: SharedManifest,
    workers: BTreeMap<WorkerName, KnownWorker>,
    drains: BTreeMap<WorkerName, DrainOrder>,
    matcher: Matcher,
    /// Whether this daemon is its data centre's matcher.
    is_matching: bool,
    /// The highest known fencing token.
    fence: u64,
    catch_up_at: Moment,
}

/// What is known of a connected worker.
struct KnownWorker {
    incarnation: Incarnation,
    /// The manifest generation that the worker has applied.
    applied: u64,
    /// The matcher's view of the worker, `None` until its first load report.
    view: Option<WorkerView>,
    data_centre: DataCentre,
}

impl FleetComponent {
    pub(crate) fn new(handles: DaemonHandles, shared: SharedManifest) -> Self {
        Self {
            handles,
            applied: AppliedManifest::default(),
            shared,
            workers: BTreeMap::new(),
            drains: BTreeMap::new(),
            matcher: Matcher::default(),
            is_matching: false,
            fence: 0,
            catch_up_at: Moment(0),
        }
    }

    /// Names of the models and services in the manifest in force.
    pub(crate) fn served_names(&self) -> BTreeSet<ModelName> {
        let manifest = self.shared.get();
        let models = manifest.models.iter().map(|model| model.name.clone());
        let services = manifest.services.iter().map(|service| service.name.clone());
        models.chain(services).collect()
    }

    /// Whether this daemon is its data centre's matcher.
    pub(crate) fn is_matcher(&self) -> bool {
        self.is_matching
    }

    /// Matches the fleet, and sends the manifest again to side processes that have
    /// not applied it: the earlier message may have been lost.
    pub(crate) fn tick(&mut self) {
        let now = self.handles.clock.now();
        if !self.catch_up_at.is_past(now) {
            return;
        }
        self.catch_up_at = now + CATCH_UP_PERIOD;
        self.match_fleet(now);
        let generation = self.applied.generation();
        for (worker, known) in &self.workers {
            if known.applied < generation {
                self.configure(worker);
            }
        }
    }

    fn note_matcher(&mut self, fence: u64, mine: bool) {
        self.fence = self.fence.max(fence);
        self.is_matching = mine && fence == self.fence;
        if self.is_matching {
            log::info!(target: "fleet", fence; "Matching the fleet here.");
            self.matcher = Matcher::default();
        }
        for worker in self.workers.keys() {
            self.send_fence(worker);
        }
    }

    /// Sends the current fencing token to a side process, which accepts no order
    /// before it has received one. Nothing is sent before the first matcher is
    /// known, or to workers of other data centres: a token of another data
    /// centre's matcher would make orders of their own matcher look outdated.
    fn send_fence(&self, worker: &WorkerName) {
        let here = &self.handles.settings.data_centre;
        let known = self.workers.get(worker);
        if self.fence > 0 && known.is_some_and(|k| k.data_centre == *here) {
            self.handles.send_command(EntryCommand::Fence {
                worker: worker.clone(),
                fence: self.fence,
            });
        }
    }

    fn note_load(&mut self, worker: &WorkerName, load: LoadReport) {
        if let Some(known) = self.workers.get_mut(worker) {
            let loaded = load.loaded.into_iter().map(|model| LoadedModel {
                name: model.name.0,
                version: model.version,
            });
            known.view = Some(WorkerView {
                data_centre: known.data_centre.clone(),
                loaded: loaded.collect(),
                leaving: load.leaving,
            });
        }
    }

    fn note_order(&mut self, worker: WorkerName, model: &ModelVersion, loaded: bool) {
        let order = LoadOrder {
            worker,
            model: LoadedModel {
                name: model.name.0.clone(),
                version: model.version.clone(),
            },
        };
        log::info!(target: "fleet", worker:% = order.worker, model:% = model.name, loaded; "Load ended.");
        let now = self.handles.clock.now();
        self.matcher.note_end(&order, loaded, now);
    }

    fn match_fleet(&mut self, now: Moment) {
        if !self.is_matching {
            return;
        }
        let views = self.workers.iter();
        let views = views.filter_map(|(name, known)| Some((name.clone(), known.view.clone()?)));
        let views: BTreeMap<WorkerName, WorkerView> = views.collect();
        let here = self.handles.settings.data_centre.clone();
        let manifest = self.shared.get();
        for order in self.matcher.next_orders(&manifest, &here, &views, now) {
            self.handles.send_command(EntryCommand::Order {
                worker: order.worker,
                fence: self.fence,
                model: ModelVersion {
                    name: ModelName(order.model.name),
                    version: order.model.version,
                },
            });
        }
    }

    /// Sends the drain order of a worker if there is one for its incarnation. The
    /// side process then announces the drain to all daemons in its load reports.
    fn drain_if_ordered(&self, worker: &WorkerName) {
        let order = self.drains.get(worker);
        let known = self.workers.get(worker);
        if order.is_some_and(|o| known.is_some_and(|k| k.incarnation == o.incarnation)) {
            self.handles
                .send_command(EntryCommand::Drain(worker.clone()));
        }
    }

    /// The incarnation of a connected worker's side process.
    fn incarnation_of(&self, worker: &WorkerName) -> Option<Incarnation> {
        self.workers.get(worker).map(|known| known.incarnation)
    }

    fn configure(&self, worker: &WorkerName) {
        let Some(current) = self.applied.current() else {
            return;
        };
        self.handles.send_command(EntryCommand::Configure {
            worker: worker.clone(),
            generation: current.generation,
            manifest: current.text.clone(),
        });
    }

    /// Handles a message from another thread.
    pub(crate) fn on_message(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::ManifestAccepted(accepted) => self.offer(accepted),
            FleetMessage::MatcherElected { fence, mine } => self.note_matcher(fence, mine),
            FleetMessage::MatcherLost => self.is_matching = false,
            FleetMessage::DrainOrdered(order) => {
                log::info!(target: "fleet", worker:% = order.worker; "Drain ordered.");
                let worker = order.worker.clone();
                self.drains.insert(worker.clone(), order);
                self.drain_if_ordered(&worker);
            }
            FleetMessage::QuerySummary(answer) => {
                answer.send(self.summary()).ok();
            }
            FleetMessage::QueryIncarnation(worker, answer) => {
                answer.send(self.incarnation_of(&worker)).ok();
            }
        }
    }

    /// The manifest in force.
    pub(crate) fn manifest(&self) -> Arc<Manifest> {
        self.shared.get()
    }

    fn offer(&mut self, accepted: AcceptedManifest) {
        let generation = accepted.generation;
        let manifest = accepted.manifest.clone();
        if !self.applied.offer(accepted) {
            return;
        }
        log::info!(target: "fleet", generation; "Manifest in force.");
        self.shared.set(manifest);
        let shown = i64::try_from(generation).unwrap_or(i64::MAX);
        self.handles.metrics.generation.set(shown);
        for worker in self.workers.keys() {
            self.configure(worker);
        }
    }

    pub(crate) fn on_notice(&mut self, notice: EntryNotice) {
        match notice {
            EntryNotice::Connected(hello) => {
                let known = KnownWorker {
                    incarnation: hello.incarnation,
                    applied: 0,
                    view: None,
                    data_centre: hello.data_centre.clone(),
                };
                self.workers.insert(hello.worker.clone(), known);
                self.configure(&hello.worker);
                self.drain_if_ordered(&hello.worker);
                self.send_fence(&hello.worker);
            }
            EntryNotice::Load { worker, load } => self.note_load(&worker, load),
            EntryNotice::OrderEnded {
                worker,
                model,
                loaded,
            } => self.note_order(worker, &model, loaded),
            EntryNotice::Lost(worker) => {
                self.workers.remove(&worker);
            }
            EntryNotice::Applied { worker, generation } => {
                if let Some(known) = self.workers.get_mut(&worker) {
                    known.applied = generation;
                }
            }
            _ => {}
        }
        let connected = i64::try_from(self.workers.len()).unwrap_or(i64::MAX);
        self.handles.metrics.workers.set(connected);
    }

    fn failed_loads(&self) -> Vec<String> {
        let failed = self.matcher.failed().into_iter();
        failed
            .map(|o| format!("{} {} at {}", o.model.name, o.model.version, o.worker))
            .collect()
    }

    fn summary(&self) -> FleetSummary {
        let generation = self.applied.generation();
        let behind: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, known)| known.applied < generation)
            .map(|(worker, _)| worker.clone())
            .collect();
        FleetSummary {
            generation,
            workers: self.workers.len(),
            in_force: self.workers.len() - behind.len(),
            behind,
            draining: self.drains.keys().cloned().collect(),
            names: self.workers.keys().cloned().collect(),
            failed_loads: self.failed_loads(),
        }
    }
}
