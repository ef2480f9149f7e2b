//! Which attempts are taken, and when they start at the engine.

use crate::settle::{open, refuse_queued, remember_end};
use crate::{Admission, Effect, LedgerEntry, Queued, Running};
use bluebellreel_types::{AttemptEnd, Class, Dispatch, EntryName, Moment, NotRunReason};

pub(crate) fn arrive(
    state: &mut Admission,
    entry: EntryName,
    dispatch: Box<Dispatch>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let attempt = dispatch.attempt;
    match state.ledger.get(attempt) {
        Some(LedgerEntry::Tombstone) => {
            let end = AttemptEnd::NotRun(NotRunReason::Cancelled);
            effects.push(Effect::SendEnd { attempt, end });
            return;
        }
        // A doubled dispatch: the first one's answer is on its way.
        Some(LedgerEntry::Open) => return,
        Some(LedgerEntry::Ended(end)) => {
            let end = end.clone();
            effects.push(Effect::SendEnd { attempt, end });
            return;
        }
        None => {}
    }
    if let Some(reason) = refusal(state, &dispatch, now) {
        let end = AttemptEnd::NotRun(reason);
        remember_end(state, &dispatch, &end);
        effects.push(Effect::SendEnd { attempt, end });
        return;
    }
    open(state, &dispatch);
    state.queue.push(Queued { entry, dispatch });
}

/// Why an attempt cannot be taken, if it cannot.
pub(crate) fn refusal(state: &Admission, dispatch: &Dispatch, now: Moment) -> Option<NotRunReason> {
    // A dispatch delayed past a restart was decided on against a process that
    // no longer exists; its entry may have told the caller "unknown" already.
    if dispatch.side != state.incarnation {
        return Some(NotRunReason::StaleIncarnation);
    }
    if state.leaving {
        return Some(NotRunReason::Leaving);
    }
    if !state.models.is_empty() && !state.models.contains(&dispatch.work.model) {
        return Some(NotRunReason::WrongModel);
    }
    if dispatch.deadline.is_past(now) {
        return Some(NotRunReason::Expired);
    }
    if state.ledger.len() >= state.limits.ledger_count {
        return Some(NotRunReason::Overloaded);
    }
    if dispatch.class == Class::Batch {
        return None;
    }
    let bytes = state.queue.bytes() + dispatch.work.body.len();
    if state.queue.len() >= state.limits.queue_count || bytes > state.limits.queue_bytes {
        return Some(NotRunReason::Overloaded);
    }
    if dispatch
        .deadline
        .is_past(now + state.predicted_first_token())
    {
        return Some(NotRunReason::TooLate);
    }
    None
}

/// Starts waiting online attempts while the window has places. A place held
/// by batch counts as free: the batch attempt is cancelled in the same step.
pub(crate) fn start_queued(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
    while state.count(Class::Online) < state.limits.window {
        let Some(queued) = state.queue.pop() else {
            return;
        };
        if queued.dispatch.deadline.is_past(now) {
            refuse_queued(state, &queued, NotRunReason::Expired, effects);
            continue;
        }
        start(state, queued.entry, queued.dispatch, now, effects);
    }
}

pub(crate) fn start(
    state: &mut Admission,
    entry: EntryName,
    dispatch: Box<Dispatch>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let attempt = dispatch.attempt;
    effects.push(Effect::StartEngine(dispatch.clone()));
    // A batch item that gave way before goes on from its text; its answer is
    // all of it, not only what this attempt adds.
    let text = match dispatch.class {
        Class::Batch => dispatch.resume.to_string(),
        Class::Online => String::new(),
    };
    let running = Running {
        entry,
        dispatch,
        started_at: now,
        last_token_at: None,
        tokens: 0,
        text,
        stopping: None,
        unreported: false,
    };
    state.running.insert(attempt, running);
}
