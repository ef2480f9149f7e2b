//! Cost of choosing a worker, and of planning connections, for growing fleets.

use bluebellreel_routing::{
    ChoiceQuery, ConnectionLimits, ConnectionNeeds, ConnectionPlanner, Listing, RouterLimits,
    Worker, choose,
};
use bluebellreel_types::{
    DataCentre, Incarnation, LoadReport, ModelName, Moment, TeamName, Work, WorkKind, WorkerName,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

fn workers(count: usize) -> Vec<Worker> {
    let worker = |n: usize| {
        let name = WorkerName::from(format!("worker-{n}"));
        let mut worker = Worker::new(name, DataCentre::from("Sligo"));
        worker.incarnation = Some(Incarnation(n as u64));
        worker.note_load(
            LoadReport {
                online: 3,
                models: vec!["m".into()],
                ..LoadReport::default()
            },
            Moment(1),
        );
        worker
    };
    (0..count).map(worker).collect()
}

fn work() -> Work {
    Work {
        kind: WorkKind::Chat,
        model: "m".into(),
        body: Arc::from([]),
        tokens: 32,
        prefix: 7,
        repeatable: true,
        key: Arc::from(""),
        team: TeamName::from("school"),
    }
}

fn choose_among(criterion: &mut Criterion) {
    let (work, local, limits) = (work(), DataCentre::from("Sligo"), RouterLimits::default());
    let mut group = criterion.benchmark_group("choose");
    for count in [12, 48, 120, 1_900] {
        let workers = workers(count);
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let query = ChoiceQuery {
                    work: &work,
                    deadline: Moment(1) + Duration::from_secs(1),
                    avoid: &[],
                    local: &local,
                    now: Moment(1),
                };
                choose(workers.iter(), query, &limits, &mut rng)
            });
        });
    }
    group.finish();
}

fn plan_reach(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("reach");
    for count in [120, 1_900] {
        let mut reach =
            ConnectionPlanner::new(ConnectionLimits::default(), 1, DataCentre::from("dc-3"));
        let name = |n: usize| WorkerName::from(format!("worker-{n}"));
        let model = |n: usize| ModelName::from(format!("model-{}", n % 38));
        let listing = |n: usize| Listing {
            worker: name(n),
            data_centre: DataCentre::from(format!("dc-{}", n % 16)),
        };
        reach.list((0..count).map(listing).collect());
        for n in 0..count {
            reach.note_models(&name(n), [model(n)], Moment(1));
        }
        let needs = ConnectionNeeds {
            models: (0..38).map(model).collect(),
            ..ConnectionNeeds::default()
        };
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| reach.plan(&needs, Moment(2)));
        });
    }
    group.finish();
}

criterion_group!(benches, choose_among, plan_reach);
criterion_main!(benches);
