//! Ownership of free slots by the daemons' demand.

#[expect(dead_code, reason = "the module also serves other tests")]
mod common;

use bluebellreel_dispatch::{Board, Class, Demand, Query, place_batch};
use bluebellreel_types::{DataCentre, EntryName, Moment};
use common::{NOW, SLOTS, board, name, peer, query, start};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn entry(n: usize) -> EntryName {
    EntryName::from(format!("entry-{n}"))
}

/// What one daemon reports: none if its build does not report demand.
type Reported = Option<(usize, usize)>;

/// The board of daemon `me`, with the reports of the others.
fn board_of(me: usize, workers: usize, reported: &[Reported]) -> Board {
    let mut board = board(workers);
    let place = |n: usize| DataCentre::from(if n.is_multiple_of(2) { "here" } else { "there" });
    board.local = place(me);
    for (n, reported) in reported.iter().enumerate().filter(|(n, _)| *n != me) {
        let waiting = reported.map_or(1, |(in_time, late)| in_time + late);
        board.note_data_centre(&entry(n), place(n));
        let waiting = u32::try_from(waiting).expect("few items");
        peer(&mut board, entry(n).as_str(), 1, waiting, &[]);
        let demand = reported.map(|(in_time, late)| Demand::new(in_time, late));
        board.demands.hear(&entry(n), 1, demand);
    }
    let (in_time, late) = reported[me].expect("this build reports demand");
    board.demands.set_own(Demand::new(in_time, late));
    board
}

/// Workers at which a daemon starts items.
fn taken(board: &mut Board, me: usize, now: Moment) -> Vec<usize> {
    let mut taken = Vec::new();
    let query = Query { now, ..query(&[]) };
    while let Some(worker) = place_batch(board, &query, &entry(me)) {
        let at = worker.as_str()[2..].parse().expect("a number");
        start(board, at, Class::Batch, 1);
        taken.push(at);
    }
    taken
}

fn taken_by_each(workers: usize, reported: &[Reported], idle: Duration) -> Vec<Vec<usize>> {
    let each = (0..reported.len()).filter(|n| reported[*n].is_some_and(|r| r != (0, 0)));
    each.map(|me| {
        let mut board = board_of(me, workers, reported);
        board.note_free_slots(NOW);
        taken(&mut board, me, NOW + idle)
    })
    .collect()
}

proptest! {
    /// Guards against two daemons that take the same slots although they have the same
    /// reports, and against slots that nobody takes, also after slots have stayed free.
    #[test]
    fn every_slot_has_one_owner(
        reported in prop::collection::vec((0usize..40, 0usize..40), 1..12),
        idle_ms in 0u64..3000,
    ) {
        let reported: Vec<Reported> = reported.into_iter().map(Some).collect();
        prop_assume!(reported.iter().any(|r| *r != Some((0, 0))));
        let idle = Duration::from_millis(idle_ms);
        let mut counts = BTreeMap::new();
        for worker in taken_by_each(20, &reported, idle).into_iter().flatten() {
            *counts.entry(worker).or_insert(0) += 1;
        }
        prop_assert_eq!(counts.len(), 20);
        prop_assert!(counts.values().all(|count| *count == SLOTS));
    }

    #[test]
    fn impossible_numbers_are_rejected(in_time: u32, late: u32) {
        let is_possible = u64::from(in_time) + u64::from(late) <= 1_000_000;
        prop_assert_eq!(Demand::try_from((in_time, late)).is_ok(), is_possible);
    }
}

#[test]
fn daemons_with_items_that_can_be_in_time_own_the_slots() {
    let reported = [Some((40, 0)), Some((0, 500)), Some((40, 9)), Some((0, 3))];
    let taken = taken_by_each(24, &reported, Duration::ZERO);
    assert!(taken[1].is_empty() && taken[3].is_empty(), "{taken:?}");
    let late = [Some((0, 2)), Some((0, 500)), Some((0, 0))];
    let taken = taken_by_each(40, &late, Duration::ZERO);
    assert!(taken[1].len() > 10 * taken[0].len(), "{taken:?}");
}

/// One item that can be in time is held back for a moment. Its daemon must not keep all
/// slots of the fleet from the other items.
#[test]
fn a_single_item_does_not_claim_all_slots() {
    let taken = taken_by_each(100, &[Some((1, 0)), Some((0, 500))], Duration::ZERO);
    assert!(taken[1].len() > taken[0].len(), "{taken:?}");
}

/// All items that can be in time have been started. The daemon's other items must not take
/// slots by the claim of the former.
#[test]
fn late_items_do_not_use_the_claim_of_others() {
    let mut board = board_of(0, 24, &[Some((50, 50)), Some((50, 0))]);
    assert!(!taken(&mut board.clone(), 0, NOW).is_empty());
    board.demands.set_own(Demand::new(0, 50));
    assert!(taken(&mut board, 0, NOW).is_empty());
}

/// A daemon of the previous build does not report demand and divides slots evenly. If the
/// others divided them by demand, both would take the same slots.
#[test]
fn slots_are_divided_evenly_while_a_daemon_does_not_report_demand() {
    let mut by_demand = board_of(0, 100, &[Some((16, 0)), None, Some((1, 0))]);
    let mut evenly = by_demand.clone();
    evenly.demands = bluebellreel_dispatch::Demands::default();
    let taken_evenly = taken(&mut evenly, 0, NOW);
    assert_eq!(taken(&mut by_demand, 0, NOW), taken_evenly);
    let mut all_report = board_of(0, 100, &[Some((16, 0)), Some((1, 0)), Some((1, 0))]);
    assert!(taken(&mut all_report, 0, NOW).len() > taken_evenly.len());
}

/// A peer with most of the demand falls silent. Its slots must pass to the others once its
/// report has expired.
#[test]
fn slots_of_a_silent_peer_pass_on() {
    let mut board = board_of(0, 24, &[Some((1, 0)), Some((900, 0))]);
    assert!(taken(&mut board.clone(), 0, NOW).len() < 20);
    board.evict_expired_peers(NOW + Duration::from_secs(2));
    assert_eq!(taken(&mut board, 0, NOW).len(), 24 * 4);
}

/// A peer owns slots and starts nothing there, as its items need another service. Guards
/// against slots that are free for a second while items wait.
#[test]
fn slots_that_stay_free_pass_on() {
    let mut free = board_of(0, 24, &[Some((1, 0)), Some((900, 0)), Some((900, 0))]);
    let mut used = vec![false; 24];
    for ms in (0..1000).step_by(20) {
        let now = NOW + Duration::from_millis(ms);
        free.note_free_slots(now);
        for at in taken(&mut free.clone(), 0, now) {
            used[at] = true;
        }
    }
    assert!(used.iter().all(|used| *used), "{used:?}");
}

/// Each of many daemons rounded its share of the reserve up, and so kept one of its few
/// slots free. Guards also against a reserve that the daemons use up together.
#[test]
fn the_reserve_is_kept_once_for_all() {
    let left = |is_on: bool| {
        let mut board = board_of(0, 40, &[Some((5, 0)); 12]);
        if !is_on {
            board.demands = bluebellreel_dispatch::Demands::default();
        }
        for worker in 0..40 {
            start(&mut board, worker, Class::Online, 3);
        }
        let mut taken_slots = 0;
        for me in 0..12 {
            taken_slots += taken(&mut board, me, NOW).len();
        }
        40 - taken_slots
    };
    assert!(left(true) >= 12, "a tenth of 120 online requests");
    assert!(left(true) <= left(false));
}

/// With the feature off, a peer's demand changes nothing.
#[test]
fn demand_of_peers_is_ignored_without_own_demand() {
    let mut plain = board(24);
    peer(&mut plain, "entry-1", 1, 3, &[]);
    let mut told = plain.clone();
    told.demands.hear(&entry(1), 1, Some(Demand::new(3, 0)));
    told.note_free_slots(NOW);
    let now = NOW + Duration::from_secs(1);
    assert_eq!(taken(&mut plain, 0, now), taken(&mut told, 0, now));
    assert_eq!(told.worker_view(&name(0)), plain.worker_view(&name(0)));
}
