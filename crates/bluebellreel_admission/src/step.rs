//! The decisions: one event in, effects out.

use crate::admit::{arrive, start_queued};
use crate::batch::{ask_for_batch, take_items, yield_batch};
use crate::settle::{cancel, refuse_queued, remember_end, stop, withdraw};
use crate::{Admission, Effect, EngineEnd, Event, Running};
use bluebellreel_types::{
    AttemptEnd, AttemptId, BatchReport, BrokenReason, Class, EntryName, Moment, NotRunReason,
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
