//! Where work goes under load.

use bluebellreel_dispatch::{
    BatchRun, Board, Catalog, Class, PeerLoad, PeerRuns, Placement, PlacementLimits, Query,
    Running, Ticket, WorkerChange, WorkerRecord, WorkerState, batch_to_yield, place_batch,
    place_online, should_leave,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 4;
/// Two runs of 600 ms on four slots may be waited for.
const PATIENCE: Duration = Duration::from_millis(300);
const NOW: Moment = Moment(1_000_000);

fn me() -> EntryName {
    EntryName::from("entry-1")
}

fn name(n: usize) -> WorkerName {
    WorkerName::from(format!("w-{n}"))
}

/// A board with workers; the odd ones stand in another data centre.
fn board(workers: usize) -> Board {
    let mut board = Board::new(DataCentre::from("here"), PlacementLimits::default());
    board.follow(&catalog(workers, WorkerState::Ready));
    board
}

fn catalog(workers: usize, state: WorkerState) -> Catalog {
    let mut catalog = Catalog::default();
    for n in 0..workers {
        let place = if n % 2 == 0 { "here" } else { "there" };
        let record = WorkerRecord {
            id: name(n),
            boot: None,
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

fn query(avoid: &[WorkerName]) -> Query<'_> {
    Query {
        service: "lm",
        avoid,
        patience: PATIENCE,
        salt: 0,
        now: NOW,
    }
}

fn start(board: &mut Board, worker: usize, class: Class, count: u32) {
    for _ in 0..count {
        board.start(&name(worker), class);
    }
}

fn peer(board: &mut Board, entry: &str, sequence: u64, waiting: u32, runs: &[(usize, u32, u32)]) {
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

/// An online run at a worker that does not tell of its life.
fn ticket(worker: WorkerName) -> Ticket {
    Ticket {
        worker,
        boot: None,
        class: Class::Online,
    }
}

fn online(board: &Board) -> Placement {
    place_online(board, &query(&[]))
}

#[test]
fn a_free_slot_nearby_is_taken_first() {
    let mut board = board(2);
    assert_eq!(online(&board), Placement::Send(name(0)));
    start(&mut board, 0, Class::Online, SLOTS);
    assert_eq!(online(&board), Placement::Send(name(1)));
}

/// Five daemons see only their own requests and all choose the same worker; it
/// queues while its neighbours idle. What peers run counts like our own.
#[test]
fn what_peers_run_counts() {
    let mut board = board(1);
    board.follow(&catalog(3, WorkerState::Ready));
    peer(&mut board, "entry-2", 1, 0, &[(0, 3, 0), (2, 1, 0)]);
    assert_eq!(online(&board), Placement::Send(name(2)));
    // An older report does not count.
    peer(&mut board, "entry-2", 3, 0, &[(0, 0, 0), (2, 4, 0)]);
    peer(&mut board, "entry-2", 2, 0, &[(0, 4, 0), (2, 0, 0)]);
    assert_eq!(online(&board), Placement::Send(name(0)));
    // A peer that is not heard any more runs nothing that counts.
    board.forget_silent(NOW + Duration::from_secs(3));
    assert!(board.seats().all(|s| s.peers.total() == 0));
}

proptest! {
    /// Reports are added up one by one; whatever comes in whatever order, the
    /// sums are those of the newest words.
    #[test]
    fn sums_are_those_of_the_newest_reports(
        reports in prop::collection::vec((0usize..3, 1u64..9, 0usize..3, 0u32..4, 0u32..4), 1..30),
    ) {
        let mut board = board(3);
        let mut newest: BTreeMap<usize, (u64, usize, u32, u32)> = BTreeMap::new();
        for (entry, sequence, worker, online, batch) in reports {
            peer(&mut board, &format!("entry-{entry}"), sequence, 0, &[(worker, online, batch)]);
            let known = newest.get(&entry).map_or(0, |n| n.0);
            if sequence > known {
                newest.insert(entry, (sequence, worker, online, batch));
            }
        }
        for worker in 0..3 {
            let of_worker = newest.values().filter(|n| n.1 == worker);
            let (online, batch) = of_worker.fold((0, 0), |a, n| (a.0 + n.2, a.1 + n.3));
            let seat = board.seat(&name(worker)).expect("it is listed");
            prop_assert_eq!((seat.peers.online, seat.peers.batch), (online, batch));
        }
    }
}

/// A wave of people comes while batch fills every slot. Each of them takes a
/// slot from batch, ours first, and none waits behind an item.
#[test]
fn people_take_slots_from_batch() {
    let mut board = board(3);
    peer(&mut board, "entry-2", 1, 0, &[(0, 0, 4), (1, 0, 4)]);
    start(&mut board, 2, Class::Batch, SLOTS);
    assert_eq!(online(&board), Placement::Send(name(2)));
    start(&mut board, 2, Class::Online, 1);
    let runs: Vec<BatchRun<u64>> = (0..4)
        .map(|n| BatchRun {
            key: n,
            worker: name(2),
            events: 100 - n,
        })
        .collect();
    // One item makes room: the one that has generated least.
    assert_eq!(batch_to_yield(&board, &runs), [3]);
}

/// Two daemons have batch at a worker that one run too many came to. Both know
/// of it; if each gave up the whole excess, slots would lie idle, and if none
/// did, the caller would wait behind an item.
#[test]
fn daemons_share_what_must_yield() {
    let mut board = board(1);
    start(&mut board, 0, Class::Batch, 2);
    peer(&mut board, "entry-2", 1, 0, &[(0, 2, 2)]);
    let runs: Vec<BatchRun<u64>> = (0..2)
        .map(|n| BatchRun {
            key: n,
            worker: name(0),
            events: n,
        })
        .collect();
    // Six runs on four slots: two must go, one of them ours.
    assert_eq!(batch_to_yield(&board, &runs), [0]);
}

#[test]
fn batch_leaves_a_worker_that_drains() {
    let mut board = board(1);
    start(&mut board, 0, Class::Batch, 2);
    board.follow(&catalog(1, WorkerState::Draining));
    let runs: Vec<BatchRun<u64>> = (0..2)
        .map(|n| BatchRun {
            key: n,
            worker: name(0),
            events: 0,
        })
        .collect();
    assert_eq!(batch_to_yield(&board, &runs).len(), 2);
    assert_eq!(online(&board), Placement::NoWorker);
}

/// A wave beyond all slots. Two may wait at each worker, as they still meet
/// their objective; the next one is refused at once.
#[test]
fn beyond_a_short_queue_people_are_refused() {
    let mut board = board(2);
    for worker in 0..2 {
        start(&mut board, worker, Class::Online, SLOTS + 2);
    }
    assert_eq!(online(&board), Placement::Full);
    board.end(&ticket(name(1)));
    assert_eq!(online(&board), Placement::Send(name(1)));
}

/// A fifth of the workers turn four times as slow while their health checks are
/// good. Those in line there would wait four times as long and be late; they
/// are used for what they have free, after the others, and nobody queues.
#[test]
fn nobody_stands_in_line_at_a_slow_worker() {
    let mut board = board(1);
    board.follow(&catalog(3, WorkerState::Ready));
    for _ in 0..40 {
        board
            .paces
            .note_interval(&name(0), Duration::from_millis(105), NOW);
        board
            .paces
            .note_interval(&name(1), Duration::from_millis(25), NOW);
        board
            .paces
            .note_interval(&name(2), Duration::from_millis(25), NOW);
    }
    board.paces.sweep(NOW);
    assert_eq!(online(&board), Placement::Send(name(2)));
    start(&mut board, 1, Class::Online, SLOTS + 2);
    start(&mut board, 2, Class::Online, SLOTS + 2);
    assert_eq!(
        online(&board),
        Placement::Send(name(0)),
        "it has free slots"
    );
    start(&mut board, 0, Class::Online, SLOTS);
    assert_eq!(online(&board), Placement::Full);
    // What is not confirmed for a while is no longer believed.
    let later = Query {
        now: NOW + Duration::from_secs(6),
        ..query(&[])
    };
    assert_eq!(place_online(&board, &later), Placement::Send(name(0)));
}

/// A worker breaks off what it gets. It is set aside, tried again with one
/// request after a while, and used fully once that one has succeeded.
#[test]
fn a_failing_worker_is_set_aside_and_let_back() {
    let mut board = board(1);
    board.follow(&catalog(3, WorkerState::Ready));
    board.failed(&ticket(name(0)), NOW);
    board.failed(&ticket(name(2)), NOW);
    let choose = |board: &Board, after: u64| {
        let query = Query {
            service: "lm",
            avoid: &[],
            patience: PATIENCE,
            salt: 0,
            now: NOW + Duration::from_millis(after),
        };
        place_online(board, &query)
    };
    assert_eq!(choose(&board, 0), Placement::Send(name(1)));
    let Placement::Send(first) = choose(&board, 600) else {
        panic!("nobody");
    };
    assert_ne!(first, name(1), "the near ones are back");
    board.start(&first, Class::Online);
    // One request is on trial there; the next goes elsewhere.
    assert_ne!(choose(&board, 600), Placement::Send(first.clone()));
    board.succeeded(&ticket(first.clone()), NOW);
    assert!(board.seat(&first).is_some_and(|s| s.doubt.takes(NOW)));
}

/// Every worker is doubted, as after a restart of the fleet. Refusing people
/// then would help nobody.
#[test]
fn where_all_are_doubted_one_is_used() {
    let mut board = board(2);
    for worker in 0..2 {
        board.failed(&ticket(name(worker)), NOW);
    }
    assert!(matches!(online(&board), Placement::Send(_)));
}

/// A worker is silent on one request. While its other streams go on it is only
/// busy, and leaving it would throw away the request's place in line; unless
/// another worker has a free slot.
#[test]
fn a_busy_worker_is_not_left_for_a_full_one() {
    let mut board = board(2);
    start(&mut board, 0, Class::Online, SLOTS + 1);
    start(&mut board, 1, Class::Online, SLOTS);
    let silent = |board: &Board| {
        let tried = [name(0)];
        should_leave(board, &query(&tried), &name(0))
    };
    board.succeeded(&ticket(name(0)), NOW);
    assert!(!silent(&board));
    board.end(&ticket(name(1)));
    assert!(silent(&board), "another one has a free slot");
    start(&mut board, 1, Class::Online, 1);
    board.succeeded(&ticket(name(0)), Moment(0));
    assert!(silent(&board), "nothing at all is heard from it");
    start(&mut board, 1, Class::Online, 2);
    assert!(!silent(&board), "nobody else takes it");
}

#[test]
fn a_request_does_not_return_to_a_worker_that_failed_it() {
    let board = board(2);
    let avoid = [name(0)];
    let placed = place_online(&board, &query(&avoid));
    assert_eq!(placed, Placement::Send(name(1)));
    let avoid = [name(0), name(1)];
    let placed = place_online(&board, &query(&avoid));
    assert_eq!(placed, Placement::NoWorker);
}

/// Many daemons see the same loads, a moment old. If each sent to the worker
/// that looks emptiest, all would send there; drawn by two, their requests
/// spread over what is free.
#[test]
fn daemons_that_see_the_same_do_not_choose_the_same() {
    let mut board = board(24);
    for worker in 0..24 {
        let taken = if worker == 6 { 0 } else { 2 };
        start(&mut board, worker, Class::Online, taken);
    }
    let mut chosen: BTreeMap<WorkerName, u32> = BTreeMap::new();
    for daemon in 0..60u64 {
        let query = Query {
            salt: daemon.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            ..query(&[])
        };
        let Placement::Send(worker) = place_online(&board, &query) else {
            panic!("there is room");
        };
        *chosen.entry(worker).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 20, "{chosen:?}");
    assert!(chosen.len() >= 8, "{chosen:?}");
    assert!(
        chosen
            .keys()
            .all(|w| (0..24).step_by(2).any(|n| *w == name(n)))
    );
}

/// Many daemons have items and see the same free slots. If all took them,
/// workers would be overfull and most items thrown out again. Each worker's
/// slots belong to one of them.
#[test]
fn one_daemon_starts_batch_at_each_worker() {
    let entries = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let mut takers: BTreeMap<WorkerName, u32> = BTreeMap::new();
    for entry in entries {
        let mut board = board(24);
        for other in entries.iter().filter(|o| **o != entry) {
            peer(&mut board, other, 1, 5, &[]);
        }
        while let Some(worker) = place_batch(&board, &query(&[]), &EntryName::from(entry)) {
            board.start(&worker, Class::Batch);
            *takers.entry(worker).or_default() += 1;
        }
    }
    assert_eq!(takers.len(), 24, "no worker is left idle");
    assert!(takers.values().all(|runs| *runs == SLOTS));
}

/// Batch that took each slot as it came free made every arrival throw an item
/// out: ten sends for each item. A tenth of what people use stays free.
#[test]
fn batch_leaves_some_slots_to_people() {
    let mut board = board(5);
    for worker in 0..5 {
        start(&mut board, worker, Class::Online, 3);
    }
    let mut started = 0;
    while let Some(worker) = place_batch(&board, &query(&[]), &me()) {
        board.start(&worker, Class::Batch);
        started += 1;
    }
    // Five slots are free beside fifteen people: two stay.
    assert_eq!(started, 3);
    assert!(matches!(online(&board), Placement::Send(_)));
}

/// A worker leaves, and the one who looks for the cause of a failed request
/// must find when each daemon knew, whichever way the news came: a list or a
/// peer named no worker, and only a watch left a line.
#[test]
fn changes_of_workers_are_named_once() {
    let mut board = board(2);
    let id = |n: usize| {
        catalog(n, WorkerState::Ready)
            .workers()
            .last()
            .map(|r| r.id.clone())
    };
    assert!(board.follow(&catalog(2, WorkerState::Ready)).is_empty());
    let drained = board.follow(&catalog(2, WorkerState::Draining));
    assert_eq!(drained.len(), 2);
    assert!(
        drained
            .iter()
            .all(|(_, s)| *s == WorkerChange::Listed(WorkerState::Draining))
    );

    // It is gone while a run of ours is still there, and is told once.
    let last = id(2).expect("two workers");
    let ticket = board.start(&last, Class::Online);
    let gone = board.follow(&catalog(1, WorkerState::Draining));
    assert_eq!(gone, [(last.clone(), WorkerChange::Left)]);
    assert!(board.follow(&catalog(1, WorkerState::Draining)).is_empty());
    assert!(board.seat(&last).is_some());
    board.end(&ticket);
    assert!(board.follow(&catalog(1, WorkerState::Draining)).is_empty());
    assert!(board.seat(&last).is_none());
    let back = board.follow(&catalog(2, WorkerState::Ready));
    assert_eq!(back.len(), 2, "one is ready again, one is back");
}

/// Items were sent to whichever worker had the most free slots, three of four in
/// another data centre, and all that they generated came back from there. A
/// worker's free slots go to a daemon of its own data centre while one has items,
/// and to the others when none has.
#[test]
fn batch_stays_in_its_data_centre_while_it_can() {
    let mut board = board(2);
    board.note_place(&EntryName::from("entry-2"), DataCentre::from("there"));
    peer(&mut board, "entry-2", 1, 5, &[]);
    let place = |board: &Board| place_batch(board, &query(&[]), &me());
    for _ in 0..SLOTS {
        assert_eq!(place(&board), Some(name(0)));
        board.start(&name(0), Class::Batch);
    }
    assert_eq!(place(&board), None, "the other worker is the peer's");
    peer(&mut board, "entry-2", 2, 0, &[]);
    assert_eq!(place(&board), Some(name(1)), "it has no items any more");
}

/// A worker fails at everything at once, so all its slots are free. An item that
/// failed there was sent there again, and was given up after three tries though
/// nothing was wrong with it.
#[test]
fn an_item_that_failed_goes_to_another_worker() {
    let mut board = board(4);
    start(&mut board, 2, Class::Online, SLOTS - 1);
    let avoid = [name(0)];
    let first = place_batch(&board, &query(&[]), &me());
    assert_eq!(first, Some(name(0)), "the emptiest nearby");
    let next = place_batch(&board, &query(&avoid), &me());
    assert_eq!(next, Some(name(2)), "another one nearby");
    // One whose runs give events goes before those that nothing is known of.
    let known = board.start(&name(3), Class::Online);
    let later = NOW + Duration::from_hours(1);
    board.succeeded(&known, later);
    let now = Query {
        now: later,
        ..query(&avoid)
    };
    assert_eq!(place_batch(&board, &now, &me()), Some(name(3)));
    // Where it has failed at all of them, it is tried once more at one.
    let all: Vec<_> = (0..4).map(name).collect();
    assert_eq!(place_batch(&board, &query(&all), &me()), Some(name(0)));
}

/// The slots of the workers where an item has not failed belong to peers, as these
/// have items waiting too. It must not wait for a worker of its own for ever.
#[test]
fn an_item_that_failed_may_take_a_peers_slot() {
    let mut board = board(8);
    peer(&mut board, "entry-2", 1, 3, &[]);
    let mine: Vec<_> = {
        let is_mine = |n: &usize| {
            let others: Vec<_> = (0..8).filter(|m| m != n).map(name).collect();
            place_batch(&board, &query(&others), &me()) == Some(name(*n))
        };
        (0..8).filter(is_mine).map(name).collect()
    };
    assert!(place_batch(&board, &query(&mine), &me()).is_some());
}

/// An item that fails everywhere goes round the workers. Those whose other runs
/// give events are well; each would be set aside for it.
#[test]
fn a_bad_item_sets_no_worker_aside_that_does_its_work() {
    let mut board = board(2);
    let (well, silent) = (board.start(&name(0), Class::Batch), ticket(name(1)));
    let later = NOW + Duration::from_hours(1);
    board.succeeded(&well, later);
    board.failed_item(&well, later);
    board.failed_item(&silent, later);
    let takes = |n: usize| board.seat(&name(n)).is_some_and(|s| s.doubt.takes(later));
    assert!(takes(0));
    assert!(!takes(1));
}
