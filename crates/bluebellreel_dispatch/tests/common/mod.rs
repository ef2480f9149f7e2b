//! A board with workers and peers for the placement tests.

use bluebellreel_dispatch::{
    Attempt, Board, Catalog, Class, PeerLoad, PeerRuns, Placement, PlacementLimits, Query, Running,
    Ticket, WorkerRecord, WorkerState, place_online,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const SLOTS: u32 = 4;
/// Enough to wait for two runs of 600 ms on four slots.
pub const MAX_WAIT: Duration = Duration::from_millis(300);
pub const NOW: Moment = Moment(1_000_000);

pub fn name(n: usize) -> WorkerName {
    WorkerName::from(format!("w-{n}"))
}

/// A board with workers; the odd ones are in another data centre.
pub fn board(workers: usize) -> Board {
    let mut board = Board::new(DataCentre::from("here"), PlacementLimits::default());
    board.apply_catalog(&catalog(workers, WorkerState::Ready));
    board
}

pub fn catalog(workers: usize, state: WorkerState) -> Catalog {
    let mut catalog = Catalog::default();
    for n in 0..workers {
        let place = if n % 2 == 0 { "here" } else { "there" };
        let record = WorkerRecord {
            id: name(n),
            boot: None,
            version: None,
            service: Arc::from("lm"),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: DataCentre::from(place),
            slots: SLOTS,
            state,
        };
        let revision = match state {
            WorkerState::Ready => 1,
            WorkerState::Draining => 2,
        };
        catalog.put(revision, record);
    }
    catalog
}

pub fn query(avoid: &[WorkerName]) -> Query<'_> {
    Query {
        service: "lm",
        version: None,
        avoid,
        attempt: Attempt::Repeatable,
        max_wait: MAX_WAIT,
        salt: 0,
        now: NOW,
    }
}

pub fn start(board: &mut Board, worker: usize, class: Class, count: u32) {
    for _ in 0..count {
        board.start(&name(worker), class);
    }
}

pub fn peer(
    board: &mut Board,
    entry: &str,
    sequence: u64,
    waiting: u32,
    runs: &[(usize, u32, u32)],
) {
    let running: BTreeMap<WorkerName, PeerRuns> = runs
        .iter()
        .map(|(worker, online, batch)| {
            let running = Running {
                online: *online,
                batch: *batch,
            };
            let boot = None;
            (name(*worker), PeerRuns { boot, running })
        })
        .collect();
    let load = PeerLoad {
        sequence,
        running,
        waiting,
        expires_at: NOW + Duration::from_secs(2),
    };
    board.hear(&EntryName::from(entry), load);
}

/// An online run at a worker that does not report its incarnation.
pub fn ticket(worker: WorkerName) -> Ticket {
    Ticket {
        worker,
        boot: None,
        version: None,
        class: Class::Online,
    }
}

pub fn online(board: &Board) -> Placement {
    place_online(board, &query(&[]))
}
