//! Who runs where, who waits, who is refused, and which batch run yields.
//!
//! A slot is the scarce thing: an engine's pace hardly depends on how many of
//! its slots are used. So online work takes any free slot, then a slot that a
//! batch item gives up, then a short wait at the engine; past that it is
//! refused at once, while the caller can still come back in time. Batch takes
//! what is free and leaves as soon as the sum of all runs passes the slots.

use crate::{Board, Seat};
use bluebellreel_types::{EntryName, Moment, WorkerName};
use twox_hash::XxHash64;

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Workers that this request has tried.
    pub avoid: &'a [WorkerName],
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
    let takers: Vec<&Seat> = board.takers(query.service).collect();
    if takers.is_empty() {
        return Placement::NoWorker;
    }
    let untried = |s: &&&Seat| !query.avoid.contains(&s.record.id);
    let trusted: Vec<&Seat> = takers
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
            .collect::<Vec<&Seat>>()
    } else {
        trusted
    };
    let best = pool.into_iter().min_by_key(|seat| online_rank(board, seat));
    match best {
        None => Placement::NoWorker,
        Some(seat) if waiting_online(seat) >= board.limits.queued_per_worker => Placement::Full,
        Some(seat) => Placement::Send(seat.record.id.clone()),
    }
}

/// Online requests beyond a worker's slots.
fn waiting_online(seat: &Seat) -> u32 {
    seat.running().online.saturating_sub(seat.record.slots)
}

/// The lower, the better: no waiting first, then a free slot rather than one
/// that a batch item must give up, then the own data centre, then the
/// emptiest.
fn online_rank(board: &Board, seat: &Seat) -> (u32, bool, bool, bool, u32) {
    let running = seat.running();
    let slots = seat.record.slots;
    let no_slot_for_online = running.online >= slots;
    let must_yield = seat.free() == 0;
    let far = seat.record.data_centre != board.local;
    let waiting = if no_slot_for_online {
        running.online + 1 - slots
    } else {
        0
    };
    // A batch run of our own yields without a message.
    let asks_peer = must_yield && seat.own.batch == 0;
    (waiting, must_yield, asks_peer, far, running.total())
}

/// Slots of a service that nothing uses.
#[must_use]
pub fn idle_slots(board: &Board, service: &str) -> u32 {
    board.takers(service).map(Seat::free).sum()
}

/// Chooses a worker with a free slot for a batch item.
///
/// Two daemons that take the last free slot of a worker at the same moment
/// overfill it, and one of them has to yield at once. So the last slot is left
/// to the worker's first daemon by rendezvous among those alive.
#[must_use]
pub fn place_batch(
    board: &Board,
    query: &Query,
    me: &EntryName,
    alive: &[EntryName],
) -> Option<WorkerName> {
    board
        .takers(query.service)
        .filter(|s| !query.avoid.contains(&s.record.id) && s.doubt.takes(query.now))
        .filter(|s| {
            let kept = u32::from(!is_first(me, alive, &s.record.id));
            s.free() > kept
        })
        .max_by_key(|s| {
            let first = is_first(me, alive, &s.record.id);
            (s.free(), first, s.record.data_centre == board.local)
        })
        .map(|s| s.record.id.clone())
}

fn is_first(me: &EntryName, alive: &[EntryName], worker: &WorkerName) -> bool {
    let rank = |e: &EntryName| XxHash64::oneshot(0, format!("{e}/{worker}").as_bytes());
    let mine = rank(me);
    alive.iter().all(|other| other == me || rank(other) <= mine)
}

/// One batch run of this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRun<T> {
    /// Its key with the caller of [`batch_to_yield`].
    pub key: T,
    /// Where it runs.
    pub worker: WorkerName,
    /// When its job is due.
    pub due_at: Moment,
}

/// The batch runs that must make room now: as many as a worker has beyond its
/// slots, and all at a worker that leaves.
///
/// The run whose job is due last goes first. What it has generated is kept and
/// it goes on elsewhere, so the cost is reading its prompt once more.
#[must_use]
pub fn batch_to_yield<T: Clone>(board: &Board, runs: &[BatchRun<T>]) -> Vec<T> {
    let mut yields = Vec::new();
    for seat in board.seats() {
        let mut here: Vec<&BatchRun<T>> =
            runs.iter().filter(|r| r.worker == seat.record.id).collect();
        if here.is_empty() {
            continue;
        }
        here.sort_by_key(|r| std::cmp::Reverse(r.due_at));
        let count = if seat.record.state == crate::WorkerState::Draining {
            here.len()
        } else {
            own_share_of_excess(seat)
        };
        yields.extend(here.iter().take(count).map(|r| r.key.clone()));
    }
    yields
}

/// How many of our batch runs must go: our part of the runs beyond the slots,
/// rounded up, as the other daemons with batch there do the same.
fn own_share_of_excess(seat: &Seat) -> usize {
    let batch = seat.running().batch;
    if batch == 0 {
        return 0;
    }
    let excess = seat.excess().min(batch);
    let share = (excess * seat.own.batch).div_ceil(batch);
    usize::try_from(share.min(seat.own.batch)).unwrap_or(usize::MAX)
}
