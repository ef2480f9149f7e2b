//! The decisions: one event in, effects out.

use crate::{Admission, Effect, EngineEnd, Event, LedgerEntry, Queued, Running};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, BrokenReason, Class, Dispatch, EntryName,
    Moment, NotRunReason, OUTCOME_KEPT,
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
fn refusal(state: &Admission, dispatch: &Dispatch, now: Moment) -> Option<NotRunReason> {
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

fn open(state: &mut Admission, dispatch: &Dispatch) {
    let expiry = expiry_of(state, dispatch);
    state
        .ledger
        .put(dispatch.attempt, LedgerEntry::Open, expiry);
}

fn remember_end(state: &mut Admission, dispatch: &Dispatch, end: &AttemptEnd) {
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
fn expiry_of(state: &Admission, dispatch: &Dispatch) -> Moment {
    let keep = if dispatch.work.repeatable {
        state.limits.ledger_keep
    } else {
        OUTCOME_KEPT
    };
    dispatch.deadline + keep
}

/// The end of repeatable work without its text: nobody reads it here again,
/// and the ledger's memory belongs to calls that may not be repeated.
fn without_text(end: &AttemptEnd) -> AttemptEnd {
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

fn start(
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

fn refuse_queued(
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

/// Cancels batch attempts over their share, least progress first.
fn yield_batch(state: &mut Admission, effects: &mut Vec<Effect>) {
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
            .filter(|(_, r)| can_yield(r))
            .min_by_key(|(_, r)| r.tokens)
            .map(|(attempt, _)| *attempt);
        let Some(attempt) = least else { return };
        stop(state, attempt, BrokenReason::Preempted, effects);
        over -= 1;
    }
}

/// A call that may not be repeated is never preempted: it would end in doubt.
fn can_yield(running: &Running) -> bool {
    running.dispatch.class == Class::Batch
        && running.stopping.is_none()
        && running.dispatch.work.repeatable
}

fn stop(
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

/// Asks the next entry in turn when there is room for batch.
fn ask_for_batch(state: &mut Admission, now: Moment, effects: &mut Vec<Effect>) {
    if state.leaving || !state.hold_batch_until.is_past(now) {
        return;
    }
    let held = state.count(Class::Batch) + state.pulling.values().sum::<u32>();
    let room = state
        .batch_window
        .allowed(state.online())
        .saturating_sub(held);
    let online = state.online() > 0;
    let step = state.pace.step();
    let room = room.min(state.starts.allowed(step, online, now));
    if room == 0 {
        return;
    }
    let Some(entry) = next_offer(state) else {
        return;
    };
    let room = room.min(state.offers[&entry]);
    state.starts.take(room);
    state.pulling.insert(entry.clone(), room);
    state.last_asked = Some(entry.clone());
    effects.push(Effect::Pull { entry, room });
}

fn next_offer(state: &Admission) -> Option<EntryName> {
    let ready =
        |entry: &&EntryName| state.offers[*entry] > 0 && !state.pulling.contains_key(*entry);
    let after = |entry: &&EntryName| state.last_asked.as_ref().is_none_or(|last| *entry > last);
    state
        .offers
        .keys()
        .filter(ready)
        .find(after)
        .or_else(|| state.offers.keys().find(ready))
        .cloned()
}

fn take_items(
    state: &mut Admission,
    entry: &EntryName,
    items: Vec<Dispatch>,
    now: Moment,
    effects: &mut Vec<Effect>,
) {
    let asked = state.pulling.remove(entry).unwrap_or(0);
    let taken = u32::try_from(items.len()).unwrap_or(u32::MAX);
    if let Some(offer) = state.offers.get_mut(entry) {
        // Fewer than asked: the entry has none left until its next offer.
        *offer = if taken < asked {
            0
        } else {
            offer.saturating_sub(taken)
        };
    }
    for item in items {
        take_item(state, entry, Box::new(item), now, effects);
    }
}

fn take_item(
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
    open(state, &dispatch);
    start(state, entry.clone(), dispatch, now, effects);
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

fn cancel(state: &mut Admission, attempt: AttemptId, now: Moment, effects: &mut Vec<Effect>) {
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
            let expiry = now + OUTCOME_KEPT;
            state.ledger.put(attempt, LedgerEntry::Tombstone, expiry);
            AttemptVerdict::NeverSeen
        }
    };
    effects.push(Effect::SendVerdict { attempt, verdict });
}

/// Stops an attempt unless it may not be repeated: cut in the middle, such a
/// call would end in doubt, so it runs on and its end is kept to be read.
fn stop_repeatable(state: &mut Admission, attempt: AttemptId, effects: &mut Vec<Effect>) {
    let repeatable = state
        .running
        .get(&attempt)
        .is_some_and(|r| r.dispatch.work.repeatable);
    if repeatable {
        stop(state, attempt, BrokenReason::Cancelled, effects);
    }
}

fn withdraw(state: &mut Admission, attempts: &[AttemptId], effects: &mut Vec<Effect>) {
    for attempt in attempts {
        if let Some(running) = state.running.get_mut(attempt) {
            running.unreported = true;
            stop(state, *attempt, BrokenReason::Cancelled, effects);
        }
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
