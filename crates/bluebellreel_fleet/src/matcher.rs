//! Reconciliation of the models loaded by workers with the manifest.
//!
//! One matcher is active in each data centre, the one that holds the lease. It
//! orders loads through the side processes, only a few at one time, since the weight
//! store is rate-limited. A worker keeps serving the old version until the new one
//! is loaded. A failed load is retried later and does not delay others.

use crate::Manifest;
use bluebellreel_types::{DataCentre, Moment, WorkerName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of loads in progress at one time.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Time after which a load without an answer no longer counts as in progress.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);
/// Backoff after the first failure of a load; doubled with each further failure.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff of a failed load.
const MAX_BACKOFF: Duration = Duration::from_mins(5);

/// A model in a certain version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadedModel {
    /// The model's name.
    pub name: Arc<str>,
    /// The model's version.
    pub version: Arc<str>,
}

/// A worker as known to the matcher.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The worker's data centre.
    pub data_centre: DataCentre,
    /// The models that it has loaded.
    pub loaded: BTreeSet<LoadedModel>,
    /// Whether the worker is draining.
    pub leaving: bool,
}

/// An order to load a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The model to load.
    pub model: LoadedModel,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Moment,
}

/// The loads in progress and the failed ones.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    in_progress: BTreeMap<LoadOrder, Moment>,
    failures: BTreeMap<LoadOrder, Failure>,
}

impl Matcher {
    /// The loads that failed and will be retried.
    #[must_use]
    pub fn failed(&self) -> Vec<LoadOrder> {
        self.failures.keys().cloned().collect()
    }

    /// Records whether a load succeeded.
    pub fn note_end(&mut self, order: &LoadOrder, loaded: bool, now: Moment) {
        self.in_progress.remove(order);
        if loaded {
            self.failures.remove(order);
            return;
        }
        let count = self.failures.get(order).map_or(0, |f| f.count) + 1;
        let backoff = (MIN_BACKOFF * (1 << (count - 1).min(10))).min(MAX_BACKOFF);
        let retry_at = now + backoff;
        self.failures
            .insert(order.clone(), Failure { count, retry_at });
    }

    /// The load orders to send at `now`; they count as in progress afterwards.
    pub fn next_orders(
        &mut self,
        manifest: &Manifest,
        data_centre: &DataCentre,
        workers: &BTreeMap<WorkerName, WorkerView>,
        now: Moment,
    ) -> Vec<LoadOrder> {
        self.in_progress.retain(|_, until| !until.is_past(now));
        let missing = missing_loads(manifest, data_centre, workers);
        self.failures.retain(|order, _| missing.contains(order));
        let mut orders = Vec::new();
        for order in missing {
            if self.in_progress.len() >= MAX_CONCURRENT_LOADS {
                break;
            }
            let is_backing_off = self
                .failures
                .get(&order)
                .is_some_and(|f| !f.retry_at.is_past(now));
            // Each worker loads one model at a time.
            let busy = self.in_progress.keys().any(|o| o.worker == order.worker);
            if is_backing_off || busy {
                continue;
            }
            self.in_progress.insert(order.clone(), now + LOAD_TIMEOUT);
            orders.push(order);
        }
        orders
    }
}

/// The loads that are still needed to match the manifest. For each model, workers
/// that have it in the manifest's version are chosen first, then those that have it in
/// any version, then those with the fewest models.
fn missing_loads(
    manifest: &Manifest,
    data_centre: &DataCentre,
    workers: &BTreeMap<WorkerName, WorkerView>,
) -> Vec<LoadOrder> {
    let mut missing = Vec::new();
    for spec in &manifest.models {
        let Some(replicas) = spec.replicas.get(data_centre) else {
            continue;
        };
        let model = LoadedModel {
            name: spec.name.0.clone(),
            version: spec.version.clone(),
        };
        let mut candidates: Vec<_> = workers
            .iter()
            .filter(|(_, w)| w.data_centre == *data_centre && !w.leaving)
            .collect();
        candidates.sort_by_key(|(name, worker)| {
            let has_version = worker.loaded.contains(&model);
            let has_model = worker.loaded.iter().any(|m| m.name == model.name);
            (
                !has_version,
                !has_model,
                worker.loaded.len(),
                (*name).clone(),
            )
        });
        let chosen = candidates.into_iter().take(*replicas as usize);
        let missing_workers = chosen.filter(|(_, worker)| !worker.loaded.contains(&model));
        missing.extend(missing_workers.map(|(worker, _)| LoadOrder {
            worker: worker.clone(),
            model: model.clone(),
        }));
    }
    missing
}

#[cfg(test)]
mod tests {
    use super::*;

    fn manifest(version: &str) -> Manifest {
        let text = format!(
            "[[models]]\nname = \"m\"\nversion = \"{version}\"\nreplicas = {{ Sligo = 3 }}\n"
        );
        Manifest::try_from(text.as_str()).expect("valid")
    }

    fn fleet(versions: &[&str]) -> BTreeMap<WorkerName, WorkerView> {
        let view = |version: &str| WorkerView {
            data_centre: DataCentre::from("Sligo"),
            loaded: BTreeSet::from([LoadedModel {
                name: Arc::from("m"),
                version: Arc::from(version),
            }]),
            leaving: false,
        };
        versions
            .iter()
            .enumerate()
            .map(|(n, v)| (WorkerName::from(format!("w{n}")), view(v)))
            .collect()
    }

    fn names(orders: &[LoadOrder]) -> Vec<&str> {
        orders.iter().map(|o| o.worker.as_str()).collect()
    }

    #[test]
    fn loads_are_limited_and_matching_workers_get_no_orders() {
        let mut matcher = Matcher::default();
        let here = DataCentre::from("Sligo");
        let workers = fleet(&["1", "2", "1", "1"]);
        let now = Moment(0);
        let orders = matcher.next_orders(&manifest("2"), &here, &workers, now);
        assert_eq!(names(&orders), ["w0", "w2"], "w1 counts as one of three");
        assert!(
            matcher
                .next_orders(&manifest("2"), &here, &workers, now)
                .is_empty()
        );
    }

    /// A load fails repeatedly. It must be retried with increasing backoff and listed
    /// as failed, while the other worker's load continues.
    #[test]
    fn failed_load_backs_off_without_delaying_others() {
        let mut matcher = Matcher::default();
        let here = DataCentre::from("Sligo");
        let workers = fleet(&["1", "1"]);
        let orders = matcher.next_orders(&manifest("2"), &here, &workers, Moment(0));
        assert_eq!(names(&orders), ["w0", "w1"]);
        matcher.note_end(&orders[0], false, Moment(0));
        assert_eq!(matcher.failed(), orders[..1]);
        assert!(
            matcher
                .next_orders(&manifest("2"), &here, &workers, Moment(0))
                .is_empty()
        );
        let later = Moment(0) + MIN_BACKOFF;
        let again = matcher.next_orders(&manifest("2"), &here, &workers, later);
        assert_eq!(names(&again), ["w0"]);
        matcher.note_end(&orders[0], false, later);
        let soon = later + MIN_BACKOFF;
        assert!(
            matcher
                .next_orders(&manifest("2"), &here, &workers, soon)
                .is_empty()
        );
    }

    #[test]
    fn leaving_workers_and_other_data_centres_get_no_orders() {
        let mut matcher = Matcher::default();
        let mut workers = fleet(&["1", "1"]);
        for worker in workers.values_mut().take(1) {
            worker.leaving = true;
        }
        let galway = DataCentre::from("Galway");
        assert!(
            matcher
                .next_orders(&manifest("2"), &galway, &workers, Moment(0))
                .is_empty()
        );
        let sligo = DataCentre::from("Sligo");
        let orders = matcher.next_orders(&manifest("2"), &sligo, &workers, Moment(0));
        assert_eq!(names(&orders), ["w1"]);
    }
}
