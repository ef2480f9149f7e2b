//! Which workers a daemon connects to, as the fleet grows and changes.

use bluebellreel_routing::{
    ConnectionLimits, ConnectionNeeds, ConnectionPlan, ConnectionPlanner, Listing,
};
use bluebellreel_types::{DataCentre, ModelName, Moment, WorkerName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::collections::BTreeSet;
use std::time::Duration;

const MODELS: usize = 38;

/// A fleet of workers, spread over 16 data centres, one model each.
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

    /// One look: connects as planned; connections tell what they serve.
    fn turn(&mut self) -> ConnectionPlan {
        self.now = self.now + Duration::from_millis(500);
        let plan = self.reach.plan(&self.needs, self.now);
        for worker in &plan.workers {
            let models = [model_of(worker)];
            self.reach.note_models(worker, models, self.now);
        }
        self.connected.clone_from(&plan.workers);
        plan
    }

    fn settle(&mut self) {
        for _ in 0..self.count {
            if !self.turn().is_short {
                break;
            }
        }
        self.turn();
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
fn small_site_is_reached_whole_at_once() {
    let mut fleet = Fleet::new(12, 1);
    let plan = fleet.turn();
    assert_eq!(plan.workers.len(), 12);
    assert!(!plan.is_short);
}

/// With 1,900 workers a daemon held 1,900 connections: 19 % of a core for
/// control alone. Now it holds a few for each model, however many there are.
#[test]
fn connections_stay_flat_as_workers_grow() {
    let mut counts = Vec::new();
    for count in [950, 1_900, 3_800] {
        let mut fleet = Fleet::new(count, 1);
        fleet.settle();
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

/// Daemons of one data centre take the same workers there, so that prefixes
/// find their engine through any of them; far ones they take each their own.
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
    one.settle();
    other.settle();
    assert_eq!(local(&one), local(&other));
    assert_ne!(one.connected, other.connected);
}

/// A job of 64,000 items must not crawl on the few workers that online needs.
#[test]
fn job_reaches_all_workers_of_its_model_and_lets_them_go_after() {
    let mut fleet = Fleet::new(1_900, 1);
    fleet.settle();
    let model = ModelName::from("model-5");
    fleet.needs.batch.insert(model.clone());
    for _ in 0..200 {
        fleet.turn();
    }
    let all = (0..1_900)
        .filter(|n| model_of(&worker(*n)) == model)
        .count();
    assert_eq!(fleet.connected_for(&model), all);
    fleet.needs.batch.clear();
    fleet.turn();
    assert!(fleet.connected_for(&model) < 20);
}

/// Closing a connection breaks what runs over it.
#[test]
fn busy_worker_is_kept_and_the_matcher_sees_its_data_centre() {
    let mut fleet = Fleet::new(1_900, 1);
    fleet.settle();
    let far = (0..1_900)
        .map(worker)
        .find(|w| !fleet.connected.contains(w));
    let far = far.expect("most are not connected");
    fleet.needs.busy.insert(far.clone());
    assert!(fleet.turn().workers.contains(&far));
    fleet.needs.all_local = true;
    let plan = fleet.turn();
    let near = listings(0..1_900)
        .into_iter()
        .filter(|l| l.data_centre == centre(3));
    for listing in near {
        assert!(plan.workers.contains(&listing.worker));
    }
}

/// A worker was given another model while nobody here was connected to it.
/// The look at known workers goes round, so it is found some time.
#[test]
fn worker_that_changed_its_model_is_found_again() {
    let mut fleet = Fleet::new(200, 1);
    let moved = (0..200).map(worker).next_back().expect("some");
    fleet
        .reach
        .note_models(&moved, [ModelName::from("old")], fleet.now);
    fleet.settle();
    fleet.now = fleet.now + ConnectionLimits::default().look_again;
    let mut looked = false;
    for _ in 0..250 {
        looked |= fleet.turn().workers.contains(&moved);
    }
    assert!(looked);
}

/// A daemon is started while the key-value service is down: it knows no
/// manifest. It finds out what the workers serve and goes on with that.
#[test]
fn daemon_without_a_manifest_finds_what_is_served() {
    let mut fleet = Fleet::new(1_900, 1);
    let models = std::mem::take(&mut fleet.needs.models);
    fleet.settle();
    for model in &models {
        assert!(fleet.connected_for(model) >= 8, "{model}");
    }
}

/// Whatever is listed, unreachable or busy: busy workers stay, nothing unlisted
/// is reached, and the bound holds.
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
            let plan = fleet.turn();
            prop_assert!(fleet.needs.busy.is_subset(&plan.workers));
            prop_assert!(gone.iter().all(|n| !plan.workers.contains(&worker(*n))));
            let most = MODELS * 8 + 16 + fleet.needs.busy.len();
            prop_assert!(plan.workers.len() <= most);
        }
        Ok(())
    });
    run.expect("it holds");
}
