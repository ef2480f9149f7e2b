//! Cost of a change to one of many workers.

use bluebellreel_dispatch::{Catalog, WorkerRecord, WorkerState};
use bluebellreel_types::{DataCentre, WorkerName};
use criterion::{Criterion, criterion_group, criterion_main};
use std::sync::Arc;

const WORKERS: i64 = 1900;

fn record(number: i64) -> WorkerRecord {
    WorkerRecord {
        id: WorkerName::from(format!("worker-{number:05}")),
        boot: None,
        version: None,
        service: Arc::from("lm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from("hall"),
        slots: 8,
        state: WorkerState::Ready,
    }
}

fn change(c: &mut Criterion) {
    let mut catalog = Catalog::default();
    for number in 0..WORKERS {
        catalog.put(number + 1, record(number));
    }
    let mut revision = WORKERS;
    let changed = record(WORKERS / 2);
    c.bench_function("change/1900", |b| {
        b.iter(|| {
            revision += 1;
            catalog.put(revision, changed.clone())
        });
    });
}

criterion_group!(benches, change);
criterion_main!(benches);
