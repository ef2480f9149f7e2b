//! The actor that brings manifests into force.

use crate::parts::Parts;
use bluebellreel_fleet::{AcceptedManifest, Applied, Manifest};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_types::WorkerName;
use crossbeam_channel::Sender;
use serde::Serialize;
use stakker::{CX, after};
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

/// What reaches the fleet actor.
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
pub(crate) struct FleetActor {
    parts: Parts,
    applied: Applied,
    shared: SharedManifest,
    workers: BTreeMap<WorkerName, u64>,
}

impl FleetActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "stakker wants an option from init"
    )]
    pub(crate) fn init(cx: CX![], parts: Parts, shared: SharedManifest) -> Option<Self> {
        after!(REPAIR_PERIOD, [cx], repair());
        Some(Self {
            parts,
            applied: Applied::default(),
            shared,
            workers: BTreeMap::new(),
        })
    }

    /// Tells side processes that are behind again: a message may be lost.
    fn repair(&mut self, cx: CX![]) {
        after!(REPAIR_PERIOD, [cx], repair());
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

    /// Takes a manifest in; the one to bring into force elsewhere, if it is
    /// newer.
    pub(crate) fn on_message(&mut self, _: CX![], message: FleetMessage) {
        match message {
            FleetMessage::Offered(accepted) => self.offer(accepted),
            FleetMessage::SummaryAsked(answer) => {
                answer.send(self.summary()).ok();
            }
        }
    }

    /// The manifest in force.
    pub(crate) fn manifest(&mut self, _: CX![]) -> Arc<Manifest> {
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

    pub(crate) fn on_notice(&mut self, _: CX![], notice: EntryNotice) {
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
