//! The decisions: one event in, effects out.

use crate::batch::{ask_for_batch, take_items, yield_batch};
use crate::settle::{cancel, open, remember_end, withdraw};
use crate::{Admission, Effect, EngineEnd, Event, LedgerEntry, Queued, Running};
use bluebellreel_types::{
    AttemptEnd, AttemptId, BatchReport, BrokenReason, Class, Dispatch, EntryName, Moment,
    NotRunReason,
};
use std::sync::Arc;
use std::time::Duration;

/// Pause before batch is asked for again after the backend server took none.
const BATCH_HOLD: Duration = Duration::from_millis(500);

/// Takes in one event and says what to do.
#[must_use]
pub fn step(state: &mut Admission, event: Event, now: Moment) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Arrived { entry, dispatch } => arrive(state, entry, dispatch, now, &mut effects),
        Event::Offered { entry, waiting } => {
            state.offers.insert(entry, waiting);
        }
        Event::Pulled { entry, items } => take_items(state, &entry, items, now, &mut effects),
        Event::EntryLost(entry) => lose_entry(state, &entry, &mut effects),
        Event::EngineText {
            attempt,
            text,
            tokens,
        } => note_text(state, attempt, text, tokens, now, &mut effects),
        Event::EngineEnded { attempt, end } => end_attempt(state, attempt, end, now, &mut effects),
        Event::CancelAsked { attempt } => cancel(state, attempt, now, &mut effects),
        Event::Withdrawn(attempts) => withdraw(state, &attempts, &mut effects),
        Event::ModelsChanged(loaded) => {
            state.models = loaded.iter().map(|model| model.name.clone()).collect();
            state.loaded = loaded;
        }
        Event::DrainAsked => drain(state, &mut effects),
        Event::DrainLifted => state.leaving = false,
        Event::Ticked => expire(state, now, &mut effects),
    }
    start_queued(state, now, &mut effects);
    yield_batch(state, &mut effects);
    ask_for_batch(state, now, &mut effects);
    effects
}

fn arrive(
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
fn start_queued(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
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

/// An entry that is gone can take no answers: its repeatable work is stopped
/// so that it does not hold places; what may not be repeated runs to its end,
/// and the ledger keeps the outcome.
fn lose_entry(state: &mut Admission, entry: &EntryName, effects: &mut Vec<Effect>) {
    state.offers.remove(entry);
    state.pulling.remove(entry);
    let lost: Vec<AttemptId> = state
        .running
        .iter()
        .filter(|(_, r)| r.entry == *entry && r.dispatch.work.repeatable)
        .map(|(attempt, _)| *attempt)
        .collect();
    for attempt in lost {
        stop(state, attempt, BrokenReason::Cancelled, effects);
    }
    for queued in state.queue.take_out(|queued| queued.entry == *entry) {
        refuse_queued(state, &queued, NotRunReason::Cancelled, effects);
    }
}

fn note_text(
    state: &mut Admission,
    attempt: AttemptId,
    text: Arc<str>,
    tokens: u32,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(running) = state.running.get_mut(&attempt) else {
        return;
    };
    if running.stopping.is_some() && running.dispatch.class == Class::Online {
        return;
    }
    running.tokens += tokens;
    let before = running.last_token_at.replace(now);
    if let Some(before) = before {
        state.pace.note_step(now.since(before) / tokens.max(1));
    }
    // Text of a call that may not be repeated is kept, so that its outcome can
    // still be read here when the entry that waits for it is lost.
    if running.dispatch.class == Class::Batch || !running.dispatch.work.repeatable {
        running.text.push_str(&text);
    }
    if running.dispatch.class == Class::Batch {
        return;
    }
    match before {
        Some(before) => {
            let span = now.since(before) / tokens.max(1);
            state.pace.note_inter_token(span);
            let mean = state.pace.inter_token();
            let target = state.limits.inter_token_target;
            state.batch_window.note_online_pace(mean, target, now);
        }
        None => state.pace.note_first_token(now.since(running.started_at)),
    }
    effects.push(Effect::SendPart { attempt, text });
}

fn end_attempt(
    state: &mut Admission,
    attempt: AttemptId,
    end: EngineEnd,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let Some(running) = state.running.remove(&attempt) else {
        return;
    };
    // Guards against a loop of pulls and returns while the backend server is
    // away: items would go to and fro as fast as messages do.
    if matches!(end, EngineEnd::Unreachable | EngineEnd::Busy) {
        state.hold_batch_until = now + BATCH_HOLD;
    }
    let end = attempt_end(&running, end, now);
    remember_end(state, &running.dispatch, &end);
    if running.unreported {
        return;
    }
    if running.dispatch.class == Class::Online {
        effects.push(Effect::SendEnd { attempt, end });
    } else {
        let entry = running.entry;
        let report = BatchReport { attempt, end };
        effects.push(Effect::Report { entry, report });
    }
}

fn attempt_end(running: &Running, end: EngineEnd, now: Moment) -> AttemptEnd {
    let broken = |reason| AttemptEnd::Broken {
        reason,
        partial: Arc::from(running.text.as_str()),
    };
    match end {
        EngineEnd::Completed { status, body } => {
            let text = running.text.as_bytes();
            let is_batch_text = !text.is_empty();
            AttemptEnd::Completed {
                status,
                body: if is_batch_text { Arc::from(text) } else { body },
                tokens: running.tokens,
            }
        }
        EngineEnd::Unreachable => AttemptEnd::NotRun(NotRunReason::Unreachable),
        EngineEnd::Busy => AttemptEnd::NotRun(NotRunReason::EngineBusy),
        EngineEnd::Rejected { status, message } => AttemptEnd::Rejected { status, message },
        EngineEnd::Broken => match running.stopping {
            Some(reason) => broken(reason),
            None if running.dispatch.deadline.is_past(now) => broken(BrokenReason::Expired),
            None => broken(BrokenReason::EngineLost),
        },
    }
}

/// Leaving: nothing new; batch goes back to its owners at once; online work
/// that was admitted finishes.
fn drain(state: &mut Admission, effects: &mut Vec<Effect>) {
    state.leaving = true;
    yield_batch(state, effects);
}

fn expire(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
    for queued in state.queue.take_expired(now) {
        refuse_queued(state, &queued, NotRunReason::Expired, effects);
    }
    let late: Vec<AttemptId> = state
        .running
        .iter()
        .filter(|(_, r)| r.dispatch.deadline.is_past(now) && r.dispatch.work.repeatable)
        .map(|(attempt, _)| *attempt)
        .collect();
    for attempt in late {
        stop(state, attempt, BrokenReason::Expired, effects);
    }
    state.ledger.forget_expired(now);
}
