//! Where work goes under load.

mod common;

use bluebellreel_dispatch::{
    Board, Class, Placement, Query, WorkerChange, WorkerState, place_online, should_reroute,
};
use bluebellreel_types::{Moment, WorkerName};
use common::{MAX_WAIT, NOW, SLOTS, board, catalog, name, online, peer, query, start, ticket};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

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
    board.apply_catalog(&catalog(3, WorkerState::Ready));
    peer(&mut board, "entry-2", 1, 0, &[(0, 3, 0), (2, 1, 0)]);
    assert_eq!(online(&board), Placement::Send(name(2)));
    // An older report does not count.
    peer(&mut board, "entry-2", 3, 0, &[(0, 0, 0), (2, 4, 0)]);
    peer(&mut board, "entry-2", 2, 0, &[(0, 4, 0), (2, 0, 0)]);
    assert_eq!(online(&board), Placement::Send(name(0)));
    // A peer that is not heard any more runs nothing that counts.
    board.evict_expired_peers(NOW + Duration::from_secs(3));
    assert!(board.worker_views().all(|s| s.peers.total() == 0));
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
            let worker_view = board.worker_view(&name(worker)).expect("it is listed");
            prop_assert_eq!((worker_view.peers.online, worker_view.peers.batch), (online, batch));
        }
    }
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
    board.apply_catalog(&catalog(3, WorkerState::Ready));
    for _ in 0..40 {
        board
            .speeds
            .note_interval(&name(0), Duration::from_millis(105), NOW);
        board
            .speeds
            .note_interval(&name(1), Duration::from_millis(25), NOW);
        board
            .speeds
            .note_interval(&name(2), Duration::from_millis(25), NOW);
    }
    board.speeds.sweep(NOW);
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
    board.apply_catalog(&catalog(3, WorkerState::Ready));
    board.failed(&ticket(name(0)), NOW);
    board.failed(&ticket(name(2)), NOW);
    let choose = |board: &Board, after: u64| {
        let query = Query {
            service: "lm",
            avoid: &[],
            max_wait: MAX_WAIT,
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
    assert!(
        board
            .worker_view(&first)
            .is_some_and(|s| s.doubt.takes(NOW))
    );
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
        should_reroute(board, &query(&tried), &name(0))
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

/// A worker leaves, and the one who looks for the cause of a failed request
/// must find when each daemon knew, whichever way it heard: a list or a
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
    assert!(
        board
            .apply_catalog(&catalog(2, WorkerState::Ready))
            .is_empty()
    );
    let drained = board.apply_catalog(&catalog(2, WorkerState::Draining));
    assert_eq!(drained.len(), 2);
    assert!(
        drained
            .iter()
            .all(|(_, s)| *s == WorkerChange::Listed(WorkerState::Draining))
    );

    // It is gone while a run of ours is still there, and is told once.
    let last = id(2).expect("two workers");
    let ticket = board.start(&last, Class::Online);
    let gone = board.apply_catalog(&catalog(1, WorkerState::Draining));
    assert_eq!(gone, [(last.clone(), WorkerChange::Left)]);
    assert!(
        board
            .apply_catalog(&catalog(1, WorkerState::Draining))
            .is_empty()
    );
    assert!(board.worker_view(&last).is_some());
    board.end(&ticket);
    assert!(
        board
            .apply_catalog(&catalog(1, WorkerState::Draining))
            .is_empty()
    );
    assert!(board.worker_view(&last).is_none());
    let back = board.apply_catalog(&catalog(2, WorkerState::Ready));
    assert_eq!(back.len(), 2, "one is ready again, one is back");
}
