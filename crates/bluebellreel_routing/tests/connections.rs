//! The workers that a daemon connects to as the fleet grows and changes.

use bluebellreel_routing::{
    ConnectionLimits, ConnectionNeeds, ConnectionPlan, ConnectionPlanner, Listing,
};
use bluebellreel_types::{DataCentre, ModelName, Moment, WorkerName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeSet;
use std::time::Duration;

const MODELS: usize = 38;

/// A fleet of workers in 16 data centres with one model each.
struct Fleet {
    count: usize,
    now: Moment,
    reach: ConnectionPlanner,
    connected: BTreeSet<WorkerName>,
    needs: ConnectionNeeds,
}

fn worker(number: usize) -> WorkerName {
    WorkerName::from(format!("worker-{number}"))
}

fn centre(number: usize) -> DataCentre {
    DataCentre::from(format!("dc-{}", number % 16))
}

fn model_of(worker: &WorkerName) -> ModelName {
    let number: usize = worker.as_str()["worker-".len()..]
        .parse()
        .expect("a number");
    ModelName::from(format!("model-{}", number / 16 % MODELS))
}

impl Fleet {
    fn new(count: usize, entry_key: u64) -> Self {
        let mut reach = ConnectionPlanner::new(ConnectionLimits::default(), entry_key, centre(3));
        reach.list(listings(0..count));
        let models = (0..MODELS).map(|n| ModelName::from(format!("model-{n}")));
        Self {
            count,
            now: Moment(1_000_000),
            reach,
            connected: BTreeSet::new(),
            needs: ConnectionNeeds {
                models: models.collect(),
                ..ConnectionNeeds::default()
            },
        }
    }

    /// Makes a plan and connects accordingly; each connection reveals the worker's
    /// model.
    fn replan(&mut self) -> ConnectionPlan {
        self.now = self.now + Duration::from_millis(500);
        let plan = self.reach.plan(&self.needs, self.now);
        for worker in &plan.workers {
            let models = [model_of(worker)];
            self.reach.note_models(worker, models, self.now);
        }
        self.connected.clone_from(&plan.workers);
        plan
    }

    fn plan_until_complete(&mut self) {
        for _ in 0..self.count {
            if !self.replan().is_short {
                break;
            }
        }
        self.replan();
    }

    fn connected_for(&self, model: &ModelName) -> usize {
        let serving = self.connected.iter().filter(|w| model_of(w) == *model);
        serving.count()
    }
}

fn listings(numbers: impl Iterator<Item = usize>) -> Vec<Listing> {
    let listing = |number| Listing {
        worker: worker(number),
        data_centre: centre(number),
    };
    numbers.map(listing).collect()
}

#[test]
fn small_site_is_fully_connected_at_once() {
    let mut fleet = Fleet::new(12, 1);
    let plan = fleet.replan();
    assert_eq!(plan.workers.len(), 12);
    assert!(!plan.is_short);
}

/// With 1,900 workers a daemon held 1,900 connections, which cost 19 % of a core for
/// control traffic alone. The number of connections must depend on the number of models
/// only.
#[test]
fn connections_stay_flat_as_workers_grow() {
    let mut counts = Vec::new();
    for count in [950, 1_900, 3_800] {
        let mut fleet = Fleet::new(count, 1);
        fleet.plan_until_complete();
        for model in &fleet.needs.models {
            assert!(fleet.connected_for(model) >= 8, "{model} of {count}");
        }
        counts.push(fleet.connected.len());
    }
    assert!(
        counts.iter().all(|count| *count <= MODELS * 8 + 16),
        "{counts:?}"
    );
}

/// Daemons of one data centre must connect to the same local workers, so that requests
/// with the same prefix reach the same engine through any of them; their remote workers
/// differ.
#[test]
fn daemons_of_a_data_centre_agree_on_near_workers() {
    let local = |fleet: &Fleet| -> BTreeSet<WorkerName> {
        let near = |w: &&WorkerName| {
            listings(0..1_900)
                .iter()
                .any(|l| l.worker == **w && l.data_centre == centre(3))
        };
        fleet.connected.iter().filter(near).cloned().collect()
    };
    let (mut one, mut other) = (Fleet::new(1_900, 1), Fleet::new(1_900, 2));
    one.plan_until_complete();
    other.plan_until_complete();
    assert_eq!(local(&one), local(&other));
    assert_ne!(one.connected, other.connected);
}

/// A job of 64,000 items must not be limited to the few workers that online requests
/// need.
#[test]
fn job_connects_to_all_workers_of_its_model_and_releases_them_after() {
    let mut fleet = Fleet::new(1_900, 1);
    fleet.plan_until_complete();
    let model = ModelName::from("model-5");
    fleet.needs.batch.insert(model.clone());
    for _ in 0..200 {
        fleet.replan();
    }
    let all = (0..1_900)
        .filter(|n| model_of(&worker(*n)) == model)
        .count();
    assert_eq!(fleet.connected_for(&model), all);
    fleet.needs.batch.clear();
    fleet.replan();
    assert!(fleet.connected_for(&model) < 20);
}

/// Closing a connection interrupts the work that uses it.
#[test]
fn busy_worker_is_kept_and_the_matcher_sees_its_data_centre() {
    let mut fleet = Fleet::new(1_900, 1);
    fleet.plan_until_complete();
    let far = (0..1_900)
        .map(worker)
        .find(|w| !fleet.connected.contains(w));
    let far = far.expect("most are not connected");
    fleet.needs.busy.insert(far.clone());
    assert!(fleet.replan().workers.contains(&far));
    fleet.needs.all_local = true;
    let plan = fleet.replan();
    let near = listings(0..1_900)
        .into_iter()
        .filter(|l| l.data_centre == centre(3));
    for listing in near {
        assert!(plan.workers.contains(&listing.worker));
    }
}

/// A worker was given another model while no daemon was connected to it. Periodic
/// background probes must eventually find the new model.
#[test]
fn worker_that_changed_its_model_is_found_again() {
    let mut fleet = Fleet::new(200, 1);
    let moved = (0..200).map(worker).next_back().expect("some");
    fleet
        .reach
        .note_models(&moved, [ModelName::from("old")], fleet.now);
    fleet.plan_until_complete();
    fleet.now = fleet.now + ConnectionLimits::default().models_ttl;
    let mut probed = false;
    for _ in 0..250 {
        probed |= fleet.replan().workers.contains(&moved);
    }
    assert!(probed);
}

/// A daemon that starts while the key-value service is down has no manifest. It must
/// discover which models the workers serve and connect accordingly.
#[test]
fn daemon_without_a_manifest_finds_what_is_served() {
    let mut fleet = Fleet::new(1_900, 1);
    let models = std::mem::take(&mut fleet.needs.models);
    fleet.plan_until_complete();
    for model in &models {
        assert!(fleet.connected_for(model) >= 8, "{model}");
    }
}

/// For any listed, unreachable or busy workers: busy workers stay connected, unlisted
/// ones are not connected, and the limit on connections holds.
#[test]
fn plans_keep_their_bounds() {
    let config = Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec((0_usize..400, 0_u8..4), 1..80);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut fleet = Fleet::new(400, 9);
        let mut gone = BTreeSet::new();
        for (number, kind) in steps {
            match kind {
                0 => {
                    gone.insert(number);
                    fleet.needs.busy.remove(&worker(number));
                    fleet
                        .reach
                        .list(listings((0..400).filter(|n| !gone.contains(n))));
                }
                1 => fleet.reach.note_unreachable(&worker(number), fleet.now),
                2 if !gone.contains(&number) => {
                    fleet.needs.busy.insert(worker(number));
                }
                _ => {
                    fleet.needs.busy.remove(&worker(number));
                }
            }
            let plan = fleet.replan();
            prop_assert!(fleet.needs.busy.is_subset(&plan.workers));
            prop_assert!(gone.iter().all(|n| !plan.workers.contains(&worker(*n))));
            let most = MODELS * 8 + 16 + fleet.needs.busy.len();
            prop_assert!(plan.workers.len() <= most);
        }
        Ok(())
    });
    run.expect("the limits hold for all steps");
}
