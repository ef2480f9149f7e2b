//! The last run that an item has: it goes to a proven worker, and waits for one if need be.

use super::runs::ITEM_BACKOFF;
use crate::gateway::Gateway;
use bluebellreel_batch::{Item, ItemPhase};
use bluebellreel_dispatch::{Attempt, Query, Route, place_batch};
use bluebellreel_types::Moment;
use std::time::Duration;

/// Time for which an item waits for a slot at a proven worker before its last run. Such
/// slots become free several times a second, also where all are taken.
const PROVEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the next run of an item is its last one; never while evidence on workers is not
/// in use.
pub(super) fn attempt_of(gw: &Gateway, item: &Item, route: &Route) -> Attempt {
    if !gw.settings.scheduling.worker_evidence || item.failures + 1 < route.max_workers {
        return Attempt::Repeatable;
    }
    match item.proven_deadline {
        Some(deadline) if deadline.is_past(gw.now()) => Attempt::Overdue,
        _ => Attempt::Last,
    }
}

/// Whether an item that finds no slot at a proven worker would find one at others.
pub(super) fn has_unproven_slot(gw: &Gateway, query: &Query) -> bool {
    let overdue = Query {
        attempt: Attempt::Overdue,
        ..*query
    };
    place_batch(&gw.board.borrow(), &overdue, gw.me()).is_some()
}

/// Has an item wait for a slot at a proven worker.
pub(super) fn wait(item: &mut Item, now: Moment) {
    item.phase = ItemPhase::Waiting {
        from: now + ITEM_BACKOFF,
    };
    item.proven_deadline.get_or_insert(now + PROVEN_TIMEOUT);
}
