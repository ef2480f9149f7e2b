//! Pulling batch items, receiving them, and preempting them for online work.

use crate::admit::{refusal, start};
use crate::lifecycle::{record_open, stop};
use crate::{Admission, Effect, LedgerEntry, Running};
use bluebellreel_types::{
    AttemptEnd, BatchReport, BrokenReason, Class, Dispatch, EntryName, Moment, NotRunReason,
};

/// Cancels the batch attempts in excess of the batch share, those with the
/// fewest generated tokens first.
pub(crate) fn preempt_batch(state: &mut Admission, effects: &mut Vec<Effect>) {
    let allowed = if state.leaving {
        0
    } else {
        state.batch_window.allowed(state.online())
    };
    let mut over = state.count(Class::Batch).saturating_sub(allowed);
    while over > 0 {
        let least = state
            .running
            .iter()
            .filter(|(_, r)| can_preempt(r))
            .min_by_key(|(_, r)| r.tokens)
            .map(|(attempt, _)| *attempt);
        let Some(attempt) = least else { return };
        stop(state, attempt, BrokenReason::Preempted, effects);
        over -= 1;
    }
}

/// Whether an attempt may be preempted. A call that may not be repeated never
/// is, since its outcome would then be unknown.
pub(crate) fn can_preempt(running: &Running) -> bool {
    running.dispatch.class == Class::Batch
        && running.stopping.is_none()
        && running.dispatch.work.repeatable
}

/// Pulls from the next entry daemon in turn if there is room for batch items.
pub(crate) fn pull_batch(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
    if state.leaving || !state.batch_paused_until.is_past(now) {
        return;
    }
    let held = state.count(Class::Batch) + state.pulling.values().sum::<u32>();
    let room = state
        .batch_window
        .allowed(state.online())
        .saturating_sub(held);
    let online = state.online() > 0;
    let step = state.timings.step();
    let room = room.min(state.batch_starts.allowed(step, online, now));
    if room == 0 {
        return;
    }
    let Some(entry) = next_offer(state) else {
        return;
    };
    let room = room.min(state.offers[&entry]);
    state.batch_starts.take(room);
    state.pulling.insert(entry.clone(), room);
    state.last_pulled = Some(entry.clone());
    effects.push(Effect::Pull { entry, room });
}

pub(crate) fn next_offer(state: &Admission) -> Option<EntryName> {
    let ready =
        |entry: &&EntryName| state.offers[*entry] > 0 && !state.pulling.contains_key(*entry);
    let after = |entry: &&EntryName| state.last_pulled.as_ref().is_none_or(|last| *entry > last);
    state
        .offers
        .keys()
        .filter(ready)
        .find(after)
        .or_else(|| state.offers.keys().find(ready))
        .cloned()
}

pub(crate) fn receive_items(
    state: &mut Admission,
    entry: &EntryName,
    items: Vec<Dispatch>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let asked = state.pulling.remove(entry).unwrap_or(0);
    let taken = u32::try_from(items.len()).unwrap_or(u32::MAX);
    if let Some(offer) = state.offers.get_mut(entry) {
        // Fewer than requested: the entry daemon has no items left until its next
        // offer.
        *offer = if taken < asked {
            0
        } else {
            offer.saturating_sub(taken)
        };
    }
    for item in items {
        receive_item(state, entry, Box::new(item), now, effects);
    }
}

pub(crate) fn receive_item(
    state: &mut Admission,
    entry: &EntryName,
    dispatch: Box<Dispatch>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let attempt = dispatch.attempt;
    if matches!(state.ledger.get(attempt), Some(LedgerEntry::Open)) {
        return;
    }
    let allowed = state.batch_window.allowed(state.online());
    let full = state.count(Class::Batch) >= allowed;
    let known = state.ledger.get(attempt).is_some();
    let reason = if known {
        Some(NotRunReason::Cancelled)
    } else if full {
        Some(NotRunReason::Overloaded)
    } else {
        refusal(state, &dispatch, now)
    };
    if let Some(reason) = reason {
        let end = AttemptEnd::NotRun(reason);
        let entry = entry.clone();
        let report = BatchReport { attempt, end };
        effects.push(Effect::Report { entry, report });
        return;
    }
    record_open(state, &dispatch);
    start(state, entry.clone(), dispatch, now, effects);
}
