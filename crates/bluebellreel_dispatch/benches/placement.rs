//! Cost of the decisions that a gateway makes for each request and each report of a peer.

use bluebellreel_dispatch::{
    Attempt, BatchRun, Board, Catalog, Class, Demand, Evidence, Outcome, PeerLoad, PeerRuns,
    PlacementLimits, Query, Running, WorkerRecord, WorkerState, batch_to_yield, place_batch,
    place_online,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use criterion::{Criterion, criterion_group, criterion_main};
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(100_000_000);
/// Number of this daemon's batch runs.
const OWN_RUNS: usize = 12;
/// Number of peers with waiting items.
const PEERS: usize = 60;

fn name(n: usize) -> WorkerName {
    WorkerName::from(format!("i-{n:08x}"))
}

fn record(n: usize) -> WorkerRecord {
    WorkerRecord {
        id: name(n),
        boot: None,
        version: None,
        service: Arc::from("lm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from(format!("hall-{}", n % 5)),
        slots: 7,
        state: WorkerState::Ready,
    }
}

fn board(workers: usize) -> Board {
    let mut catalog = Catalog::default();
    for n in 0..workers {
        catalog.put(i64::try_from(n).expect("few") + 1, record(n));
    }
    let mut board = Board::new(DataCentre::from("hall-1"), PlacementLimits::default());
    board.apply_catalog(&catalog);
    for n in 0..OWN_RUNS {
        let _ = board.start(&name(n), Class::Batch);
    }
    for n in 0..PEERS {
        let peer = EntryName::from(format!("entry-{n}"));
        board.note_data_centre(&peer, DataCentre::from(format!("hall-{}", n % 5)));
        let running = Running {
            online: 1,
            batch: 1,
        };
        let runs = PeerRuns {
            boot: None,
            running,
        };
        let load = PeerLoad {
            sequence: 1,
            running: [(name(n), runs)].into(),
            waiting: 3,
            expires_at: Moment::DISTANT_FUTURE,
        };
        board.hear(&peer, load);
    }
    board
}

fn decisions(c: &mut Criterion) {
    let me = EntryName::from("entry-me");
    for workers in [76, 565, 3000] {
        let board = board(workers);
        let query = Query {
            service: "lm",
            version: None,
            avoid: &[],
            attempt: Attempt::Repeatable,
            max_wait: Duration::from_millis(180),
            salt: 12345,
            now: NOW,
        };
        let runs: Vec<BatchRun<usize>> = (0..OWN_RUNS)
            .map(|n| BatchRun {
                key: n,
                worker: name(n),
                events: 10,
            })
            .collect();
        let id = |what: &str| format!("{what}/{workers}");
        c.bench_function(&id("place_online"), |b| {
            b.iter(|| place_online(&board, &query));
        });
        let mut board_with_evidence = board.clone();
        board_with_evidence.evidence = Some(Evidence::default());
        let ticket = board_with_evidence.start(&name(0), Class::Online);
        board_with_evidence.note_outcome(&ticket, Outcome::Bad, NOW);
        board_with_evidence.assess_workers(NOW);
        let once = Query {
            attempt: Attempt::Last,
            ..query
        };
        c.bench_function(&id("place_online_with_evidence"), |b| {
            b.iter(|| place_online(&board_with_evidence, &once));
        });
        let mut assessed_at = NOW;
        c.bench_function(&id("assess_workers"), |b| {
            b.iter(|| {
                assessed_at = assessed_at + Duration::from_secs(1);
                board_with_evidence.assess_workers(assessed_at)
            });
        });
        c.bench_function(&id("place_batch"), |b| {
            b.iter(|| place_batch(&board, &query, &me));
        });
        let mut by_demand = board.clone();
        for n in 0..PEERS {
            let peer = EntryName::from(format!("entry-{n}"));
            by_demand.demands.hear(&peer, 1, Some(Demand::new(3, 0)));
        }
        by_demand.demands.set_own(Demand::new(3, 0));
        c.bench_function(&id("place_batch_by_demand"), |b| {
            b.iter(|| place_batch(&by_demand, &query, &me));
        });
        c.bench_function(&id("batch_to_yield"), |b| {
            b.iter(|| batch_to_yield(&board, &runs));
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
