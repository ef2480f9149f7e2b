//! Admission of attempts, and their start at the engine.

use crate::lifecycle::{record_end, record_open, refuse_queued};
use crate::{Admission, Effect, LedgerEntry, Queued, Running};
use bluebellreel_types::{AttemptEnd, Class, Dispatch, EntryName, Moment, NotRunReason};

pub(crate) fn admit(
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
        // A duplicate dispatch: the answer to the first dispatch will follow.
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
        record_end(state, &dispatch, &end);
        effects.push(Effect::SendEnd { attempt, end });
        return;
    }
    record_open(state, &dispatch);
    state.queue.push(Queued { entry, dispatch });
}

/// The reason to refuse an attempt, or none if it is admitted.
pub(crate) fn refusal(state: &Admission, dispatch: &Dispatch, now: Moment) -> Option<NotRunReason> {
    // The entry daemon addressed this dispatch to an earlier incarnation of this
    // side process and it was delayed past the restart. The entry daemon may already
    // have answered its caller with "unknown".
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

/// Starts queued online attempts while the window has free slots. A slot held
/// by a batch attempt counts as free, since that attempt is cancelled in the
/// same step.
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
    // A batch item that was preempted before resumes from the text generated so
    // far. Its answer is the whole text, not only what this attempt adds.
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
