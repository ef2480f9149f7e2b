//! Evidence on workers: counting, reports of peers, and its use in placement.

mod common;

use bluebellreel_dispatch::{
    Attempt, Board, Class, Counts, Evidence, InvalidOutcomes, MAX_REPORTED_WORKERS, Outcome,
    Placement, Query, RawOutcome, Record, ReportId, ReportedOutcomes, Standing, WorkerState,
    WorkerTag, assess, place_batch, place_online, should_reroute,
};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use common::{NOW, SLOTS, board, catalog, name, online, peer, query, start, ticket};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn tag(worker: usize) -> WorkerTag {
    WorkerTag::of(&name(worker), None)
}

fn board_with_evidence(workers: usize) -> Board {
    let mut board = board(workers);
    board.evidence = Some(Evidence::default());
    board
}

/// Counts outcomes of own runs at a worker, and assesses all workers.
fn note(board: &mut Board, worker: usize, good: u32, bad: u32) {
    for _ in 0..good {
        board.note_outcome(&ticket(name(worker)), Outcome::Good, NOW);
    }
    for _ in 0..bad {
        board.note_outcome(&ticket(name(worker)), Outcome::Bad, NOW);
    }
}

fn report(run: u64, sequence: u64) -> ReportId {
    let run = Incarnation(run);
    ReportId { run, sequence }
}

fn take(board: &mut Board, id: ReportId, raw: Vec<RawOutcome>, now: Moment) {
    let outcomes = ReportedOutcomes::try_from(raw).expect("well-formed");
    let peer = EntryName::from("peer");
    let taken = board.take_outcomes(&peer, id, outcomes, now);
    taken.expect("known workers");
}

fn counts(board: &Board, worker: usize, now: Moment) -> (u32, u32) {
    let evidence = board.evidence.as_ref().expect("in use");
    let counts = evidence.counts(tag(worker), now);
    (counts.good, counts.bad)
}

fn once() -> Query<'static> {
    Query {
        attempt: Attempt::Last,
        ..query(&[])
    }
}

#[test]
fn outcomes_leave_the_window() {
    let mut board = board_with_evidence(1);
    note(&mut board, 0, 3, 2);
    assert_eq!(counts(&board, 0, NOW + Duration::from_millis(2400)), (3, 2));
    assert_eq!(counts(&board, 0, NOW + Duration::from_millis(5100)), (0, 0));
}

/// A worker that leaves breaks its runs off, which is no fault of it.
#[test]
fn a_worker_that_leaves_is_not_blamed() {
    let mut board = board_with_evidence(1);
    board.apply_catalog(&catalog(1, WorkerState::Draining));
    note(&mut board, 0, 0, 5);
    assert_eq!(counts(&board, 0, NOW), (0, 0));
}

/// Requests wait for long at workers of an overloaded service, which are not at fault.
#[test]
fn a_busy_worker_is_not_blamed_for_late_answers() {
    let mut board = board_with_evidence(3);
    start(&mut board, 0, Class::Online, SLOTS + 1);
    board.succeeded(&ticket(name(1)), NOW);
    for (worker, is_counted) in [(0, false), (1, false), (2, true)] {
        assert_eq!(board.note_late(&ticket(name(worker)), NOW), is_counted);
        assert_eq!(counts(&board, worker, NOW), (0, u32::from(is_counted)));
    }
}

/// Datagrams arrive late, twice or in another order, and a peer starts again.
#[test]
fn the_newest_report_of_a_peer_counts() {
    let mut board = board_with_evidence(2);
    take(&mut board, report(1, 5), vec![(tag(0), 9, 1)], NOW);
    take(&mut board, report(1, 5), vec![(tag(0), 9, 1)], NOW);
    take(
        &mut board,
        report(1, 4),
        vec![(tag(0), 9, 0), (tag(1), 2, 0)],
        NOW,
    );
    assert_eq!(counts(&board, 0, NOW), (9, 1));
    assert_eq!(counts(&board, 1, NOW), (2, 0));
    take(&mut board, report(2, 7), vec![(tag(1), 1, 1)], NOW);
    take(&mut board, report(1, 6), vec![(tag(0), 9, 1)], NOW);
    assert_eq!(counts(&board, 0, NOW), (0, 0));
    assert_eq!(counts(&board, 1, NOW), (1, 1));
    take(&mut board, report(3, 8), Vec::new(), NOW);
    assert_eq!(counts(&board, 1, NOW), (0, 0));
}

/// The outcomes of a peer that is silent count for two seconds.
#[test]
fn reports_expire() {
    let mut board = board_with_evidence(1);
    take(&mut board, report(1, 1), vec![(tag(0), 9, 1)], NOW);
    for (after, expected) in [(1900, (9, 1)), (2000, (0, 0))] {
        let now = NOW + Duration::from_millis(after);
        board.evidence.as_mut().expect("in use").sweep(now);
        assert_eq!(counts(&board, 0, now), expected);
    }
}

/// A datagram whose content is impossible must change nothing.
#[test]
fn impossible_reports_are_rejected() {
    let many = (0..=MAX_REPORTED_WORKERS).map(|n| (tag(n), 1, 0)).collect();
    let invalid = |raw: Vec<RawOutcome>| ReportedOutcomes::try_from(raw).expect_err("invalid");
    assert_eq!(invalid(many), InvalidOutcomes::TooMany);
    let twice = vec![(tag(0), 1, 0), (tag(0), 0, 1)];
    assert_eq!(invalid(twice), InvalidOutcomes::Duplicate);
    let mut board = board_with_evidence(1);
    let partly_known = vec![(tag(0), 1, 0), (tag(7), 0, 9)];
    let outcomes = ReportedOutcomes::try_from(partly_known).expect("well-formed");
    let taken = board.take_outcomes(&EntryName::from("peer"), report(1, 1), outcomes, NOW);
    assert_eq!(taken, Err(InvalidOutcomes::UnknownWorkers(1)));
    assert_eq!(counts(&board, 0, NOW), (1, 0));
    assert_eq!(counts(&board, 7, NOW), (0, 0));
}

/// In a large fleet not all workers fit into a report: those with bad outcomes must be in.
#[test]
fn a_report_has_the_workers_with_bad_outcomes_first() {
    let mut board = board_with_evidence(300);
    for worker in 0..300 {
        note(&mut board, worker, 9, u32::from(worker >= 290));
    }
    let evidence = board.evidence.as_ref().expect("in use");
    let full = evidence.report(false, NOW);
    assert_eq!(full.len(), MAX_REPORTED_WORKERS);
    assert_eq!(full.iter().filter(|(.., bad)| *bad > 0).count(), 10);
    assert_eq!(evidence.report(true, NOW).len(), 10);
    let later = NOW + Duration::from_millis(200);
    assert!(evidence.report(true, later).is_empty());
}

/// Requests that may run only once leave a doubtful worker while another one has a slot,
/// but do not queue for it. Requests that may run again do not avoid it.
#[test]
fn requests_that_run_once_avoid_doubtful_workers() {
    let mut board = board_with_evidence(2);
    note(&mut board, 0, 20, 3);
    note(&mut board, 1, 60, 0);
    board.assess_workers(NOW);
    assert_eq!(
        board.worker_view(&name(0)).map(|s| s.standing),
        Some(Standing::Doubtful)
    );
    assert_eq!(online(&board), Placement::Send(name(0)));
    assert_eq!(place_online(&board, &once()), Placement::Send(name(1)));
    start(&mut board, 1, Class::Online, SLOTS);
    assert_eq!(place_online(&board, &once()), Placement::Send(name(0)));
}

/// A failing worker has the most free slots, as its runs end at once. It gets a request only
/// if the others have no room, and one that may run only once not even then.
#[test]
fn a_failing_worker_comes_last() {
    let mut board = board_with_evidence(2);
    note(&mut board, 0, 0, 8);
    note(&mut board, 1, 60, 0);
    board.assess_workers(NOW);
    assert_eq!(
        board.worker_view(&name(0)).map(|s| s.standing),
        Some(Standing::Failing)
    );
    start(&mut board, 1, Class::Online, SLOTS + 1);
    assert_eq!(online(&board), Placement::Send(name(1)));
    start(&mut board, 1, Class::Online, 3 * SLOTS);
    assert_eq!(online(&board), Placement::Send(name(0)));
    assert_eq!(place_online(&board, &once()), Placement::Full);
}

/// Unproven workers get one request that may run only once at a time.
#[test]
fn an_idle_unproven_worker_is_as_good_as_a_proven_one() {
    let mut board = board_with_evidence(3);
    note(&mut board, 2, 9, 0);
    board.assess_workers(NOW);
    assert_eq!(place_online(&board, &once()), Placement::Send(name(0)));
    peer(&mut board, "entry-2", 1, 0, &[(0, 1, 0), (1, 1, 0)]);
    assert_eq!(place_online(&board, &once()), Placement::Send(name(2)));
}

/// Items renew the evidence on doubtful workers; the last run of one must not be lost there.
#[test]
fn items_go_to_doubtful_workers_except_for_their_last_run() {
    let me = EntryName::from("me");
    let mut board = board_with_evidence(3);
    // On an idle service no worker is proven, so it does not wait for one.
    assert!(place_batch(&board, &once(), &me).is_some());
    note(&mut board, 0, 20, 3);
    note(&mut board, 1, 0, 9);
    note(&mut board, 2, 900, 0);
    board.assess_workers(NOW);
    assert_eq!(place_batch(&board, &query(&[]), &me), Some(name(0)));
    assert_eq!(place_batch(&board, &once(), &me), Some(name(2)));
    start(&mut board, 2, Class::Batch, SLOTS);
    assert_eq!(place_batch(&board, &once(), &me), None);
    let overdue = Query {
        attempt: Attempt::Overdue,
        ..query(&[])
    };
    assert_eq!(place_batch(&board, &overdue, &me), Some(name(0)));
    start(&mut board, 0, Class::Batch, SLOTS);
    assert_eq!(place_batch(&board, &query(&[]), &me), Some(name(1)));
    start(&mut board, 1, Class::Batch, 1);
    assert_eq!(place_batch(&board, &query(&[]), &me), None);
}

proptest! {
    /// With the feature off, neither outcomes nor the kind of attempt may change a choice.
    #[test]
    fn without_evidence_nothing_changes(
        runs in prop::collection::vec((0usize..5, any::<bool>(), 0u32..6), 0..12),
        outcomes in prop::collection::vec((0usize..5, 0u32..9), 0..8),
        avoid in prop::collection::vec((0usize..5).prop_map(name), 0..3),
        salt in any::<u64>(),
    ) {
        let mut board = board(5);
        for (worker, is_batch, count) in runs {
            let class = if is_batch { Class::Batch } else { Class::Online };
            start(&mut board, worker, class, count);
        }
        let untouched = board.clone();
        for (worker, bad) in outcomes {
            note(&mut board, worker, 1, bad);
        }
        prop_assert!(board.assess_workers(NOW).is_empty());
        let me = EntryName::from("me");
        for attempt in [Attempt::Repeatable, Attempt::Last, Attempt::Overdue] {
            let usual = Query { salt, ..query(&avoid) };
            let query = Query { attempt, ..usual };
            prop_assert_eq!(place_online(&board, &query), place_online(&untouched, &usual));
            prop_assert_eq!(place_batch(&board, &query, &me), place_batch(&untouched, &usual, &me));
        }
    }

    /// Whatever the outcomes: failing workers have at most half of the slots, and a worker
    /// without a bad outcome is not doubted.
    #[test]
    fn the_capacity_floor_holds(workers in prop::collection::vec((1u32..9, 0u32..30, 0u32..30), 1..40)) {
        let records: Vec<Record> = workers
            .iter()
            .map(|(slots, good, bad)| Record { slots: *slots, counts: Counts { good: *good, bad: *bad } })
            .collect();
        let assessed = assess(&records);
        let slots: u32 = records.iter().map(|r| r.slots).sum();
        let pairs = || records.iter().zip(&assessed);
        let failing = pairs().filter(|(_, a)| a.standing == Standing::Failing);
        prop_assert!(failing.map(|(r, _)| r.slots).sum::<u32>() * 2 <= slots);
        prop_assert!(pairs().all(|(r, a)| r.counts.bad > 0 || !a.standing.is_doubted()));
    }

    /// The sums are updated with each report; for any order of reports, expiries and broken
    /// paths they must equal the sum of the newest report of each peer.
    #[test]
    fn sums_are_those_of_the_newest_reports(
        reports in prop::collection::vec((0usize..3, 1u64..9, 0usize..4, 0u8..5), 1..40),
    ) {
        let mut board = board_with_evidence(4);
        let mut newest: BTreeMap<(usize, usize), (u64, u8)> = BTreeMap::new();
        for (peer, sequence, worker, good) in reports {
            let raw = vec![(tag(worker), good, 0)];
            let outcomes = ReportedOutcomes::try_from(raw).expect("well-formed");
            let peer_name = EntryName::from(format!("peer-{peer}"));
            let taken = board.take_outcomes(&peer_name, report(1, sequence), outcomes, NOW);
            prop_assert_eq!(taken, Ok(()));
            let known = newest.entry((peer, worker)).or_default();
            if sequence > known.0 {
                *known = (sequence, good);
            }
        }
        for worker in 0..4 {
            let of_worker = newest.iter().filter(|((_, w), _)| *w == worker);
            let expected: u32 = of_worker.map(|(_, (_, good))| u32::from(*good)).sum();
            prop_assert_eq!(counts(&board, worker, NOW), (expected, 0));
        }
    }
}

/// A request that has run before cannot be refused as not run. Guards against a broken answer
/// to its caller while a failing worker has room.
#[test]
fn a_request_that_has_run_may_go_to_a_failing_worker() {
    let mut board = board_with_evidence(2);
    note(&mut board, 0, 0, 8);
    note(&mut board, 1, 60, 0);
    board.assess_workers(NOW);
    start(&mut board, 1, Class::Online, 4 * SLOTS);
    assert_eq!(place_online(&board, &once()), Placement::Full);
    let has_run = Query {
        attempt: Attempt::Overdue,
        ..query(&[])
    };
    assert_eq!(place_online(&board, &has_run), Placement::Send(name(0)));
}

/// All workers lose the same share. Guards against holding back those that look worse by
/// chance, which would double the load on the others.
#[test]
fn a_uniform_loss_makes_no_worker_failing() {
    for bad in [7, 8, 9, 11, 16] {
        let records: Vec<Record> = (0..44)
            .map(|n| {
                let bad = bad + n % 3 - 1;
                let counts = Counts {
                    good: 27 - bad,
                    bad,
                };
                Record { slots: 8, counts }
            })
            .collect();
        let failing = assess(&records)
            .iter()
            .filter(|a| a.standing == Standing::Failing)
            .count();
        assert_eq!(failing, 0, "{bad} of 27");
    }
}

/// Sound workers have queues, and a failing one has free slots. Guards against requests that
/// leave the queue of a busy worker for one that loses them.
#[test]
fn a_request_keeps_its_place_in_a_queue_rather_than_go_to_a_failing_worker() {
    let mut board = board_with_evidence(2);
    note(&mut board, 0, 0, 8);
    note(&mut board, 1, 60, 0);
    board.assess_workers(NOW);
    start(&mut board, 1, Class::Online, 4 * SLOTS);
    board.succeeded(&ticket(name(1)), NOW);
    assert!(!should_reroute(&board, &query(&[]), &name(1)));
}
