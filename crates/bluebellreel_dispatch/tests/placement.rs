//! Placement of online requests under load.

mod common;

use bluebellreel_dispatch::{
    Attempt, Board, Class, Placement, PlacementLimits, Query, WorkerChange, WorkerRecord,
    WorkerState, place_batch, place_online, should_reroute,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName, WorkerVersion};
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

/// When five daemons counted only their own requests, all chose the same worker, which
/// queued requests while others were idle. Runs of peers must count like local ones.
#[test]
fn runs_of_peers_count() {
    let mut board = board(1);
    board.apply_catalog(&catalog(3, WorkerState::Ready));
    peer(&mut board, "entry-2", 1, 0, &[(0, 3, 0), (2, 1, 0)]);
    assert_eq!(online(&board), Placement::Send(name(2)));
    // An older report does not count.
    peer(&mut board, "entry-2", 3, 0, &[(0, 0, 0), (2, 4, 0)]);
    peer(&mut board, "entry-2", 2, 0, &[(0, 4, 0), (2, 0, 0)]);
    assert_eq!(online(&board), Placement::Send(name(0)));
    // The runs of a peer whose report has expired do not count.
    board.evict_expired_peers(NOW + Duration::from_secs(3));
    assert!(board.worker_views().all(|s| s.peers.total() == 0));
}

proptest! {
    /// The sums are updated with each report; for any order of reports they must equal
    /// the sums over each peer's latest report.
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
            let worker_view = board.worker_view(&name(worker)).expect("the worker is listed");
            prop_assert_eq!((worker_view.peers.online, worker_view.peers.batch), (online, batch));
        }
    }
}

/// Load exceeds all slots. Two requests may queue at each worker, as they still meet
/// their objective; the next one must be refused at once.
#[test]
fn requests_beyond_a_short_queue_are_refused() {
    let mut board = board(2);
    for worker in 0..2 {
        start(&mut board, worker, Class::Online, SLOTS + 2);
    }
    assert_eq!(online(&board), Placement::Full);
    board.end(&ticket(name(1)));
    assert_eq!(online(&board), Placement::Send(name(1)));
}

/// A fifth of the workers become four times as slow while their health checks succeed.
/// Queued requests would wait four times as long there and be late. Only the free slots
/// of such workers may be used, after those of the others, and no request may queue
/// there.
#[test]
fn no_request_queues_at_a_slow_worker() {
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
        "the slow worker has free slots"
    );
    start(&mut board, 0, Class::Online, SLOTS);
    assert_eq!(online(&board), Placement::Full);
    // A speed without new samples expires.
    let later = Query {
        now: NOW + Duration::from_secs(6),
        ..query(&[])
    };
    assert_eq!(place_online(&board, &later), Placement::Send(name(0)));
}

/// A worker interrupts the requests that it gets. Its circuit breaker must open, let one
/// probe through after the backoff, and close once the probe has succeeded.
#[test]
fn a_failing_worker_is_ejected_and_readmitted() {
    let mut board = board(1);
    board.apply_catalog(&catalog(3, WorkerState::Ready));
    board.failed(&ticket(name(0)), NOW);
    board.failed(&ticket(name(2)), NOW);
    let choose = |board: &Board, after: u64| {
        let query = Query {
            service: "lm",
            version: None,
            avoid: &[],
            attempt: Attempt::Repeatable,
            max_wait: MAX_WAIT,
            salt: 0,
            now: NOW + Duration::from_millis(after),
        };
        place_online(board, &query)
    };
    assert_eq!(choose(&board, 0), Placement::Send(name(1)));
    let Placement::Send(first) = choose(&board, 600) else {
        panic!("no worker was chosen");
    };
    assert_ne!(first, name(1), "a local worker accepts the probe");
    board.start(&first, Class::Online);
    // The first request is the probe; the next one goes to another worker.
    assert_ne!(choose(&board, 600), Placement::Send(first.clone()));
    board.succeeded(&ticket(first.clone()), NOW);
    assert!(
        board
            .worker_view(&first)
            .is_some_and(|s| s.breaker.allows(NOW))
    );
}

/// All circuit breakers are open, as after a restart of the fleet. Requests
/// must still be sent to the workers.
#[test]
fn open_circuit_breakers_everywhere_do_not_refuse_requests() {
    let mut board = board(2);
    for worker in 0..2 {
        board.failed(&ticket(name(worker)), NOW);
    }
    assert!(matches!(online(&board), Placement::Send(_)));
}

/// A worker does not answer one request. While its other streams go on, the worker is
/// only busy, and leaving it would give up the request's place in the queue, unless
/// another worker has a free slot.
#[test]
fn a_busy_worker_is_not_left_for_a_full_one() {
    let mut board = board(2);
    start(&mut board, 0, Class::Online, SLOTS + 1);
    start(&mut board, 1, Class::Online, SLOTS);
    let reroutes = |board: &Board| {
        let tried = [name(0)];
        should_reroute(board, &query(&tried), &name(0))
    };
    board.succeeded(&ticket(name(0)), NOW);
    assert!(!reroutes(&board));
    board.end(&ticket(name(1)));
    assert!(reroutes(&board), "another worker has a free slot");
    start(&mut board, 1, Class::Online, 1);
    board.succeeded(&ticket(name(0)), Moment(0));
    assert!(reroutes(&board), "the worker has no recent event at all");
    start(&mut board, 1, Class::Online, 2);
    assert!(!reroutes(&board), "no other worker accepts it");
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

/// Many daemons see the same, slightly outdated loads. If each chose the worker with the
/// lowest load, all requests would go to one worker; choosing the better of two random
/// workers spreads them over the free slots.
#[test]
fn daemons_with_the_same_view_spread_their_requests() {
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
            panic!("some worker has free slots");
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

/// To explain a failed request an operator must find when each daemon was notified that a
/// worker left. Earlier, changes that came with a list or from a peer named no worker,
/// and only changes from a watch were logged.
#[test]
fn each_worker_change_is_reported_once() {
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

    // The worker is removed while a run of this daemon is still there; the removal is
    // reported once.
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
    assert_eq!(back.len(), 2, "one is ready again, one is listed again");
}

/// A board whose workers have these versions.
fn board_of_versions(versions: &[&str]) -> Board {
    let mut catalog = catalog(versions.len(), WorkerState::Ready);
    let records: Vec<WorkerRecord> = catalog.workers().cloned().collect();
    for (record, version) in records.into_iter().zip(versions) {
        let version = Some(WorkerVersion::from(*version));
        catalog.put(9, WorkerRecord { version, ..record });
    }
    let mut board = Board::new(DataCentre::from("here"), PlacementLimits::default());
    board.apply_catalog(&catalog);
    board
}

/// Guards that a stream begins at the only worker of a version, where it could not go on if
/// that worker failed, while versions with several workers have free slots.
#[test]
fn new_output_begins_at_a_version_with_several_workers() {
    let board = board_of_versions(&["v1", "v2", "v2"]);
    for salt in 0..20 {
        let placed = place_online(&board, &Query { salt, ..query(&[]) });
        assert_ne!(placed, Placement::Send(name(0)));
    }
    let me = EntryName::from("entry-1");
    assert_ne!(place_batch(&board, &query(&[]), &me), Some(name(0)));
}

/// Guards that output goes on at another version, or is placed while none of its own is
/// ready.
#[test]
fn output_goes_on_at_its_version_only() {
    let board = board_of_versions(&["v1", "v2", "v2"]);
    let me = EntryName::from("entry-1");
    let (first, gone) = (WorkerVersion::from("v1"), WorkerVersion::from("v3"));
    let bound = |version| Query {
        version: Some(version),
        ..query(&[])
    };
    assert_eq!(
        place_online(&board, &bound(&first)),
        Placement::Send(name(0))
    );
    assert_eq!(place_batch(&board, &bound(&first), &me), Some(name(0)));
    assert_eq!(place_online(&board, &bound(&gone)), Placement::NoWorker);
    assert_eq!(place_batch(&board, &bound(&gone), &me), None);
    assert!(board.has_ready_version("lm", &first));
    assert!(!board.has_ready_version("lm", &gone));
}
