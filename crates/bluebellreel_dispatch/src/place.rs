//! Placement of online requests and batch items on workers, and choice of the batch runs
//! that yield.
//!
//! Slots are the scarce resource: an engine's speed hardly depends on how many of its
//! slots are used. An online request therefore takes any free slot, then a slot that a
//! batch item gives up, then a short wait in the engine's queue. Beyond that it is
//! refused at once, while the caller still has time to retry. Batch items take free
//! slots and yield as soon as the runs at a worker exceed its slots.

use crate::demand::{Owners, SlotTotals};
use crate::evidence::{preference_for_item, risk, suits_item, without_futile_wait};
use crate::{Board, Fingerprint, Standing, WorkerView};
use bluebellreel_types::{EntryName, Moment, WorkerName, WorkerVersion};
use std::collections::BTreeMap;
use std::time::Duration;
use twox_hash::XxHash64;

/// Whether work may run again if its next run is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Attempt {
    /// It may.
    #[default]
    Repeatable,
    /// It may not: the next run is the only or the last one.
    Last,
    /// It may not, and no better worker is worth waiting for: an item has waited long enough
    /// for a proven one, or a request has run before and cannot be refused as not run.
    Overdue,
}

/// A request for a placement.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service that runs the work.
    pub service: &'a str,
    /// The version that began the output, if there is any: what two versions generate does
    /// not fit together.
    pub version: Option<&'a WorkerVersion>,
    /// Workers that this request has already tried; for a batch item, those where it has
    /// failed.
    pub avoid: &'a [WorkerName],
    /// Whether the work may run again.
    pub attempt: Attempt,
    /// How long the request may wait in an engine's queue and still be served in time;
    /// ignored for batch items.
    pub max_wait: Duration,
    /// A random number for the choice among equally good workers.
    pub salt: u64,
    /// The current time.
    pub now: Moment,
}

/// Result of placing an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this worker.
    Send(WorkerName),
    /// The queue of every worker is too long for the request to be served in time.
    Full,
    /// No worker of the service accepts work.
    NoWorker,
}

/// Workers of the service that accept new work and may run the query's.
fn eligible_workers<'a>(
    board: &'a Board,
    query: &'a Query,
) -> impl Iterator<Item = &'a WorkerView> {
    let ready = board.ready_workers(query.service);
    ready.filter(|s| query.version.is_none() || s.record.version.as_ref() == query.version)
}

/// Chooses a worker for an online request.
///
/// Circuit breakers only express a preference: if every one is open, the request goes to
/// one of the workers anyway.
#[must_use]
pub fn place_online(board: &Board, query: &Query) -> Placement {
    let ready_workers: Vec<&WorkerView> = eligible_workers(board, query).collect();
    if ready_workers.is_empty() {
        return Placement::NoWorker;
    }
    let untried = |s: &&&WorkerView| !query.avoid.contains(&s.record.id);
    let allowed: Vec<&WorkerView> = ready_workers
        .iter()
        .filter(untried)
        .filter(|s| s.breaker.allows(query.now))
        .copied()
        .collect();
    let pool = if allowed.is_empty() {
        ready_workers
            .iter()
            .filter(untried)
            .copied()
            .collect::<Vec<&WorkerView>>()
    } else {
        allowed
    };
    let lone = lone_versions(&ready_workers);
    let ranks: Vec<(Rank, &WorkerView)> = pool
        .into_iter()
        .map(|view| (rank(board, view, &lone, query), view))
        .collect();
    let Some(mut best) = ranks.iter().map(|(rank, _)| *rank).min() else {
        return Placement::NoWorker;
    };
    if best.wait > query.max_wait && query.attempt != Attempt::Last {
        // A failing worker that has room is better than a refusal, except for a request that
        // may run only once and has not run: it is refused, and its caller may come back.
        let in_time = ranks.iter().map(|(rank, _)| *rank);
        best = in_time
            .filter(|rank| rank.group == Group::Failing && rank.wait <= query.max_wait)
            .min()
            .unwrap_or(best);
    }
    if best.wait > query.max_wait {
        return Placement::Full;
    }
    let equal = ranks.iter().filter(|(rank, _)| *rank == best);
    let equal: Vec<&WorkerView> = equal.map(|(_, view)| *view).collect();
    Placement::Send(less_loaded_of_two(&equal, query.salt).record.id.clone())
}

/// Workers with a free slot that may run the query's request and were not tried.
fn free_workers<'a>(board: &'a Board, query: &'a Query) -> impl Iterator<Item = &'a WorkerView> {
    let allowed = eligible_workers(board, query).filter(|s| s.breaker.allows(query.now));
    allowed.filter(|s| s.free() > 0 && !query.avoid.contains(&s.record.id))
}

/// Chooses the worker for a trial run, which may crash it: the one with the fewest runs, if
/// any has a free slot.
#[must_use]
pub fn place_trial(board: &Board, query: &Query) -> Option<WorkerName> {
    let free = free_workers(board, query);
    let fewest = free.min_by_key(|s| (s.running().total(), is_slow(board, s, query.now)));
    fewest.map(|s| s.record.id.clone())
}

/// Chooses the worker for a request with a part under suspicion, if any has a free slot.
///
/// All daemons choose the same one, so that runs with the part crash as few workers as
/// possible until it is quarantined or cleared.
#[must_use]
pub fn place_contained(board: &Board, query: &Query, part: Fingerprint) -> Option<WorkerName> {
    let seed = u64::from_le_bytes(part.0);
    let rank = |s: &&WorkerView| {
        let score = XxHash64::oneshot(seed, s.record.id.as_str().as_bytes());
        (!is_slow(board, s, query.now), score)
    };
    let free = free_workers(board, query);
    free.max_by_key(rank).map(|s| s.record.id.clone())
}

/// The less loaded of two workers drawn at random.
///
/// The load of peers is known with a delay. If every daemon chose the least loaded
/// worker, all would choose the same one.
fn less_loaded_of_two<'a>(equal: &[&'a WorkerView], salt: u64) -> &'a WorkerView {
    let count = equal.len() as u64;
    let first = salt % count;
    let step = if count > 1 {
        1 + (salt / count) % (count - 1)
    } else {
        0
    };
    let at = |index: u64| equal[usize::try_from(index).unwrap_or(0)];
    let (one, other) = (at(first), at((first + step) % count));
    if other.running().total() < one.running().total() {
        other
    } else {
        one
    }
}

/// Expected time that one more online request would wait in a worker's queue.
///
/// Slots become free at the rate at which runs end, which is four times lower at a
/// worker that is four times as slow.
fn expected_wait(board: &Board, view: &WorkerView, now: Moment) -> Duration {
    let queued_ahead = (view.running().online + 1).saturating_sub(view.record.slots);
    let one = board.speeds.wait_per_run(view.record.slots);
    let slowness = board.speeds.slowness(&view.record.id, now);
    (one * queued_ahead).mul_f64(slowness)
}

/// Slowness, as a multiple of the median, above which other workers are preferred.
const SLOW_FACTOR: f64 = 1.6;

fn is_slow(board: &Board, view: &WorkerView, now: Moment) -> bool {
    board.speeds.slowness(&view.record.id, now) > SLOW_FACTOR
}

/// Time without any event from a worker after which it counts as unresponsive and not
/// only as busy. Events of one stream are some 30 ms apart.
pub(crate) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(120);

/// Whether a request that has waited long for its first byte should move to another
/// worker.
///
/// The request stays in the queue if no other worker accepts it. It leaves a worker
/// whose other streams still produce events only for a free slot: a place in a second
/// queue is no better than its place in the first.
#[must_use]
pub fn should_reroute(board: &Board, query: &Query, worker: &WorkerName) -> bool {
    let Placement::Send(other) = place_online(board, query) else {
        return false;
    };
    let (present, other) = (board.worker_view(worker), board.worker_view(&other));
    let last_event_at = present.map_or(Moment(0), |s| s.last_event_at);
    let busy = !(last_event_at + UNRESPONSIVE_AFTER).is_past(query.now);
    let is_failing =
        |view: Option<&WorkerView>| view.is_some_and(|s| s.standing == Standing::Failing);
    // A place in the queue of a sound worker is better than a slot at one that loses requests.
    let leads_to_failing = is_failing(other) && !is_failing(present);
    let free = other.is_some_and(|s| s.free() > 0) && !leads_to_failing;
    free || !busy
}

/// Workers that are considered together; the better group comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Usable,
    Failing,
}

/// Rank of a worker for an online request; lower is better. The order is: workers that are
/// not failing, then shortest wait, then the lowest risk that the run is lost, then workers
/// that are not slow, then a free slot, then a slot that one of this
/// daemon's own batch runs gives up (which needs no message), then a version at which the
/// output could go on, then the local data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    group: Group,
    wait: Duration,
    risk: u8,
    slow: bool,
    slot: u8,
    lone: bool,
    remote: bool,
}

fn rank(board: &Board, view: &WorkerView, lone: &LoneVersions, query: &Query) -> Rank {
    Rank {
        group: match view.standing {
            Standing::Failing => Group::Failing,
            _ => Group::Usable,
        },
        wait: expected_wait(board, view, query.now),
        risk: risk(board, view, query.attempt),
        slow: is_slow(board, view, query.now),
        slot: match (view.free(), view.own.batch) {
            (1.., _) => 0,
            (0, 1..) => 1,
            (0, 0) => 2,
        },
        lone: lone.contains(&view.record.version.as_ref()),
        remote: view.record.data_centre != board.local,
    }
}

/// Versions with a single worker, while another version has more.
type LoneVersions<'a> = Vec<Option<&'a WorkerVersion>>;

/// Versions of which only one of these workers is, while another version has more. If that
/// worker left or failed, the output that it has begun could not go on anywhere.
fn lone_versions<'a>(workers: &[&'a WorkerView]) -> LoneVersions<'a> {
    let mut versions = workers.iter().map(|s| s.record.version.as_ref());
    let first = versions.next();
    if first.is_none_or(|first| versions.all(|version| version == first)) {
        return Vec::new();
    }
    let mut counts: BTreeMap<Option<&WorkerVersion>, usize> = BTreeMap::new();
    for worker in workers {
        *counts.entry(worker.record.version.as_ref()).or_default() += 1;
    }
    let has_larger = counts.values().any(|count| *count > 1);
    let lone = counts
        .into_iter()
        .filter(|(_, count)| has_larger && *count == 1);
    lone.map(|(version, _)| version).collect()
}

/// Chooses a worker with a free slot for a batch item.
///
/// Each worker's free slots belong to one daemon; see [`crate::Demands`]. Some slots stay
/// free, so that online requests find one without making an item yield; see
/// [`crate::PlacementLimits::reserve_percent`].
///
/// An item that has failed goes to a worker where it has not failed yet, whichever daemon
/// the slot belongs to; so does one that has output if workers of other versions serve too:
/// see [`place_restricted_item`].
#[must_use]
pub fn place_batch(board: &Board, query: &Query, me: &EntryName) -> Option<WorkerName> {
    let ready_workers: Vec<&WorkerView> = eligible_workers(board, query).collect();
    let lone = lone_versions(&ready_workers);
    let query = &without_futile_wait(query, &ready_workers);
    let is_restricted = ready_workers.len() < board.ready_workers(query.service).count();
    let owners = Owners::new(board, me, &ready_workers, query.now);
    let allowed = ready_workers
        .into_iter()
        .filter(|s| s.breaker.allows(query.now));
    let owns = |s: &&WorkerView| owners.owns(&s.record);
    let (ours, others): (Vec<&WorkerView>, Vec<&WorkerView>) = allowed.partition(owns);
    if !query.avoid.is_empty() || is_restricted {
        return place_restricted_item(board, query, &ours, &others);
    }
    let own = SlotTotals::of(ours.iter().copied());
    let has_room = if board.demands.is_on() {
        let all = SlotTotals::of(ours.iter().chain(&others).copied());
        own.has_room_of_share(board.limits) && all.has_room(board.limits)
    } else {
        own.has_room(board.limits)
    };
    if !has_room {
        return None;
    }
    best_for_batch(board, query, &lone, &ours)
}

/// How long a worker counts as responsive after an event of one of this daemon's runs.
/// The time is long enough for the ten or so runs of a daemon to identify several
/// responsive workers.
const RESPONSIVE_WINDOW: Duration = Duration::from_secs(2);

/// Chooses a worker for an item that has failed at others, or that has output and may run
/// at workers of one version only.
///
/// A worker that fails every request immediately has the most free slots and would get
/// the item's next attempt as well. No worker therefore gets an item twice while another
/// one is available, and workers where this daemon's runs recently produced events come
/// first.
fn place_restricted_item(
    board: &Board,
    query: &Query,
    ours: &[&WorkerView],
    others: &[&WorkerView],
) -> Option<WorkerName> {
    let (mine, theirs) = (untried(ours, query), untried(others, query));
    if query.avoid.is_empty() {
        let mut either = [&mine, &theirs].into_iter();
        return either.find_map(|views| best_for_batch(board, query, &[], views));
    }
    if mine.is_empty() && theirs.is_empty() {
        return best_for_batch(board, query, &[], ours);
    }
    let is_responsive = |s: &&WorkerView| !(s.last_event_at + RESPONSIVE_WINDOW).is_past(query.now);
    let both = mine.iter().chain(&theirs).copied();
    let responsive: Vec<&WorkerView> = both.filter(is_responsive).collect();
    [&responsive, &mine, &theirs]
        .into_iter()
        .find_map(|views| best_for_batch(board, query, &[], views))
}

fn untried<'a>(views: &[&'a WorkerView], query: &Query) -> Vec<&'a WorkerView> {
    let is_untried = |s: &&WorkerView| !query.avoid.contains(&s.record.id);
    views.iter().copied().filter(is_untried).collect()
}

fn best_for_batch(
    board: &Board,
    query: &Query,
    lone: &[Option<&WorkerVersion>],
    views: &[&WorkerView],
) -> Option<WorkerName> {
    views
        .iter()
        .filter(|s| s.free() > 0 && suits_item(board, s, query.attempt))
        .max_by_key(|s| {
            let preference = preference_for_item(board, s, query);
            let is_fast = !is_slow(board, s, query.now);
            let may_go_on = !lone.contains(&s.record.version.as_ref());
            let is_local = s.record.data_centre == board.local;
            (preference, is_fast, may_go_on, is_local, s.free())
        })
        .map(|s| s.record.id.clone())
}

/// One batch run of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRun<T> {
    /// Key by which the caller of [`batch_to_yield`] identifies the run.
    pub key: T,
    /// The worker that executes the run.
    pub worker: WorkerName,
    /// Number of events that the run has produced so far.
    pub events: u64,
}

/// Batch runs of this daemon that must yield now: its share of the runs beyond a worker's
/// slots, and all its runs at a draining worker.
///
/// The run that has generated the least yields first. Its output is kept and the item
/// resumes elsewhere, so the cost is processing that output and the prompt once more.
#[must_use]
pub fn batch_to_yield<T: Clone>(board: &Board, runs: &[BatchRun<T>]) -> Vec<T> {
    batch_to_yield_by(board, runs, |run| run.events)
}

/// As [`batch_to_yield`], but the run with the lowest key yields first.
#[must_use]
pub fn batch_to_yield_by<T: Clone, K: Ord>(
    board: &Board,
    runs: &[BatchRun<T>],
    key: impl Fn(&BatchRun<T>) -> K,
) -> Vec<T> {
    let mut by_worker: BTreeMap<&WorkerName, Vec<&BatchRun<T>>> = BTreeMap::new();
    for run in runs {
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let mut yields = Vec::new();
    for (worker, mut local_runs) in by_worker {
        let Some(view) = board.worker_view(worker) else {
            continue;
        };
        local_runs.sort_by_key(|r| key(r));
        let count = if view.record.state == crate::WorkerState::Draining {
            local_runs.len()
        } else {
            own_share_of_excess(view)
        };
        yields.extend(local_runs.iter().take(count).map(|r| r.key.clone()));
    }
    yields
}

/// Number of this daemon's batch runs that must yield: its share of the runs beyond the
/// slots, rounded up, as the other daemons with batch runs there yield their shares too.
fn own_share_of_excess(view: &WorkerView) -> usize {
    let batch = view.running().batch;
    if batch == 0 {
        return 0;
    }
    let excess = view.excess().min(batch);
    let share = (excess * view.own.batch).div_ceil(batch);
    usize::try_from(share.min(view.own.batch)).unwrap_or(usize::MAX)
}
