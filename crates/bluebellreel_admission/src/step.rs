//! The transition function: one event in, effects out.

use crate::admit::{admit, start_queued};
use crate::batch::{preempt_batch, pull_batch, receive_items};
use crate::lifecycle::{cancel, record_end, refuse_queued, stop, withdraw};
use crate::{Admission, Effect, EngineEnd, Event, Running};
use bluebellreel_types::{
    AttemptEnd, AttemptId, BatchReport, BrokenReason, Class, EntryName, Moment, NotRunReason,
};
use std::sync::Arc;
use std::time::Duration;

/// How long no batch items are pulled after the backend server was unreachable
/// or busy.
const BATCH_PAUSE: Duration = Duration::from_millis(500);

/// Applies one event to the state and returns the effects to carry out.
#[must_use]
pub fn step(state: &mut Admission, event: Event, now: Moment) -> Vec<Effect> {
    let mut effects = Vec::new();
    match event {
        Event::Arrived { entry, dispatch } => admit(state, entry, dispatch, now, &mut effects),
        Event::Offered { entry, waiting } => {
            state.offers.insert(entry, waiting);
        }
        Event::Pulled { entry, items } => receive_items(state, &entry, items, now, &mut effects),
        Event::EntryLost(entry) => handle_entry_loss(state, &entry, &mut effects),
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
        Event::DrainCancelled => state.leaving = false,
        Event::Ticked => expire(state, now, &mut effects),
    }
    start_queued(state, now, &mut effects);
    preempt_batch(state, &mut effects);
    pull_batch(state, now, &mut effects);
    effects
}

/// Handles a lost entry daemon, which can receive no answers. Its repeatable
/// attempts are cancelled to free their slots. Attempts that may not be repeated
/// run to their end, and the ledger keeps their outcomes.
fn handle_entry_loss(state: &mut Admission, entry: &EntryName, effects: &mut Vec<Effect>) {
    state.offers.remove(entry);
    state.pulling.remove(entry);
    let lost_attempts: Vec<AttemptId> = state
        .running
        .iter()
        .filter(|(_, r)| r.entry == *entry && r.dispatch.work.repeatable)
        .map(|(attempt, _)| *attempt)
        .collect();
    for attempt in lost_attempts {
        stop(state, attempt, BrokenReason::Cancelled, effects);
    }
    for queued in state.queue.remove_matching(|queued| queued.entry == *entry) {
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
    let previous_at = running.last_token_at.replace(now);
    if let Some(previous_at) = previous_at {
        state
            .timings
            .note_step(now.since(previous_at) / tokens.max(1));
    }
    // The text of a call that may not be repeated is kept, so that its outcome can
    // still be read from this side process if the entry daemon that waits for it is
    // lost.
    if running.dispatch.class == Class::Batch || !running.dispatch.work.repeatable {
        running.text.push_str(&text);
    }
    if running.dispatch.class == Class::Batch {
        return;
    }
    match previous_at {
        Some(previous_at) => {
            let span = now.since(previous_at) / tokens.max(1);
            state.timings.note_inter_token(span);
            let mean = state.timings.inter_token();
            let target = state.limits.inter_token_target;
            state.batch_window.note_online_pace(mean, target, now);
        }
        None => state
            .timings
            .note_first_token(now.since(running.started_at)),
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
    // Without this pause, items would be pulled and returned in a tight loop while
    // the backend server is unreachable or busy.
    if matches!(end, EngineEnd::Unreachable | EngineEnd::Busy) {
        state.batch_paused_until = now + BATCH_PAUSE;
    }
    let end = attempt_end(&running, end, now);
    record_end(state, &running.dispatch, &end);
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

/// Drains the worker: no new work is accepted, batch items are returned to their
/// owners at once, and admitted online work runs to its end.
fn drain(state: &mut Admission, effects: &mut Vec<Effect>) {
    state.leaving = true;
    preempt_batch(state, effects);
}

fn expire(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
    for queued in state.queue.remove_expired(now) {
        refuse_queued(state, &queued, NotRunReason::Expired, effects);
    }
    let expired: Vec<AttemptId> = state
        .running
        .iter()
        .filter(|(_, r)| r.dispatch.deadline.is_past(now) && r.dispatch.work.repeatable)
        .map(|(attempt, _)| *attempt)
        .collect();
    for attempt in expired {
        stop(state, attempt, BrokenReason::Expired, effects);
    }
    state.ledger.evict_expired(now);
}
