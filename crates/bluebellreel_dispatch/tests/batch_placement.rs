//! Where batch items go, and when they make room.

mod common;

use bluebellreel_dispatch::{
    BatchRun, Board, Class, Placement, Query, WorkerState, batch_to_yield, place_batch,
};
use bluebellreel_types::{DataCentre, EntryName, WorkerName};
use common::{NOW, SLOTS, board, catalog, name, online, peer, query, start, ticket};
use std::collections::BTreeMap;
use std::time::Duration;

fn me() -> EntryName {
    EntryName::from("entry-1")
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
    board.apply_catalog(&catalog(1, WorkerState::Draining));
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

/// Items were sent to whichever worker had the most free slots, three of four in
/// another data centre, and all that they generated came back from there. A
/// worker's free slots go to a daemon of its own data centre while one has items,
/// and to the others when none has.
#[test]
fn batch_stays_in_its_data_centre_while_it_can() {
    let mut board = board(2);
    board.note_data_centre(&EntryName::from("entry-2"), DataCentre::from("there"));
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
    let takes = |n: usize| {
        board
            .worker_view(&name(n))
            .is_some_and(|s| s.doubt.takes(later))
    };
    assert!(takes(0));
    assert!(!takes(1));
}
