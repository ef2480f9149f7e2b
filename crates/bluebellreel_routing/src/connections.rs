//! Selects the workers that a daemon holds connections to.
//!
//! A daemon connects to all workers if there are few. If there are many, control traffic
//! must not grow with the fleet: a daemon then holds connections to a few workers per
//! model. Those of its own data centre come first, in an order that all daemons there
//! share, so that requests with the same prefix reach the same engines. A daemon finds
//! out which models a worker serves by connecting to it; while some model has too few
//! known workers, the daemon probes unknown ones. For a job with waiting items it
//! connects to all workers of the job's model.

use crate::rendezvous_score;
use bluebellreel_types::{DataCentre, ModelName, Moment, WorkerName};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Limits on a daemon's connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Up to this number of workers, all are connected.
    pub full_mesh_limit: usize,
    /// Connected workers per model above that number.
    pub per_model: usize,
    /// Unknown workers probed at the same time while some model has too few workers.
    pub probes: usize,
    /// Unknown workers probed at the same time while no model has too few workers.
    pub background_probes: usize,
    /// How long the models of a worker that is not connected stay known.
    pub models_ttl: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            full_mesh_limit: 64,
            per_model: 8,
            probes: 16,
            background_probes: 1,
            models_ttl: Duration::from_mins(20),
        }
    }
}

/// The models that a worker serves.
#[derive(Clone, Debug)]
struct KnownModels {
    models: BTreeSet<ModelName>,
    until: Moment,
}

/// A worker in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The worker.
    pub worker: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Requirements on a daemon's connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionNeeds {
    /// Models and services that callers may request.
    pub models: BTreeSet<ModelName>,
    /// Models of jobs with waiting items.
    pub batch: BTreeSet<ModelName>,
    /// Whether all workers of the daemon's own data centre are required, as for the
    /// daemon that matches items to workers there.
    pub all_local: bool,
    /// Workers that execute work of this daemon: their connections stay open.
    pub busy: BTreeSet<WorkerName>,
}

/// The workers to connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// The workers.
    pub workers: BTreeSet<WorkerName>,
    /// Whether some model has too few workers while unknown workers remain to be probed.
    pub is_short: bool,
}

/// The listed workers as known to one daemon.
#[derive(Clone, Debug)]
pub struct ConnectionPlanner {
    limits: ConnectionLimits,
    entry_key: u64,
    local: DataCentre,
    /// Workers in order of preference.
    ranked: Vec<Listing>,
    known: BTreeMap<WorkerName, KnownModels>,
}

impl ConnectionPlanner {
    /// A planner without workers. `entry_key` is the daemon's own number, by which
    /// daemons differ in their choice of remote workers.
    #[must_use]
    pub fn new(limits: ConnectionLimits, entry_key: u64, local: DataCentre) -> Self {
        Self {
            limits,
            entry_key,
            local,
            ranked: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    /// Applies the VM list.
    pub fn list(&mut self, listed: Vec<Listing>) {
        let names: BTreeSet<&WorkerName> = listed.iter().map(|l| &l.worker).collect();
        self.known.retain(|worker, _| names.contains(worker));
        self.ranked = listed;
        let (local, entry_key) = (self.local.clone(), self.entry_key);
        self.ranked.sort_by_cached_key(|listing| {
            let is_local = listing.data_centre == local;
            let key = if is_local { 0 } else { entry_key };
            Reverse((is_local, rendezvous_score(key, listing.worker.as_str())))
        });
    }

    /// Records the models that a worker serves.
    pub fn note_models(
        &mut self,
        worker: &WorkerName,
        models: impl IntoIterator<Item = ModelName>,
        now: Moment,
    ) {
        let known = KnownModels {
            models: models.into_iter().collect(),
            until: now + self.limits.models_ttl,
        };
        self.known.insert(worker.clone(), known);
    }

    /// Records that a worker could not be reached. Its known models stay valid; a worker
    /// without known models counts as serving none.
    pub fn note_unreachable(&mut self, worker: &WorkerName, now: Moment) {
        let until = now + self.limits.models_ttl;
        self.known
            .entry(worker.clone())
            .or_insert_with(|| KnownModels {
                models: BTreeSet::new(),
                until,
            });
    }

    fn is_known(&self, worker: &WorkerName, now: Moment) -> bool {
        let known = self.known.get(worker);
        known.is_some_and(|known| !known.until.is_past(now))
    }

    /// Selects the workers to hold connections to, and those to probe.
    #[must_use]
    pub fn plan(&self, needs: &ConnectionNeeds, now: Moment) -> ConnectionPlan {
        if self.ranked.len() <= self.limits.full_mesh_limit {
            let workers = self.ranked.iter().map(|l| l.worker.clone()).collect();
            let is_short = false;
            return ConnectionPlan { workers, is_short };
        }
        // Without a manifest, as when the key-value service is down at startup, any
        // model that a worker serves may be requested.
        let unknown_needs = needs.models.is_empty();
        let found = unknown_needs.then(|| ConnectionNeeds {
            models: self.known_models(),
            ..needs.clone()
        });
        let needs = found.as_ref().unwrap_or(needs);
        let mut workers = self.serving(needs);
        let is_lacking = unknown_needs || self.lacks_a_model(needs, &workers);
        let mut probes = if is_lacking {
            self.limits.probes
        } else {
            self.limits.background_probes
        };
        let mut is_short = false;
        for Listing {
            worker,
            data_centre,
        } in &self.ranked
        {
            let wanted =
                needs.busy.contains(worker) || needs.all_local && *data_centre == self.local;
            let unknown = !self.is_known(worker, now);
            is_short |= is_lacking && unknown && !self.known.contains_key(worker);
            if unknown && probes > 0 && !workers.contains(worker) {
                probes -= 1;
                workers.insert(worker.clone());
            } else if wanted {
                workers.insert(worker.clone());
            }
        }
        ConnectionPlan { workers, is_short }
    }

    fn known_models(&self) -> BTreeSet<ModelName> {
        let known = self.known.values().flat_map(|known| &known.models);
        known.cloned().collect()
    }

    /// Workers that are known to serve the required models: a few per model, or all for
    /// a model with waiting batch items.
    fn serving(&self, needs: &ConnectionNeeds) -> BTreeSet<WorkerName> {
        let mut counts: BTreeMap<&ModelName, usize> = BTreeMap::new();
        let mut workers = BTreeSet::new();
        for Listing { worker, .. } in &self.ranked {
            let Some(known) = self.known.get(worker) else {
                continue;
            };
            let wanted = known.models.iter().any(|model| {
                let count = counts.get(model).copied().unwrap_or(0);
                let few = needs.models.contains(model) && count < self.limits.per_model;
                few || needs.batch.contains(model)
            });
            if wanted {
                workers.insert(worker.clone());
                for model in &known.models {
                    *counts.entry(model).or_default() += 1;
                }
            }
        }
        workers
    }

    fn lacks_a_model(&self, needs: &ConnectionNeeds, workers: &BTreeSet<WorkerName>) -> bool {
        let mut counts: BTreeMap<&ModelName, usize> = BTreeMap::new();
        let known = workers.iter().filter_map(|worker| self.known.get(worker));
        for model in known.flat_map(|known| &known.models) {
            *counts.entry(model).or_default() += 1;
        }
        let short =
            |model: &ModelName| counts.get(model).copied().unwrap_or(0) < self.limits.per_model;
        // All workers of a model with waiting batch items have to be found.
        needs.models.iter().any(short) || !needs.batch.is_empty()
    }
}
