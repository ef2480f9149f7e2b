//! Who runs where, who waits, who is refused, and which batch run yields.
//!
//! A slot is the scarce thing: an engine's pace hardly depends on how many of
//! its slots are used. So online work takes any free slot, then a slot that a
//! batch item gives up, then a short wait at the engine; past that it is
//! refused at once, while the caller can still come back in time. Batch takes
//! what is free and leaves as soon as the sum of all runs passes the slots.

use crate::{Board, WorkerRecord, WorkerView};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use std::time::Duration;
use twox_hash::XxHash64;

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Workers that this request has tried; for batch, where the item has failed.
    pub avoid: &'a [WorkerName],
    /// How long it may wait in line and still be served in time; of no account
    /// for batch.
    pub max_wait: Duration,
    /// A random number, for a choice among workers alike.
    pub salt: u64,
    /// The present.
    pub now: Moment,
}

/// Where an online request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To this worker.
    Send(WorkerName),
    /// Every worker has as many waiting as can still be served in time.
    Full,
    /// No worker of the service takes work.
    NoWorker,
}

/// Chooses a worker for an online request.
///
/// Trust is a preference: where every worker is doubted, the request goes to
/// one of them rather than to none.
#[must_use]
pub fn place_online(board: &Board, query: &Query) -> Placement {
    let takers: Vec<&WorkerView> = board.takers(query.service).collect();
    if takers.is_empty() {
        return Placement::NoWorker;
    }
    let untried = |s: &&&WorkerView| !query.avoid.contains(&s.record.id);
    let trusted: Vec<&WorkerView> = takers
        .iter()
        .filter(untried)
        .filter(|s| s.doubt.takes(query.now))
        .copied()
        .collect();
    let pool = if trusted.is_empty() {
        takers
            .iter()
            .filter(untried)
            .copied()
            .collect::<Vec<&WorkerView>>()
    } else {
        trusted
    };
    let ranks: Vec<(Rank, &WorkerView)> = pool
        .into_iter()
        .map(|worker_view| (rank(board, worker_view, query.now), worker_view))
        .collect();
    let Some(best) = ranks.iter().map(|(rank, _)| *rank).min() else {
        return Placement::NoWorker;
    };
    if best.wait > query.max_wait {
        return Placement::Full;
    }
    let alike = ranks.iter().filter(|(rank, _)| *rank == best);
    let alike: Vec<&WorkerView> = alike.map(|(_, worker_view)| *worker_view).collect();
    Placement::Send(better_of_two(&alike, query.salt).record.id.clone())
}

/// The emptier of two drawn at random.
///
/// What is known of peers' runs is a moment old. If every daemon chose the
/// emptiest worker, all would choose the same one.
fn better_of_two<'a>(alike: &[&'a WorkerView], salt: u64) -> &'a WorkerView {
    let count = alike.len() as u64;
    let first = salt % count;
    let step = if count > 1 {
        1 + (salt / count) % (count - 1)
    } else {
        0
    };
    let at = |index: u64| alike[usize::try_from(index).unwrap_or(0)];
    let (one, other) = (at(first), at((first + step) % count));
    if other.running().total() < one.running().total() {
        other
    } else {
        one
    }
}

/// How long one more online request would stand in line at a worker.
///
/// Slots come free as often as runs end: four times as slowly at a worker that is
/// four times as slow.
fn expected_wait(board: &Board, worker_view: &WorkerView, now: Moment) -> Duration {
    let before = (worker_view.running().online + 1).saturating_sub(worker_view.record.slots);
    let one = board.speeds.wait_for_one(worker_view.record.slots);
    let slowness = board.speeds.slowness(&worker_view.record.id, now);
    (one * before).mul_f64(slowness)
}

/// How much slower than usual a worker is from which on others are preferred.
const SLOW_FACTOR: f64 = 1.6;

fn is_slow(board: &Board, worker_view: &WorkerView, now: Moment) -> bool {
    board.speeds.slowness(&worker_view.record.id, now) > SLOW_FACTOR
}

/// Time without any event from a worker after which it counts as silent, and
/// not only as busy. Events of one stream come some 30 ms apart.
const SILENT_AFTER: Duration = Duration::from_millis(120);

/// Whether a request that has waited long for its first byte does better
/// elsewhere.
///
/// Where nobody else takes it, it stays in line. From a worker whose other
/// streams go on it leaves only for a free slot: a place in a second line is
/// no better than its place in the first.
#[must_use]
pub fn should_reroute(board: &Board, query: &Query, worker: &WorkerName) -> bool {
    let Placement::Send(other) = place_online(board, query) else {
        return false;
    };
    let last_event_at = board
        .worker_view(worker)
        .map_or(Moment(0), |s| s.last_event_at);
    let busy = !(last_event_at + SILENT_AFTER).is_past(query.now);
    let free = board.worker_view(&other).is_some_and(|s| s.free() > 0);
    free || !busy
}

/// The lower, the better: the shortest wait first, then a worker that is not
/// slow, then a free slot, then one that a batch run of our own gives up, as
/// that needs no message; then the own data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    wait: Duration,
    slow: bool,
    slot: u8,
    far: bool,
}

fn rank(board: &Board, worker_view: &WorkerView, now: Moment) -> Rank {
    Rank {
        wait: expected_wait(board, worker_view, now),
        slow: is_slow(board, worker_view, now),
        slot: match (worker_view.free(), worker_view.own.batch) {
            (1.., _) => 0,
            (0, 1..) => 1,
            (0, 0) => 2,
        },
        far: worker_view.record.data_centre != board.local,
    }
}

fn rendezvous(entry: &EntryName, worker: &WorkerName) -> u64 {
    XxHash64::oneshot(0, format!("{entry}/{worker}").as_bytes())
}

/// Chooses a worker with a free slot for a batch item.
///
/// Daemons that take the same free slot at the same moment overfill a worker,
/// and one of them has to yield at once. So each worker's free slots belong to
/// one daemon: of those that have items waiting, one of the worker's own data
/// centre if there is any, the first by rendezvous. An item's output, some 15 KB,
/// then crosses data centres only where its own has no slot for it. And some
/// slots are left free, so that online arrivals find one without making
/// an item yield; see [`crate::PlacementLimits::reserve_percent`].
///
/// An item that has failed goes to a worker where it has not, whoever the slot
/// belongs to: see [`place_failed_item`].
#[must_use]
pub fn place_batch(board: &Board, query: &Query, me: &EntryName) -> Option<WorkerName> {
    let trusted = board
        .takers(query.service)
        .filter(|s| s.doubt.takes(query.now));
    let (ours, others): (Vec<&WorkerView>, Vec<&WorkerView>) =
        trusted.partition(|s| is_first(board, me, &s.record));
    let free: u32 = ours.iter().map(|s| s.free()).sum();
    let online: u32 = ours.iter().map(|s| s.running().online).sum();
    let reserve = (online * board.limits.reserve_percent).div_ceil(100);
    if !query.avoid.is_empty() {
        return place_failed_item(board, query, &ours, &others);
    }
    if free <= reserve {
        return None;
    }
    best_for_batch(board, query, &ours)
}

/// How long a worker counts as proven after an event of a run of ours: long enough
/// to know several workers from the ten or so runs that a daemon has.
const PROVEN_AFTER_EVENT: Duration = Duration::from_secs(2);

/// Chooses a worker for an item that has failed at others.
///
/// A worker that fails at once whatever it is sent has the most free slots, and
/// would get the item's next try as well. So no worker gets an item twice while
/// another one is trusted, and one whose runs here give events goes first.
fn place_failed_item(
    board: &Board,
    query: &Query,
    ours: &[&WorkerView],
    others: &[&WorkerView],
) -> Option<WorkerName> {
    let (mine, theirs) = (untried(ours, query), untried(others, query));
    if mine.is_empty() && theirs.is_empty() {
        return best_for_batch(board, query, ours);
    }
    let is_proven = |s: &&WorkerView| !(s.last_event_at + PROVEN_AFTER_EVENT).is_past(query.now);
    let both = mine.iter().chain(&theirs).copied();
    let proven: Vec<&WorkerView> = both.filter(is_proven).collect();
    [&proven, &mine, &theirs]
        .into_iter()
        .find_map(|worker_views| best_for_batch(board, query, worker_views))
}

fn untried<'a>(worker_views: &[&'a WorkerView], query: &Query) -> Vec<&'a WorkerView> {
    let is_untried = |s: &&WorkerView| !query.avoid.contains(&s.record.id);
    worker_views.iter().copied().filter(is_untried).collect()
}

fn best_for_batch(
    board: &Board,
    query: &Query,
    worker_views: &[&WorkerView],
) -> Option<WorkerName> {
    worker_views
        .iter()
        .filter(|s| s.free() > 0)
        .max_by_key(|s| {
            let quick = !is_slow(board, s, query.now);
            (quick, s.record.data_centre == board.local, s.free())
        })
        .map(|s| s.record.id.clone())
}

/// Whether a worker's free slots belong to daemon `me`. While some peer has not
/// said where it stands, places do not count: two daemons that do not know of
/// each other would both take themselves for the only near one.
fn is_first(board: &Board, me: &EntryName, worker: &WorkerRecord) -> bool {
    let place = &worker.data_centre;
    let mut peers = board.peers_with_items().filter(|peer| *peer != me);
    let by_place = board
        .peers_with_items()
        .all(|peer| peer == me || board.place_of(peer).is_some());
    let rank = |name: &EntryName, stands: Option<&DataCentre>| {
        let is_near = by_place && stands == Some(place);
        (is_near, rendezvous(name, &worker.id))
    };
    let mine = rank(me, Some(&board.local));
    peers.all(|peer| rank(peer, board.place_of(peer)) < mine)
}

/// One batch run of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRun<T> {
    /// Its key with the caller of [`batch_to_yield`].
    pub key: T,
    /// Where it runs.
    pub worker: WorkerName,
    /// Events that it has brought so far.
    pub events: u64,
}

/// The batch runs that must make room now: as many as a worker has beyond its
/// slots, and all at a worker that leaves.
///
/// The run that has generated least goes first. What it has generated is kept
/// and it goes on elsewhere, so the cost is reading that and its prompt once
/// more.
#[must_use]
pub fn batch_to_yield<T: Clone>(board: &Board, runs: &[BatchRun<T>]) -> Vec<T> {
    let mut yields = Vec::new();
    for worker_view in board.worker_views() {
        let mut here: Vec<&BatchRun<T>> = runs
            .iter()
            .filter(|r| r.worker == worker_view.record.id)
            .collect();
        if here.is_empty() {
            continue;
        }
        here.sort_by_key(|r| r.events);
        let count = if worker_view.record.state == crate::WorkerState::Draining {
            here.len()
        } else {
            own_share_of_excess(worker_view)
        };
        yields.extend(here.iter().take(count).map(|r| r.key.clone()));
    }
    yields
}

/// How many of our batch runs must go: our part of the runs beyond the slots,
/// rounded up, as the other daemons with batch there do the same.
fn own_share_of_excess(worker_view: &WorkerView) -> usize {
    let batch = worker_view.running().batch;
    if batch == 0 {
        return 0;
    }
    let excess = worker_view.excess().min(batch);
    let share = (excess * worker_view.own.batch).div_ceil(batch);
    usize::try_from(share.min(worker_view.own.batch)).unwrap_or(usize::MAX)
}
