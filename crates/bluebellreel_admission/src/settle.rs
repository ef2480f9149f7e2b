//! What is remembered of attempts, and how they are put an end to.

use crate::{Admission, Effect, LedgerEntry, Queued};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BrokenReason, Dispatch, Moment, NotRunReason,
    OUTCOME_RETENTION,
};
use std::sync::Arc;

pub(crate) fn open(state: &mut Admission, dispatch: &Dispatch) {
    let expiry = expiry_of(state, dispatch);
    state
        .ledger
        .put(dispatch.attempt, LedgerEntry::Open, expiry);
}

pub(crate) fn remember_end(state: &mut Admission, dispatch: &Dispatch, end: &AttemptEnd) {
    let expiry = expiry_of(state, dispatch);
    let entry = if dispatch.work.repeatable {
        LedgerEntry::Ended(without_text(end))
    } else {
        LedgerEntry::Ended(end.clone())
    };
    state.ledger.put(dispatch.attempt, entry, expiry);
    state.ledger.strip_texts(state.limits.ledger_bytes);
}

/// Until when an attempt is remembered. One that may not be repeated must not
/// be forgotten as long as somebody believes "never seen": its caller would be
/// told "not run" of a call that ran, and send it again.
pub(crate) fn expiry_of(state: &Admission, dispatch: &Dispatch) -> Moment {
    let keep = if dispatch.work.repeatable {
        state.limits.ledger_keep
    } else {
        OUTCOME_RETENTION
    };
    dispatch.deadline + keep
}

/// The end of repeatable work without its text: nobody reads it here again,
/// and the ledger's memory belongs to calls that may not be repeated.
pub(crate) fn without_text(end: &AttemptEnd) -> AttemptEnd {
    match end {
        AttemptEnd::Completed { status, tokens, .. } => AttemptEnd::Completed {
            status: *status,
            body: Arc::from([]),
            tokens: *tokens,
        },
        AttemptEnd::Broken { reason, .. } => AttemptEnd::Broken {
            reason: *reason,
            partial: Arc::from(""),
        },
        other => other.clone(),
    }
}

pub(crate) fn refuse_queued(
    state: &mut Admission,
    queued: &Queued,
    reason: NotRunReason,
    effects: &mut Vec<Effect>,
) {
    let end = AttemptEnd::NotRun(reason);
    remember_end(state, &queued.dispatch, &end);
    let attempt = queued.dispatch.attempt;
    effects.push(Effect::SendEnd { attempt, end });
}

pub(crate) fn stop(
    state: &mut Admission,
    attempt: AttemptId,
    reason: BrokenReason,
    effects: &mut Vec<Effect>,
) {
    if let Some(running) = state.running.get_mut(&attempt)
        && running.stopping.is_none()
    {
        running.stopping = Some(reason);
        effects.push(Effect::CancelEngine(attempt));
    }
}

pub(crate) fn cancel(
    state: &mut Admission,
    attempt: AttemptId,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let queued = state
        .queue
        .take_out(|queued| queued.dispatch.attempt == attempt);
    for queued in queued {
        refuse_queued(state, &queued, NotRunReason::Cancelled, effects);
    }
    let verdict = match state.ledger.get(attempt) {
        Some(LedgerEntry::Ended(end)) => AttemptVerdict::Ended(end.clone()),
        Some(LedgerEntry::Open) => {
            stop_repeatable(state, attempt, effects);
            AttemptVerdict::Running
        }
        Some(LedgerEntry::Tombstone) => AttemptVerdict::NeverSeen,
        None => {
            let expiry = now + OUTCOME_RETENTION;
            state.ledger.put(attempt, LedgerEntry::Tombstone, expiry);
            AttemptVerdict::NeverSeen
        }
    };
    effects.push(Effect::SendVerdict { attempt, verdict });
}

/// Stops an attempt unless it may not be repeated: cut in the middle, such a
/// call would end in doubt, so it runs on and its end is kept to be read.
pub(crate) fn stop_repeatable(
    state: &mut Admission,
    attempt: AttemptId,
    effects: &mut Vec<Effect>,
) {
    let repeatable = state
        .running
        .get(&attempt)
        .is_some_and(|r| r.dispatch.work.repeatable);
    if repeatable {
        stop(state, attempt, BrokenReason::Cancelled, effects);
    }
}

pub(crate) fn withdraw(state: &mut Admission, attempts: &[AttemptId], effects: &mut Vec<Effect>) {
    for attempt in attempts {
        if let Some(running) = state.running.get_mut(attempt) {
            running.unreported = true;
            stop(state, *attempt, BrokenReason::Cancelled, effects);
        }
    }
}
