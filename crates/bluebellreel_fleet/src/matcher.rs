//! What has to be ordered so that the workers match the manifest.
//!
//! One matcher works in each data centre, by lease. It orders loads through
//! the side processes, few at one time, since the weight store is rate-limited.
//! A worker goes on serving the old version until the new one is there; a load
//! that failed is tried again later and holds up no other.

use crate::Manifest;
use bluebellreel_types::{DataCentre, Moment, WorkerName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Loads in progress at one time.
const AT_ONCE: usize = 2;
/// Longest time that a load is waited for.
const LOAD_TIME: Duration = Duration::from_mins(10);
/// First pause after a failed load; doubled at each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_mins(5);

/// A model in a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadedModel {
    /// Its name.
    pub name: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
}

/// A worker as the matcher sees it.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it holds.
    pub loaded: BTreeSet<LoadedModel>,
    /// Whether it leaves.
    pub leaving: bool,
}

/// An order to load a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadOrder {
    /// The worker.
    pub worker: WorkerName,
    /// What it is to load.
    pub model: LoadedModel,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Moment,
}

/// Loads in progress and failed ones.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    in_progress: BTreeMap<LoadOrder, Moment>,
    failures: BTreeMap<LoadOrder, Failure>,
}

impl Matcher {
    /// Loads that failed and are tried again later.
    #[must_use]
    pub fn failed(&self) -> Vec<LoadOrder> {
        self.failures.keys().cloned().collect()
    }

    /// Takes in how a load ended.
    pub fn note_end(&mut self, order: &LoadOrder, loaded: bool, now: Moment) {
        self.in_progress.remove(order);
        if loaded {
            self.failures.remove(order);
            return;
        }
        let count = self.failures.get(order).map_or(0, |f| f.count) + 1;
        let pause = (FIRST_PAUSE * (1 << (count - 1).min(10))).min(LONGEST_PAUSE);
        let retry_at = now + pause;
        self.failures
            .insert(order.clone(), Failure { count, retry_at });
    }

    /// The orders to give now.
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
            if self.in_progress.len() >= AT_ONCE {
                break;
            }
            let waits = self
                .failures
                .get(&order)
                .is_some_and(|f| !f.retry_at.is_past(now));
            // One load at a worker at one time.
            let busy = self.in_progress.keys().any(|o| o.worker == order.worker);
            if waits || busy {
                continue;
            }
            self.in_progress.insert(order.clone(), now + LOAD_TIME);
            orders.push(order);
        }
        orders
    }
}

/// Loads that the manifest asks for and that are not there. Workers that hold
/// the model in any version are taken first, then those that hold the least.
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
        let mut able: Vec<_> = workers
            .iter()
            .filter(|(_, w)| w.data_centre == *data_centre && !w.leaving)
            .collect();
        able.sort_by_key(|(name, worker)| {
            let right = worker.loaded.contains(&model);
            let some = worker.loaded.iter().any(|m| m.name == model.name);
            (!right, !some, worker.loaded.len(), (*name).clone())
        });
        let chosen = able.into_iter().take(*replicas as usize);
        let lacking = chosen.filter(|(_, worker)| !worker.loaded.contains(&model));
        missing.extend(lacking.map(|(worker, _)| LoadOrder {
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
    fn loads_are_paced_and_ones_that_match_are_left_alone() {
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

    /// A load fails again and again. It is tried with growing pauses, is shown,
    /// and the other worker's load goes on meanwhile.
    #[test]
    fn failed_load_waits_and_holds_up_no_other() {
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
        let later = Moment(0) + FIRST_PAUSE;
        let again = matcher.next_orders(&manifest("2"), &here, &workers, later);
        assert_eq!(names(&again), ["w0"]);
        matcher.note_end(&orders[0], false, later);
        let soon = later + FIRST_PAUSE;
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
