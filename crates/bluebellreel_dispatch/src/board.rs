//! The slots of all workers, and who uses them.

use crate::{
    Boot, Catalog, Class, Doubt, PeerLoad, Running, Ticket, WorkerRecord, WorkerSpeeds,
    WorkerState, WorkerTag,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long a worker counts as healthy after an event of a run of ours.
/// Events of one run come some 30 ms apart, and most workers run few of ours.
const HEALTHY_AFTER_EVENT: Duration = Duration::from_millis(500);

/// Bounds of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementLimits {
    /// Slots that batch leaves free, as a share of the online requests that
    /// run.
    pub reserve_percent: u32,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        Self {
            reserve_percent: 10,
        }
    }
}

/// What has become of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// It is new, or in another state than before.
    Listed(WorkerState),
    /// It has started again under its id, and is in this state.
    Restarted(WorkerState),
    /// It left.
    Left,
}

/// One worker with its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// Our own runs there.
    pub own: Running,
    /// Runs of all peers there.
    pub peers: Running,
    /// How far it is trusted.
    pub doubt: Doubt,
    /// When one of our runs there last gave an event.
    pub last_event_at: Moment,
    /// Whether it left the catalog.
    left: bool,
}

impl WorkerView {
    fn new(record: WorkerRecord) -> Self {
        Self {
            record,
            own: Running::default(),
            peers: Running::default(),
            doubt: Doubt::default(),
            last_event_at: Moment::default(),
            left: false,
        }
    }

    /// The short name of its worker's present life.
    fn tag(&self) -> WorkerTag {
        WorkerTag::of(&self.record.id, self.record.boot)
    }

    /// All runs there.
    #[must_use]
    pub fn running(&self) -> Running {
        Running {
            online: self.own.online + self.peers.online,
            batch: self.own.batch + self.peers.batch,
        }
    }

    /// Slots that nothing uses.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.record.slots.saturating_sub(self.running().total())
    }

    /// Runs beyond the slots.
    #[must_use]
    pub fn excess(&self) -> u32 {
        self.running().total().saturating_sub(self.record.slots)
    }
}

/// The slots of all workers, and who uses them.
#[derive(Clone, Debug)]
pub struct Board {
    /// Where this daemon stands.
    pub local: DataCentre,
    /// Bounds.
    pub limits: PlacementLimits,
    /// How fast workers are.
    pub speeds: WorkerSpeeds,
    worker_views: BTreeMap<WorkerName, WorkerView>,
    tags: HashMap<WorkerTag, WorkerName>,
    peers: BTreeMap<EntryName, PeerLoad>,
    /// Where peers stand.
    places: BTreeMap<EntryName, DataCentre>,
}

impl Board {
    /// An empty board.
    #[must_use]
    pub fn new(local: DataCentre, limits: PlacementLimits) -> Self {
        Self {
            local,
            limits,
            speeds: WorkerSpeeds::default(),
            worker_views: BTreeMap::new(),
            tags: HashMap::new(),
            peers: BTreeMap::new(),
            places: BTreeMap::new(),
        }
    }

    /// Notes where a peer stands.
    pub fn note_data_centre(&mut self, peer: &EntryName, place: DataCentre) {
        if self.places.get(peer) != Some(&place) {
            self.places.insert(peer.clone(), place);
        }
    }

    /// Where a peer stands, if it has said so.
    #[must_use]
    pub fn place_of(&self, peer: &EntryName) -> Option<&DataCentre> {
        self.places.get(peer)
    }

    /// Follows the catalog; gives what has become of workers.
    ///
    /// A worker that left keeps its seat while runs of ours are there, but takes
    /// nothing new. One that has started again under its id gets a new seat: its
    /// runs, our doubt and its pace were those of its former life. Kept, they
    /// would hold back requests from slots that are all free.
    pub fn apply_catalog(&mut self, catalog: &Catalog) -> Vec<(WorkerName, WorkerChange)> {
        let listed: BTreeMap<&WorkerName, &WorkerRecord> =
            catalog.workers().map(|r| (&r.id, r)).collect();
        let mut changes = Vec::new();
        for (id, worker_view) in &mut self.worker_views {
            if !listed.contains_key(id) && !std::mem::replace(&mut worker_view.left, true) {
                worker_view.record.state = WorkerState::Draining;
                changes.push((id.clone(), WorkerChange::Left));
            }
        }
        self.worker_views
            .retain(|_, s| !s.left || s.own.total() > 0);
        for (id, record) in listed {
            if let Some(change) = self.seat_listed(record) {
                changes.push((id.clone(), change));
            }
        }
        let worker_views = self.worker_views.iter();
        self.tags = worker_views.map(|(id, s)| (s.tag(), id.clone())).collect();
        self.sum_peers();
        changes
    }

    /// The life of a worker that a tag names, if it is known.
    #[must_use]
    pub fn worker_by_tag(&self, tag: WorkerTag) -> Option<(&WorkerName, Option<Boot>)> {
        let id = self.tags.get(&tag)?;
        Some((id, self.worker_views.get(id)?.record.boot))
    }

    /// Takes over what a listed worker says of itself.
    fn seat_listed(&mut self, record: &WorkerRecord) -> Option<WorkerChange> {
        let Some(worker_view) = self.worker_views.get_mut(&record.id) else {
            let worker_view = WorkerView::new(record.clone());
            self.worker_views.insert(record.id.clone(), worker_view);
            return Some(WorkerChange::Listed(record.state));
        };
        if worker_view.record.boot != record.boot {
            *worker_view = WorkerView::new(record.clone());
            self.speeds.forget(&record.id);
            return Some(WorkerChange::Restarted(record.state));
        }
        let returned = std::mem::replace(&mut worker_view.left, false);
        let changed = returned || worker_view.record.state != record.state;
        worker_view.record = record.clone();
        changed.then_some(WorkerChange::Listed(record.state))
    }

    /// All workers with their load.
    pub fn worker_views(&self) -> impl Iterator<Item = &WorkerView> {
        self.worker_views.values()
    }

    /// One worker with its load.
    #[must_use]
    pub fn worker_view(&self, id: &WorkerName) -> Option<&WorkerView> {
        self.worker_views.get(id)
    }

    /// Workers of a service that take new work.
    pub fn takers<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a WorkerView> {
        self.worker_views
            .values()
            .filter(move |s| &*s.record.service == service && s.record.state == WorkerState::Ready)
    }

    /// Counts a run at a worker.
    pub fn start(&mut self, worker: &WorkerName, class: Class) -> Ticket {
        let mut boot = None;
        if let Some(worker_view) = self.worker_views.get_mut(worker) {
            boot = worker_view.record.boot;
            match class {
                Class::Online => worker_view.own.online += 1,
                Class::Batch => worker_view.own.batch += 1,
            }
            worker_view.doubt.sent();
        }
        Ticket {
            worker: worker.clone(),
            boot,
            class,
        }
    }

    /// The worker of a run, if it still lives the life that the run was sent to.
    ///
    /// What a run tells of a former life must not be held against the present
    /// one, or be counted for it.
    fn seat_of(&mut self, ticket: &Ticket) -> Option<&mut WorkerView> {
        let worker_view = self.worker_views.get_mut(&ticket.worker)?;
        (worker_view.record.boot == ticket.boot).then_some(worker_view)
    }

    /// Whether a run's worker has started again since the run was sent there.
    #[must_use]
    pub fn is_from_previous_incarnation(&self, ticket: &Ticket) -> bool {
        let worker_view = self.worker_views.get(&ticket.worker);
        worker_view.is_some_and(|s| s.record.boot != ticket.boot)
    }

    /// A run is over.
    pub fn end(&mut self, ticket: &Ticket) {
        let Some(worker_view) = self.seat_of(ticket) else {
            return;
        };
        let count = match ticket.class {
            Class::Online => &mut worker_view.own.online,
            Class::Batch => &mut worker_view.own.batch,
        };
        *count = count.saturating_sub(1);
        worker_view.doubt.trial_over();
    }

    /// A run gave an event or a whole answer.
    pub fn succeeded(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(worker_view) = self.seat_of(ticket) {
            worker_view.doubt.succeeded();
            worker_view.last_event_at = now;
        }
    }

    /// Two events of a run came so far apart.
    pub fn note_interval(&mut self, ticket: &Ticket, interval: Duration, now: Moment) {
        if self.seat_of(ticket).is_some() {
            self.speeds.note_interval(&ticket.worker, interval, now);
        }
    }

    /// A run failed in a way that speaks against its worker.
    pub fn failed(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(worker_view) = self.seat_of(ticket) {
            worker_view.doubt.failed(now);
        }
    }

    /// A worker has failed at a batch item.
    ///
    /// The fault may be the item's, which then fails everywhere. It speaks against
    /// the worker only if no run of ours there gives events meanwhile.
    pub fn failed_item(&mut self, ticket: &Ticket, now: Moment) {
        if let Some(worker_view) = self.seat_of(ticket)
            && (worker_view.last_event_at + HEALTHY_AFTER_EVENT).is_past(now)
        {
            worker_view.doubt.failed(now);
        }
    }

    /// Takes a peer's load over, unless a newer one is known.
    pub fn hear(&mut self, peer: &EntryName, load: PeerLoad) {
        let known = self.peers.get(peer).map_or(0, |p| p.sequence);
        if load.sequence <= known {
            return;
        }
        // Only what this peer says changes: with hundreds of peers, summing all
        // of them up anew for each report would take most of a small core.
        let before = self.peers.remove(peer);
        for (id, runs) in before.into_iter().flat_map(|b| b.running) {
            if let Some(worker_view) = peer_seat(&mut self.worker_views, &id, runs.boot) {
                worker_view.peers.online =
                    worker_view.peers.online.saturating_sub(runs.running.online);
                worker_view.peers.batch =
                    worker_view.peers.batch.saturating_sub(runs.running.batch);
            }
        }
        self.add_peer(&load);
        self.peers.insert(peer.clone(), load);
    }

    /// Stops counting peers that were not heard in time: their runs ended with
    /// them, or will.
    pub fn evict_expired_peers(&mut self, now: Moment) {
        let before = self.peers.len();
        self.peers.retain(|_, load| !load.expires_at.is_past(now));
        self.places.retain(|peer, _| self.peers.contains_key(peer));
        if self.peers.len() != before {
            self.sum_peers();
        }
    }

    /// Peers that have batch items waiting.
    pub fn peers_with_items(&self) -> impl Iterator<Item = &EntryName> {
        let waiting = self.peers.iter().filter(|(_, load)| load.waiting > 0);
        waiting.map(|(name, _)| name)
    }

    /// Our own runs at each worker that has any, with the life that it lives.
    pub fn own(&self) -> impl Iterator<Item = (&WorkerName, Option<Boot>, Running)> {
        self.worker_views
            .iter()
            .filter(|(_, s)| s.own.total() > 0)
            .map(|(id, s)| (id, s.record.boot, s.own))
    }

    fn sum_peers(&mut self) {
        for worker_view in self.worker_views.values_mut() {
            worker_view.peers = Running::default();
        }
        let peers = std::mem::take(&mut self.peers);
        for load in peers.values() {
            self.add_peer(load);
        }
        self.peers = peers;
    }

    fn add_peer(&mut self, load: &PeerLoad) {
        for (id, runs) in &load.running {
            if let Some(worker_view) = peer_seat(&mut self.worker_views, id, runs.boot) {
                worker_view.peers.online += runs.running.online;
                worker_view.peers.batch += runs.running.batch;
            }
        }
    }
}

/// The seat that a peer's runs count at. A peer may not know yet that a worker
/// has started again; the runs that it names are gone then.
fn peer_seat<'a>(
    worker_views: &'a mut BTreeMap<WorkerName, WorkerView>,
    id: &WorkerName,
    boot: Option<Boot>,
) -> Option<&'a mut WorkerView> {
    worker_views.get_mut(id).filter(|s| s.record.boot == boot)
}
