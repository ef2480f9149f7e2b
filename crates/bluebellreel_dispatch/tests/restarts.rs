//! Workers that restart under the same id, and entries that are not worker records.

use bluebellreel_dispatch::{
    Attempt, Board, Boot, Catalog, Class, PeerLoad, PeerRuns, Placement, PlacementLimits, Query,
    Running, Ticket, WorkerChange, WorkerRecord, WorkerState, WorkerTag, place_online,
};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SLOTS: u32 = 4;
const NOW: Moment = Moment(1_000_000);

fn id() -> WorkerName {
    WorkerName::from("w-1")
}

fn worker(boot: Option<u64>) -> WorkerRecord {
    WorkerRecord {
        id: id(),
        boot: boot.map(Boot),
        version: None,
        service: Arc::from("lm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from("hall"),
        slots: SLOTS,
        state: WorkerState::Ready,
    }
}

/// A board with one worker in the given incarnation.
fn board(catalog: &mut Catalog, boot: u64) -> Board {
    let mut board = Board::new(DataCentre::from("hall"), PlacementLimits::default());
    catalog.put(1, worker(Some(boot)));
    board.apply_catalog(catalog);
    board
}

fn restart(board: &mut Board, catalog: &mut Catalog, revision: i64, boot: u64) {
    catalog.put(revision, worker(Some(boot)));
    let changes = board.apply_catalog(catalog);
    let again = WorkerChange::Restarted(WorkerState::Ready);
    assert_eq!(changes, [(id(), again)]);
}

fn load(sequence: u64, boot: u64, online: u32) -> PeerLoad {
    let runs = PeerRuns {
        boot: Some(Boot(boot)),
        running: Running { online, batch: 0 },
    };
    PeerLoad {
        sequence,
        running: BTreeMap::from([(id(), runs)]),
        waiting: 0,
        expires_at: NOW + Duration::from_secs(9),
    }
}

fn place(board: &Board) -> Placement {
    let query = Query {
        service: "lm",
        version: None,
        avoid: &[],
        attempt: Attempt::Repeatable,
        max_wait: Duration::ZERO,
        salt: 0,
        now: NOW,
    };
    place_online(board, &query)
}

/// A worker crashes with all slots taken and restarts under its id half a second later.
/// Callers were refused for seconds because the runs of its previous incarnation were
/// still counted, both the local ones and those of peers that did not know of the
/// restart yet.
#[test]
fn a_restarted_worker_has_all_slots_free() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let ours = board.start(&id(), Class::Online);
    board.hear(&EntryName::from("entry-2"), load(1, 7, SLOTS));
    assert_eq!(place(&board), Placement::Full);
    restart(&mut board, &mut catalog, 2, 8);
    assert_eq!(place(&board), Placement::Send(id()));
    // A late report on the previous incarnation changes nothing.
    board.hear(&EntryName::from("entry-2"), load(2, 7, SLOTS));
    assert_eq!(
        board.worker_view(&id()).map(|s| s.running().total()),
        Some(0)
    );
    let again = board.start(&id(), Class::Online);
    board.end(&ours);
    assert_eq!(board.worker_view(&id()).map(|s| s.own.online), Some(1));
    board.end(&again);
    assert_eq!(board.worker_view(&id()).map(|s| s.own.online), Some(0));
}

/// Streams of the previous incarnation break off after the new one is known. If these
/// failures counted against the new one, it would get no requests for seconds although
/// it is healthy.
#[test]
fn failures_of_a_previous_incarnation_do_not_count() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let runs: Vec<Ticket> = (0..4).map(|_| board.start(&id(), Class::Online)).collect();
    for _ in 0..40 {
        board.note_interval(&runs[0], Duration::from_millis(400), NOW);
    }
    board.failed(&runs[0], NOW);
    assert!(
        !board
            .worker_view(&id())
            .expect("listed")
            .breaker
            .allows(NOW)
    );
    assert!(!board.is_from_previous_incarnation(&runs[1]));
    restart(&mut board, &mut catalog, 2, 8);
    assert!(
        board
            .worker_view(&id())
            .expect("listed")
            .breaker
            .allows(NOW)
    );
    assert!(board.is_from_previous_incarnation(&runs[1]));
    for run in &runs[1..] {
        board.failed(run, NOW);
        board.note_interval(run, Duration::from_millis(400), NOW);
    }
    assert!(
        board
            .worker_view(&id())
            .expect("listed")
            .breaker
            .allows(NOW)
    );
    assert_eq!(
        board.speeds.interval(&id(), NOW),
        None,
        "the speed is reset too"
    );
}

/// Events and failures of a run at a previous incarnation must not count for or against
/// the current one.
#[test]
fn events_and_items_of_a_previous_incarnation_do_not_count() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let former = board.start(&id(), Class::Batch);
    restart(&mut board, &mut catalog, 2, 8);
    board.failed_item(&former, NOW);
    assert!(
        board
            .worker_view(&id())
            .expect("listed")
            .breaker
            .allows(NOW)
    );
    let present = board.start(&id(), Class::Online);
    board.failed(&present, NOW);
    board.succeeded(&former, NOW);
    let worker_view = board.worker_view(&id()).expect("listed");
    assert!(!worker_view.breaker.allows(NOW));
    assert_eq!(worker_view.last_event_at, Moment::default());
}

/// A peer's runs at a previous incarnation must not be subtracted from other peers' runs
/// at the current one.
#[test]
fn a_peer_that_learns_of_a_restart_removes_no_other_peers_runs() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    board.hear(&EntryName::from("entry-2"), load(1, 7, 2));
    restart(&mut board, &mut catalog, 2, 8);
    board.hear(&EntryName::from("entry-3"), load(1, 8, 3));
    board.hear(&EntryName::from("entry-2"), load(2, 8, 1));
    assert_eq!(board.worker_view(&id()).map(|s| s.peers.online), Some(4));
}

/// Reports to peers state the incarnation of each worker that has local runs.
#[test]
fn own_runs_are_listed_with_their_incarnation() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let _ = board.start(&id(), Class::Online);
    let online = Running {
        online: 1,
        batch: 0,
    };
    let own: Vec<_> = board.own().collect();
    assert_eq!(own, [(&id(), Some(Boot(7)), online)]);
}

/// A worker that leaves during local runs gets no new work, and may return.
#[test]
fn a_worker_that_leaves_during_runs_gets_nothing_new_until_it_returns() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let run = board.start(&id(), Class::Online);
    catalog.remove(2, &id());
    assert_eq!(board.apply_catalog(&catalog), [(id(), WorkerChange::Left)]);
    assert_eq!(place(&board), Placement::NoWorker);
    let mut leaving = worker(Some(7));
    leaving.state = WorkerState::Draining;
    catalog.put(3, leaving);
    let back = WorkerChange::Listed(WorkerState::Draining);
    assert_eq!(board.apply_catalog(&catalog), [(id(), back)]);
    catalog.put(4, worker(Some(7)));
    board.apply_catalog(&catalog);
    board.end(&run);
    assert!(
        board.apply_catalog(&catalog).is_empty(),
        "the worker has not left again"
    );
    assert_eq!(place(&board), Placement::Send(id()));
}

/// A run at a worker that is no longer listed does not belong to a previous incarnation:
/// nothing has restarted.
#[test]
fn a_removed_worker_does_not_count_as_restarted() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let run = board.start(&id(), Class::Online);
    board.end(&run);
    catalog.remove(2, &id());
    board.apply_catalog(&catalog);
    assert!(board.worker_view(&id()).is_none());
    assert!(!board.is_from_previous_incarnation(&run));
}

/// Another writer overwrites the key of a worker. That worker must get nothing new, also
/// when an older fact of it arrives, and the other worker must be unaffected.
#[test]
fn an_invalid_entry_removes_only_its_own_worker() {
    let mut catalog = Catalog::default();
    let mut other = worker(None);
    other.id = WorkerName::from("w-2");
    catalog.put(1, worker(None));
    catalog.put(2, other.clone());
    let keep_until = Some(NOW + Duration::from_secs(2));
    let list = vec![(5, id(), None), (2, other.id.clone(), Some(other.clone()))];
    assert!(catalog.replace(6, list, keep_until));
    let listed: Vec<_> = catalog.workers().map(|w| w.id.clone()).collect();
    assert_eq!(
        listed,
        [other.id],
        "an overwritten entry gets no grace period"
    );
    assert!(!catalog.put(1, worker(None)), "an older fact");
    assert!(
        catalog.take(7, &id(), Some(worker(None))),
        "the worker is listed again"
    );
}

/// Events of one worker that is used by two daemons.
#[derive(Clone, Debug)]
enum Step {
    Start,
    End(prop::sample::Index),
    Restart(u64),
    Peer { boot: u64, online: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Start),
        any::<prop::sample::Index>().prop_map(Step::End),
        (0u64..3).prop_map(Step::Restart),
        (0u64..3, 0u32..5).prop_map(|(boot, online)| Step::Peer { boot, online }),
    ]
}

proptest! {
    /// In any order of runs, ends, restarts and reports, only runs that were sent to the
    /// worker's current incarnation count.
    #[test]
    fn only_runs_of_the_current_incarnation_count(steps in prop::collection::vec(step(), 1..60)) {
        let mut catalog = Catalog::default();
        let mut board = board(&mut catalog, 0);
        let mut present = 0;
        let mut incarnations = 0u32;
        let mut runs: Vec<(u32, Ticket)> = Vec::new();
        let mut peer = (0, 0);
        for (at, step) in steps.into_iter().enumerate() {
            let at = u64::try_from(at).expect("few") + 2;
            match step {
                Step::Start => runs.push((incarnations, board.start(&id(), Class::Online))),
                Step::End(index) if !runs.is_empty() => {
                    let (_, ticket) = runs.remove(index.index(runs.len()));
                    // Two incarnations with the same number cannot be distinguished.
                    board.end(&ticket);
                }
                Step::Restart(boot) if boot > present => {
                    present = boot;
                    incarnations += 1;
                    restart(&mut board, &mut catalog, i64::try_from(at).expect("few"), boot);
                }
                Step::End(_) | Step::Restart(_) => {}
                Step::Peer { boot, online } => {
                    peer = (boot, online);
                    board.hear(&EntryName::from("entry-2"), load(at, boot, online));
                }
            }
            let own = runs.iter().filter(|(incarnation, _)| *incarnation == incarnations).count();
            let of_peer = if peer.0 == present { peer.1 } else { 0 };
            let worker_view = board.worker_view(&id()).expect("listed");
            prop_assert_eq!(worker_view.own.online, u32::try_from(own).expect("few"));
            prop_assert_eq!(worker_view.peers.online, of_peer);
        }
    }
}

/// Peers identify workers by tags. The tag of a previous incarnation must match no
/// worker, as its runs must not be counted for the current one.
#[test]
fn a_tag_names_one_incarnation() {
    let mut catalog = Catalog::default();
    let mut board = board(&mut catalog, 7);
    let former = WorkerTag::of(&id(), Some(Boot(7)));
    assert_eq!(board.worker_by_tag(former), Some((&id(), Some(Boot(7)))));
    assert_eq!(board.worker_by_tag(WorkerTag::of(&id(), None)), None);
    restart(&mut board, &mut catalog, 2, 8);
    assert_eq!(board.worker_by_tag(former), None);
    let present = WorkerTag::of(&id(), Some(Boot(8)));
    assert_eq!(board.worker_by_tag(present), Some((&id(), Some(Boot(8)))));
}
