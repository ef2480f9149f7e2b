//! Placement of batch items and the choice of runs that yield.

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

/// A wave of online requests arrives while batch items fill every slot. Each request
/// must take a slot from batch, from this daemon's own runs first, and must not wait
/// behind an item.
#[test]
fn online_requests_take_slots_from_batch() {
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
    // One item yields: the one that has generated the least.
    assert_eq!(batch_to_yield(&board, &runs), [3]);
}

/// Two daemons have batch runs at a worker that receives too many runs, and the boards of
/// both show this. If each gave up the whole excess, slots would stay unused; if neither
/// did, the caller would wait behind an item.
#[test]
fn daemons_share_the_runs_that_must_yield() {
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
    // Six runs on four slots: two must yield, one of them this daemon's.
    assert_eq!(batch_to_yield(&board, &runs), [0]);
}

/// The decision is made for each report of a peer. Guards against workers without own runs
/// that take part in it.
#[test]
fn only_workers_with_own_runs_decide_which_runs_yield() {
    let yields = |workers: usize| {
        let mut board = board(workers);
        start(&mut board, 0, Class::Batch, 2);
        peer(&mut board, "entry-2", 1, 0, &[(0, 2, 2)]);
        let runs: Vec<BatchRun<u64>> = (0..2)
            .map(|n| BatchRun {
                key: n,
                worker: name(0),
                events: n,
            })
            .collect();
        batch_to_yield(&board, &runs)
    };
    assert_eq!(yields(3000), yields(1));
}

/// Runs at a worker that has left the table are ended elsewhere.
#[test]
fn runs_at_unknown_workers_do_not_yield() {
    let run = BatchRun {
        key: 1,
        worker: name(9),
        events: 1,
    };
    assert!(batch_to_yield(&board(1), &[run]).is_empty());
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

/// Many daemons have waiting items and see the same free slots. If all took them,
/// workers would have too many runs and most items would have to yield again. Each
/// worker's slots must belong to one daemon.
#[test]
fn one_daemon_starts_batch_at_each_worker() {
    let entries = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let mut runs_per_worker: BTreeMap<WorkerName, u32> = BTreeMap::new();
    for entry in entries {
        let mut board = board(24);
        for other in entries.iter().filter(|o| **o != entry) {
            peer(&mut board, other, 1, 5, &[]);
        }
        while let Some(worker) = place_batch(&board, &query(&[]), &EntryName::from(entry)) {
            board.start(&worker, Class::Batch);
            *runs_per_worker.entry(worker).or_default() += 1;
        }
    }
    assert_eq!(runs_per_worker.len(), 24, "no worker stays idle");
    assert!(runs_per_worker.values().all(|runs| *runs == SLOTS));
}

/// When batch took each slot as soon as it became free, every online arrival made an
/// item yield: ten sends per item. Free slots worth a tenth of the running online
/// requests must remain.
#[test]
fn batch_leaves_some_slots_free_for_online_requests() {
    let mut board = board(5);
    for worker in 0..5 {
        start(&mut board, worker, Class::Online, 3);
    }
    let mut started = 0;
    while let Some(worker) = place_batch(&board, &query(&[]), &me()) {
        board.start(&worker, Class::Batch);
        started += 1;
    }
    // Five slots are free beside fifteen online requests: two stay free.
    assert_eq!(started, 3);
    assert!(matches!(online(&board), Placement::Send(_)));
}

/// Items were sent to the worker with the most free slots, three of four of them in
/// another data centre, and all their output came back from there. A worker's free slots
/// must belong to a daemon of its own data centre while that daemon has waiting items,
/// and otherwise to the other daemons.
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
    assert_eq!(place(&board), None, "the other worker belongs to the peer");
    peer(&mut board, "entry-2", 2, 0, &[]);
    assert_eq!(
        place(&board),
        Some(name(1)),
        "the peer has no items any more"
    );
}

/// A worker that fails every request immediately has all its slots free. A failed item was
/// sent there again and given up after three attempts, although the item was valid.
#[test]
fn an_item_that_failed_goes_to_another_worker() {
    let mut board = board(4);
    start(&mut board, 2, Class::Online, SLOTS - 1);
    let avoid = [name(0)];
    let first = place_batch(&board, &query(&[]), &me());
    assert_eq!(
        first,
        Some(name(0)),
        "the local worker with the most free slots"
    );
    let next = place_batch(&board, &query(&avoid), &me());
    assert_eq!(next, Some(name(2)), "another local worker");
    // A worker whose runs produce events precedes those without any known event.
    let known = board.start(&name(3), Class::Online);
    let later = NOW + Duration::from_hours(1);
    board.succeeded(&known, later);
    let now = Query {
        now: later,
        ..query(&avoid)
    };
    assert_eq!(place_batch(&board, &now, &me()), Some(name(3)));
    // An item that has failed at all workers is tried once more at one of them.
    let all: Vec<_> = (0..4).map(name).collect();
    assert_eq!(place_batch(&board, &query(&all), &me()), Some(name(0)));
}

/// All workers where an item has not failed belong to peers, as these have waiting items
/// too. The item must not wait indefinitely for a worker that belongs to its own daemon.
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

/// An item that fails everywhere is tried at one worker after the other. It must not
/// open the circuit breaker of a worker whose other runs produce events.
#[test]
fn a_bad_item_does_not_eject_a_healthy_worker() {
    let mut board = board(2);
    let (healthy, silent) = (board.start(&name(0), Class::Batch), ticket(name(1)));
    let later = NOW + Duration::from_hours(1);
    board.succeeded(&healthy, later);
    board.failed_item(&healthy, later);
    board.failed_item(&silent, later);
    let allows = |n: usize| {
        board
            .worker_view(&name(n))
            .is_some_and(|s| s.breaker.allows(later))
    };
    assert!(allows(0));
    assert!(!allows(1));
}

/// Gateways of two versions run during an upgrade. Guards against ranks by another hash, by
/// which a gateway of each version would own the same slots, or none would.
#[test]
fn slots_belong_to_the_same_daemon_in_all_versions() {
    for n in 0..40 {
        let mut board = board(1);
        let other = format!("entry-{n}x");
        peer(&mut board, &other, 1, 3, &[]);
        let rank = |entry: &str| {
            let text = format!("{entry}/{}", name(0));
            twox_hash::XxHash64::oneshot(0, text.as_bytes())
        };
        let is_ours = rank(&other) < rank("entry-1");
        let placed = place_batch(&board, &query(&[]), &me());
        assert_eq!(placed.is_some(), is_ours, "{other}");
    }
}
