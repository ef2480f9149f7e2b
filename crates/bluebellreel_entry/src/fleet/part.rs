//! The part that brings manifests into force.

use crate::parts::Parts;
use bluebellreel_fleet::{AcceptedManifest, Applied, Manifest};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_types::{Moment, WorkerName};
use crossbeam_channel::Sender;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

/// Between two repairs of side processes that are behind.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// The manifest in force, for threads that serve callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedManifest(Arc<RwLock<Arc<Manifest>>>);

impl SharedManifest {
    /// The manifest in force; an empty one before the first.
    pub(crate) fn get(&self) -> Arc<Manifest> {
        self.0.read().map(|m| m.clone()).unwrap_or_default()
    }

    fn set(&self, manifest: Arc<Manifest>) {
        if let Ok(mut current) = self.0.write() {
            *current = manifest;
        }
    }
}

/// What reaches the fleet part.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A manifest that was accepted.
    Offered(AcceptedManifest),
    /// What is in force is asked for.
    SummaryAsked(Sender<FleetSummary>),
}

/// What is in force where.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct FleetSummary {
    /// The generation in force here.
    pub(crate) generation: u64,
    /// Workers connected here.
    pub(crate) workers: usize,
    /// Workers that have it in force.
    pub(crate) in_force: usize,
    /// Workers that do not.
    pub(crate) behind: Vec<WorkerName>,
}

/// Brings manifests into force.
pub(crate) struct FleetPart {
    parts: Parts,
    applied: Applied,
    shared: SharedManifest,
    workers: BTreeMap<WorkerName, u64>,
    repair_at: Moment,
}

impl FleetPart {
    pub(crate) fn new(parts: Parts, shared: SharedManifest) -> Self {
        Self {
            parts,
            applied: Applied::default(),
            shared,
            workers: BTreeMap::new(),
            repair_at: Moment(0),
        }
    }

    /// Tells side processes that are behind again: a message may be lost.
    pub(crate) fn tick(&mut self) {
        let now = self.parts.clock.now();
        if !self.repair_at.is_past(now) {
            return;
        }
        self.repair_at = now + REPAIR_PERIOD;
        let generation = self.applied.generation();
        for (worker, applied) in &self.workers {
            if *applied < generation {
                self.configure(worker);
            }
        }
    }

    fn configure(&self, worker: &WorkerName) {
        let Some(current) = self.applied.current() else {
            return;
        };
        self.parts.send(EntryCommand::Configure {
            worker: worker.clone(),
            generation: current.generation,
            manifest: current.text.clone(),
        });
    }

    /// Takes a manifest in, or tells what is in force.
    pub(crate) fn on_message(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Offered(accepted) => self.offer(accepted),
            FleetMessage::SummaryAsked(answer) => {
                answer.send(self.summary()).ok();
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
        self.parts.metrics.generation.set(shown);
        for worker in self.workers.keys() {
            self.configure(worker);
        }
    }

    pub(crate) fn on_notice(&mut self, notice: EntryNotice) {
        match notice {
            EntryNotice::Connected(hello) => {
                self.workers.insert(hello.worker.clone(), 0);
                self.configure(&hello.worker);
            }
            EntryNotice::Lost(worker) => {
                self.workers.remove(&worker);
            }
            EntryNotice::Applied { worker, generation } => {
                if let Some(applied) = self.workers.get_mut(&worker) {
                    *applied = generation;
                }
            }
            _ => {}
        }
        let connected = i64::try_from(self.workers.len()).unwrap_or(i64::MAX);
        self.parts.metrics.workers.set(connected);
    }

    fn summary(&self) -> FleetSummary {
        let generation = self.applied.generation();
        let behind: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, applied)| **applied < generation)
            .map(|(worker, _)| worker.clone())
            .collect();
        FleetSummary {
            generation,
            workers: self.workers.len(),
            in_force: self.workers.len() - behind.len(),
            behind,
        }
    }
}
