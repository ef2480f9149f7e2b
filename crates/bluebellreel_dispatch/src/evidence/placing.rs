//! What the standing of workers means for placement. Without evidence on the board, all
//! workers are alike.

use super::Standing;
use crate::{Attempt, Board, Query, WorkerView};

/// Risk that an online run is lost, if it may not run again. An unproven worker gets one
/// such request at a time, which renews the evidence on it.
pub(crate) fn risk(board: &Board, view: &WorkerView, attempt: Attempt) -> u8 {
    if board.evidence.is_none() || attempt == Attempt::Repeatable {
        return 0;
    }
    match view.standing {
        Standing::Proven => 0,
        Standing::Unproven => u8::from(view.running().online > 0),
        Standing::Doubtful | Standing::Failing => 2,
    }
}

/// The query of an item, which does not wait for a proven worker if there is none that
/// might become free.
pub(crate) fn without_futile_wait<'a>(
    query: &Query<'a>,
    ready_workers: &[&WorkerView],
) -> Query<'a> {
    let is_proven = |s: &&WorkerView| s.standing == Standing::Proven;
    let waits = query.attempt == Attempt::Last && ready_workers.iter().any(is_proven);
    let attempt = match query.attempt {
        Attempt::Last if !waits => Attempt::Overdue,
        attempt => attempt,
    };
    Query { attempt, ..*query }
}

/// Whether a worker may get an item: a failing one gets one of this daemon at a time, and
/// an item's last run is at a proven one.
pub(crate) fn suits_item(board: &Board, view: &WorkerView, attempt: Attempt) -> bool {
    if board.evidence.is_none() {
        return true;
    }
    match (attempt, view.standing) {
        (Attempt::Last, standing) => standing == Standing::Proven,
        (_, Standing::Failing) => view.own.batch == 0,
        _ => true,
    }
}

/// Which workers get items first; higher is better. Items that may run again renew the
/// evidence on workers where requests that may not are at risk. One that has failed at
/// another worker, or may not run again, goes where it is most likely to complete.
pub(crate) fn preference_for_item(board: &Board, view: &WorkerView, query: &Query) -> u8 {
    let renews = query.attempt == Attempt::Repeatable && query.avoid.is_empty();
    match view.standing {
        _ if board.evidence.is_none() => 0,
        Standing::Failing => 0,
        Standing::Doubtful if renews => 2,
        Standing::Doubtful => 1,
        Standing::Unproven => 2,
        Standing::Proven if renews => 1,
        Standing::Proven => 3,
    }
}
