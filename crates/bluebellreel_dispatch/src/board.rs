//! The table of all workers, their slots and the runs that occupy them.

use crate::{
    Boot, Catalog, CircuitBreaker, Class, Demands, Evidence, PeerLoad, Running, Standing, Ticket,
    WorkerRecord, WorkerSpeeds, WorkerState, WorkerTag,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName, WorkerVersion};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long a worker counts as healthy after an event of one of this daemon's runs.
/// Events of one run are some 30 ms apart, and most workers have few runs of one daemon.
const HEALTHY_AFTER_EVENT: Duration = Duration::from_millis(500);

/// Limits of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Slots that batch placement leaves free, as a percentage of the running online
    /// requests.
    pub reserve_percent: u32,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            reserve_percent: 10,
        }
    }
}

/// A change of one worker, as reported by [`Board::apply_catalog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker is newly listed, or listed in a different state.
    Listed(WorkerState),
    /// The worker was restarted under the same id and is in this state.
    Restarted(WorkerState),
    /// The worker is no longer listed.
    Left,
}

/// This daemon's view of one worker: its catalog record, its runs and its health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker's record in the catalog.
    pub record: WorkerRecord,
    /// Runs of this daemon at the worker.
    pub own: Running,
    /// Runs of all peers at the worker.
    pub peers: Running,
    /// Circuit breaker, fed by the outcomes of this daemon's runs.
    pub breaker: CircuitBreaker,
    /// When a run of this daemon at the worker last produced an event.
    pub last_event_at: Moment,
    /// What the outcomes of all daemons' runs say about the worker; unproven if evidence is
    /// not in use.
    pub standing: Standing,
    /// Whether the worker has left the catalog.
    left: bool,
}

impl WorkerView {
    fn new(record: WorkerRecord) -> Self {
        Self {
            record,
            own: Running::default(),
            peers: Running::default(),
            breaker: CircuitBreaker::default(),
            last_event_at: Moment::default(),
            standing: Standing::default(),
            left: false,
        }
    }

    /// The tag of the worker's current incarnation.
    pub(crate) fn tag(&self) -> WorkerTag {
        WorkerTag::of(&self.record.id, self.record.boot)
    }

    /// Runs of this daemon and of all peers.
    #[must_use]
    pub fn running(&self) -> Running {
        Running {
            online: self.own.online + self.peers.online,
            batch: self.own.batch + self.peers.batch,
        }
    }

    /// Number of unoccupied slots.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.record.slots.saturating_sub(self.running().total())
    }

    /// Number of runs beyond the slots.
    #[must_use]
    pub fn excess(&self) -> u32 {
        self.running().total().saturating_sub(self.record.slots)
    }
}

/// The table of all workers, their slots and the runs that occupy them.
#[derive(Clone, Debug)]
pub struct Board {
    /// Data centre of this daemon.
    pub local: DataCentre,
    /// Limits of placement.
    pub limits: PlacementLimits,
    /// Observed speed of each worker.
    pub speeds: WorkerSpeeds,
    /// Outcomes of runs at each worker; none if they are not in use.
    pub evidence: Option<Evidence>,
    /// Waiting items of all daemons, by which free slots are divided.
    pub demands: Demands,
    pub(crate) views: BTreeMap<WorkerName, WorkerView>,
    pub(crate) tags: HashMap<WorkerTag, WorkerName>,
    peers: BTreeMap<EntryName, PeerLoad>,
    /// Data centre of each peer that has reported one.
    data_centres: BTreeMap<EntryName, DataCentre>,
}

impl Board {
    /// A board without workers.
    #[must_use]
    pub fn new(local: DataCentre, limits: PlacementLimits) -> Self {
        Self {
            local,
            limits,
            speeds: WorkerSpeeds::default(),
            evidence: None,
            demands: Demands::default(),
            views: BTreeMap::new(),
            tags: HashMap::new(),
            peers: BTreeMap::new(),
            data_centres: BTreeMap::new(),
        }
    }

    /// Records a peer's data centre.
    pub fn note_data_centre(&mut self, peer: &EntryName, data_centre: DataCentre) {
        if self.data_centres.get(peer) != Some(&data_centre) {
            self.data_centres.insert(peer.clone(), data_centre);
        }
    }

    /// A peer's data centre, if the peer has reported it.
    #[must_use]
    pub fn data_centre_of(&self, peer: &EntryName) -> Option<&DataCentre> {
        self.data_centres.get(peer)
    }

    /// Applies the catalog and returns the changes of workers.
    ///
    /// A worker that left keeps its view while this daemon has runs there, but gets
    /// nothing new. A worker that restarted under the same id gets a new view: the
    /// recorded runs, failures and speed belong to its previous incarnation. If they
    /// were kept, requests would be held back although all slots are free.
    pub fn apply_catalog(&mut self, catalog: &Catalog) -> Vec<(WorkerName, WorkerChange)> {
        let listed: BTreeMap<&WorkerName, &WorkerRecord> =
            catalog.workers().map(|r| (&r.id, r)).collect();
        let mut changes = Vec::new();
        for (id, view) in &mut self.views {
            if !listed.contains_key(id) && !std::mem::replace(&mut view.left, true) {
                view.record.state = WorkerState::Draining;
                changes.push((id.clone(), WorkerChange::Left));
            }
        }
        self.views.retain(|_, s| !s.left || s.own.total() > 0);
        for (id, record) in listed {
            if let Some(change) = self.update_listed(record) {
                changes.push((id.clone(), change));
            }
        }
        let views = self.views.iter();
        self.tags = views.map(|(id, s)| (s.tag(), id.clone())).collect();
        if let Some(evidence) = &mut self.evidence {
            evidence.retain(|tag| self.tags.contains_key(&tag));
        }
        self.sum_peers();
        changes
    }

    /// The worker and incarnation that a tag identifies, if known.
    #[must_use]
    pub fn worker_by_tag(&self, tag: WorkerTag) -> Option<(&WorkerName, Option<Boot>)> {
        let id = self.tags.get(&tag)?;
        Some((id, self.views.get(id)?.record.boot))
    }

    /// Applies the catalog record of one worker.
    fn update_listed(&mut self, record: &WorkerRecord) -> Option<WorkerChange> {
        let Some(view) = self.views.get_mut(&record.id) else {
            let view = WorkerView::new(record.clone());
            self.views.insert(record.id.clone(), view);
            return Some(WorkerChange::Listed(record.state));
        };
        if view.record.boot != record.boot
            || differ(view.record.version.as_ref(), record.version.as_ref())
        {
            *view = WorkerView::new(record.clone());
            self.speeds.forget(&record.id);
            return Some(WorkerChange::Restarted(record.state));
        }
        let returned = std::mem::replace(&mut view.left, false);
        let changed = returned || view.record.state != record.state;
        view.record = record.clone();
        changed.then_some(WorkerChange::Listed(record.state))
    }

    /// The views of all workers.
    pub fn worker_views(&self) -> impl Iterator<Item = &WorkerView> {
        self.views.values()
    }

    /// The view of one worker.
    #[must_use]
    pub fn worker_view(&self, id: &WorkerName) -> Option<&WorkerView> {
        self.views.get(id)
    }

    /// The version of a worker's software, if known.
    #[must_use]
    pub fn version_of(&self, id: &WorkerName) -> Option<&WorkerVersion> {
        self.views.get(id)?.record.version.as_ref()
    }

    /// The version of the worker that a run was sent to, as far as it is known by now.
    #[must_use]
    pub fn version_of_run(&self, ticket: &Ticket) -> Option<WorkerVersion> {
        let listed = || {
            let record = &self.views.get(&ticket.worker)?.record;
            let is_same = is_same_incarnation(record, ticket);
            record.version.clone().filter(|_| is_same)
        };
        ticket.version.clone().or_else(listed)
    }

    /// Workers of a service that accept new work.
    pub fn ready_workers<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkerView> {
        self.views
            .values()
            .filter(move |s| &*s.record.service == service && s.record.state == WorkerState::Ready)
    }

    /// Whether a worker of this version of the service accepts new work.
    #[must_use]
    pub fn has_ready_version(&self, service: &str, version: &WorkerVersion) -> bool {
        let mut ready = self.ready_workers(service);
        ready.any(|s| s.record.version.as_ref() == Some(version))
    }

    /// Counts a new run at a worker.
    pub fn start(&mut self, worker: &WorkerName, class: Class) -> Ticket {
        let (mut boot, mut version) = (None, None);
        if let Some(view) = self.views.get_mut(worker) {
            boot = view.record.boot;
            version.clone_from(&view.record.version);
            match class {
                Class::Online => view.own.online += 1,
                Class::Batch => view.own.batch += 1,
            }
            view.breaker.note_sent();
        }
        Ticket {
            worker: worker.clone(),
            boot,
            version,
            class,
        }
    }

    /// The view of a run's worker, if the worker is still in the incarnation that the
    /// run was sent to.
    ///
    /// Events and failures of runs at a previous incarnation must neither count against
    /// the current one nor in its favour.
    fn current_view(&mut self, ticket: &Ticket) -> Option<&mut WorkerView> {
        let view = self.views.get_mut(&ticket.worker)?;
        is_same_incarnation(&view.record, ticket).then_some(view)
    }

    /// Whether a run's worker has restarted since the run was sent there.
    #[must_use]
    pub fn is_from_previous_incarnation(&self, ticket: &Ticket) -> bool {
        let view = self.views.get(&ticket.worker);
        view.is_some_and(|s| !is_same_incarnation(&s.record, ticket))
    }

    /// Removes an ended run from the counts.
    pub fn end(&mut self, ticket: &Ticket) {
        let Some(view) = self.current_view(ticket) else {
            return;
        };
        let count = match ticket.class {
            Class::Online => &mut view.own.online,
            Class::Batch => &mut view.own.batch,
        };
        *count = count.saturating_sub(1);
        view.breaker.probe_ended();
    }

    /// Records that a run produced an event or a whole answer.
    pub fn succeeded(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(view) = self.current_view(ticket) {
            view.breaker.succeeded();
            view.last_event_at = now;
        }
    }

    /// Records the interval between two events of a run.
    pub fn note_interval(&mut self, ticket: &Ticket, interval: Duration, now: Moment) {
        if self.current_view(ticket).is_some() {
            self.speeds.note_interval(&ticket.worker, interval, now);
        }
    }

    /// Records a failure of a run that counts against its worker.
    pub fn failed(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(view) = self.current_view(ticket) {
            view.breaker.failed(now);
        }
    }

    /// Records that a worker failed a batch item.
    ///
    /// The fault may lie in the item, which then fails everywhere. The failure counts
    /// against the worker only if no run of this daemon there has produced an event
    /// recently.
    pub fn failed_item(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(view) = self.current_view(ticket)
            && (view.last_event_at + HEALTHY_AFTER_EVENT).is_past(now)
        {
            view.breaker.failed(now);
        }
    }

    /// Replaces a peer's load unless a newer report is already known.
    pub fn hear(&mut self, peer: &EntryName, load: PeerLoad) {
        let known = self.peers.get(peer).map_or(0, |p| p.sequence);
        if load.sequence <= known {
            return;
        }
        // Updates only this peer's share: with hundreds of peers, recomputing all sums
        // for each report would take most of a small core.
        let before = self.peers.remove(peer);
        for (id, runs) in before.into_iter().flat_map(|b| b.running) {
            if let Some(view) = view_for_peer_run(&mut self.views, &id, runs.boot) {
                view.peers.online = view.peers.online.saturating_sub(runs.running.online);
                view.peers.batch = view.peers.batch.saturating_sub(runs.running.batch);
            }
        }
        self.add_peer(&load);
        self.peers.insert(peer.clone(), load);
    }

    /// Stops counting the runs of peers whose report has expired: a daemon's runs end
    /// with it or soon after.
    pub fn evict_expired_peers(&mut self, now: Moment) {
        let before = self.peers.len();
        self.peers.retain(|_, load| !load.expires_at.is_past(now));
        self.data_centres
            .retain(|peer, _| self.peers.contains_key(peer));
        self.demands
            .retain_peers(|peer| self.peers.contains_key(peer));
        if self.peers.len() != before {
            self.sum_peers();
        }
    }

    /// Notes which workers have slots that batch items may use and do not. A slot that
    /// stays free passes to another daemon.
    pub fn note_free_slots(&mut self, now: Moment) {
        if !self.demands.is_due(now) {
            return;
        }
        let mut demands = std::mem::take(&mut self.demands);
        if demands.has_own() || self.peers_with_items().next().is_some() {
            demands.note_free(self.limits, self.views.values(), now);
        } else {
            demands.clear_free();
        }
        self.demands = demands;
    }

    /// Peers that have batch items waiting.
    pub fn peers_with_items(&self) -> impl Iterator<Item = &EntryName> {
        let waiting = self.peers.iter().filter(|(_, load)| load.waiting > 0);
        waiting.map(|(name, _)| name)
    }

    /// This daemon's runs at each worker that has any, with the worker's current
    /// incarnation.
    pub fn own(&self) -> impl Iterator<Item = (&WorkerName, Option<Boot>, Running)> {
        self.views
            .iter()
            .filter(|(_, s)| s.own.total() > 0)
            .map(|(id, s)| (id, s.record.boot, s.own))
    }

    fn sum_peers(&mut self) {
        for view in self.views.values_mut() {
            view.peers = Running::default();
        }
        let peers = std::mem::take(&mut self.peers);
        for load in peers.values() {
            self.add_peer(load);
        }
        self.peers = peers;
    }

    fn add_peer(&mut self, load: &PeerLoad) {
        for (id, runs) in &load.running {
            if let Some(view) = view_for_peer_run(&mut self.views, id, runs.boot) {
                view.peers.online += runs.running.online;
                view.peers.batch += runs.running.batch;
            }
        }
    }
}

/// Whether two versions are known and differ.
fn differ(one: Option<&WorkerVersion>, other: Option<&WorkerVersion>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

/// Whether a run was sent to the listed incarnation of its worker.
fn is_same_incarnation(record: &WorkerRecord, ticket: &Ticket) -> bool {
    record.boot == ticket.boot && !differ(record.version.as_ref(), ticket.version.as_ref())
}

/// The view of the worker at which a peer's runs are counted; none if the worker has
/// restarted, as those runs no longer exist. The peer may not know of the restart yet.
fn view_for_peer_run<'a>(
    views: &'a mut BTreeMap<WorkerName, WorkerView>,
    id: &WorkerName,
    boot: Option<Boot>,
) -> Option<&'a mut WorkerView> {
    views.get_mut(id).filter(|s| s.record.boot == boot)
}
