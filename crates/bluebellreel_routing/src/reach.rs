//! Which workers a daemon holds connections to.
//!
//! With few workers it is all of them. With many, control traffic must not grow
//! with the fleet: a daemon holds a few for each model, those of its own data
//! centre first and in an order that all daemons there agree on, so that
//! prefixes meet the same engines. Which models a worker serves is learnt by
//! connecting to it; while some model is short of workers, the daemon looks at
//! those it does not know. For a job with waiting items it reaches out to all
//! workers of the job's model.

use crate::rendezvous_score;
use bluebellreel_types::{DataCentre, ModelName, Moment, WorkerName};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bounds of a daemon's reach.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Up to so many workers, all are connected.
    pub full_mesh_limit: usize,
    /// Workers connected for each model beyond that.
    pub per_model: usize,
    /// Unknown workers looked at together while a model is short.
    pub looks: usize,
    /// Unknown workers looked at together while none is.
    pub background_looks: usize,
    /// How long it is remembered what a worker that is not connected serves.
    pub look_again: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            full_mesh_limit: 64,
            per_model: 8,
            looks: 16,
            background_looks: 1,
            look_again: Duration::from_mins(20),
        }
    }
}

/// What is known of a worker.
#[derive(Clone, Debug)]
struct Known {
    models: BTreeSet<ModelName>,
    until: Moment,
}

/// A listed worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The worker.
    pub worker: WorkerName,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// What a daemon needs workers for.
#[derive(Clone, Debug, Default)]
pub struct ConnectionNeeds {
    /// Models and services that callers may ask for.
    pub models: BTreeSet<ModelName>,
    /// Those of jobs with waiting items.
    pub batch: BTreeSet<ModelName>,
    /// Whether all workers of the own data centre are needed: this daemon
    /// matches the fleet there.
    pub all_local: bool,
    /// Workers that hold work of this daemon: their connections stay.
    pub busy: BTreeSet<WorkerName>,
}

/// Workers to be connected to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// The workers.
    pub workers: BTreeSet<WorkerName>,
    /// Whether a model is short of workers while there are some to look at.
    pub is_short: bool,
}

/// A daemon's view of the listed workers.
#[derive(Clone, Debug)]
pub struct ConnectionPlanner {
    limits: ConnectionLimits,
    entry_key: u64,
    local: DataCentre,
    /// In the order in which they are taken.
    ranked: Vec<Listing>,
    known: BTreeMap<WorkerName, Known>,
}

impl ConnectionPlanner {
    /// A daemon that knows no worker yet. `entry_key` is its own number, by
    /// which daemons differ in their choice of far workers.
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

    /// Takes in the VM list.
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

    /// Takes in what a worker serves.
    pub fn note_models(
        &mut self,
        worker: &WorkerName,
        models: impl IntoIterator<Item = ModelName>,
        now: Moment,
    ) {
        let known = Known {
            models: models.into_iter().collect(),
            until: now + self.limits.look_again,
        };
        self.known.insert(worker.clone(), known);
    }

    /// Takes in that a worker could not be reached. What it serves is still
    /// believed; of one never seen, that it serves nothing.
    pub fn note_unreachable(&mut self, worker: &WorkerName, now: Moment) {
        let until = now + self.limits.look_again;
        self.known.entry(worker.clone()).or_insert_with(|| Known {
            models: BTreeSet::new(),
            until,
        });
    }

    fn is_known(&self, worker: &WorkerName, now: Moment) -> bool {
        let known = self.known.get(worker);
        known.is_some_and(|known| !known.until.is_past(now))
    }

    /// Which workers to hold connections to now.
    #[must_use]
    pub fn plan(&self, needs: &ConnectionNeeds, now: Moment) -> ConnectionPlan {
        if self.ranked.len() <= self.limits.full_mesh_limit {
            let workers = self.ranked.iter().map(|l| l.worker.clone()).collect();
            let is_short = false;
            return ConnectionPlan { workers, is_short };
        }
        // Without a manifest, as when the key-value service is down at the
        // start, whatever is found may be asked for.
        let unknown_needs = needs.models.is_empty();
        let found = unknown_needs.then(|| ConnectionNeeds {
            models: self.known_models(),
            ..needs.clone()
        });
        let needs = found.as_ref().unwrap_or(needs);
        let mut workers = self.serving(needs);
        let lacks = unknown_needs || self.lacks_a_model(needs, &workers);
        let mut looks = if lacks {
            self.limits.looks
        } else {
            self.limits.background_looks
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
            is_short |= lacks && unknown && !self.known.contains_key(worker);
            if unknown && looks > 0 && !workers.contains(worker) {
                looks -= 1;
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

    /// Workers known to serve what is needed: a few for each model, all for
    /// one that batch waits for.
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
        // Of a model that batch waits for, all workers are to be found.
        needs.models.iter().any(short) || !needs.batch.is_empty()
    }
}
