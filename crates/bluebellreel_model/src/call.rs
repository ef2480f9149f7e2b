//! One call that may not be repeated: two entry daemons, a side process that may
//! restart, messages that arrive late or twice, and lost responses.
//!
//! The side process is the real admission code. The real claim functions decide what a
//! claim and a verdict mean.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_admission::{Admission, AdmissionLimits, Effect, EngineEnd, Event, step};
use bluebellreel_claim::{ClaimState, ResendAction, resend_action, state_after_verdict};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, Class, Dispatch, EntryName, Incarnation, Moment,
    RequestId, TraceContext, Work, WorkKind,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of restarts of the side process that are explored.
const MAX_RESTARTS: u64 = 1;
/// Number of attempts that are explored, of both daemons together.
const MAX_ATTEMPTS: u64 = 2;
/// The moment of all events. The model does not advance time, as this would only add
/// expiry.
const NOW: Moment = Moment(0);

/// Guards of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A call is claimed before it is sent.
    pub claim: bool,
    /// An attempt that is queried before the side process has seen it is refused if it
    /// arrives later.
    pub tombstone: bool,
    /// A restarted side process refuses messages addressed to its predecessor.
    pub incarnation: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            claim: true,
            tombstone: true,
            incarnation: true,
        }
    }
}

/// A claim as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    attempt: u64,
    incarnation: u64,
    state: ClaimState,
}

/// The state of the call at an entry daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Entry {
    /// The daemon has not received the call.
    Idle,
    /// The claim is recorded, or not needed, and the call has not been sent yet.
    Claimed { attempt: u64, incarnation: u64 },
    /// The daemon has sent the call to the side process.
    Sent { attempt: u64 },
    /// The daemon has finished with the call, or has crashed.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    claim: Option<Claim>,
    entries: [Entry; 2],
    /// Dispatches in flight; they may arrive late and more than once.
    in_flight: BTreeSet<(u64, u64)>,
    side: Box<Admission>,
    /// Attempts that the backend server has run.
    ran: Vec<u64>,
    /// Attempts whose callers were told "not run".
    refused: BTreeSet<u64>,
    next_attempt: u64,
}

fn attempt_id(attempt: u64) -> AttemptId {
    AttemptId {
        request: RequestId(attempt),
        number: 1,
    }
}

fn new_side(incarnation: u64) -> Box<Admission> {
    let limits = AdmissionLimits::default();
    Box::new(Admission::new(Incarnation(incarnation), limits))
}

fn start() -> State {
    State {
        claim: None,
        entries: [Entry::Idle, Entry::Idle],
        in_flight: BTreeSet::new(),
        side: new_side(1),
        ran: Vec::new(),
        refused: BTreeSet::new(),
        next_attempt: 1,
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    explore_all(
        start(),
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn invariant_violation(state: &State) -> Option<String> {
    if state.ran.len() > 1 {
        return Some("the call ran twice".into());
    }
    if state.ran.iter().any(|ran| state.refused.contains(ran)) {
        return Some("\"not run\" was reported of a call that ran".into());
    }
    let recorded = state.claim.as_ref().map(|claim| &claim.state);
    if recorded == Some(&ClaimState::NotRun) && !state.ran.is_empty() {
        return Some("recorded as not run, but it ran".into());
    }
    None
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.entries.len() {
        entry_steps(state, index, guards, &mut next);
        if guards.claim {
            ask_side(state, guards, &mut next);
        }
    }
    for message in &state.in_flight {
        arrive(state, *message, guards, &mut next);
    }
    finish_runs(state, &mut next);
    if state.side.incarnation.0 <= MAX_RESTARTS {
        let mut restarted = state.clone();
        restarted.side = new_side(state.side.incarnation.0 + 1);
        next.push(restarted);
    }
    next
}

fn entry_steps(state: &State, index: usize, guards: Guards, next: &mut Vec<State>) {
    if state.entries[index] != Entry::Idle {
        let mut died = state.clone();
        died.entries[index] = Entry::Done;
        next.push(died);
    }
    match state.entries[index].clone() {
        Entry::Idle => submit(state, index, guards, next),
        Entry::Claimed {
            attempt,
            incarnation,
        } => {
            let mut sent = state.clone();
            sent.in_flight.insert((attempt, incarnation));
            sent.entries[index] = Entry::Sent { attempt };
            next.push(sent);
        }
        Entry::Sent { .. } | Entry::Done => {}
    }
}

/// A caller submits the call through this daemon.
fn submit(state: &State, index: usize, guards: Guards, next: &mut Vec<State>) {
    if state.next_attempt > MAX_ATTEMPTS {
        return;
    }
    let attempt = state.next_attempt;
    let incarnation = state.side.incarnation.0;
    let free = match &state.claim {
        None => true,
        Some(claim) => resend_action(&claim.state) == ResendAction::MayRun,
    };
    if guards.claim && !free {
        return;
    }
    let mut claimed = state.clone();
    claimed.next_attempt += 1;
    claimed.claim = Some(Claim {
        attempt,
        incarnation,
        state: ClaimState::Pending,
    });
    claimed.entries[index] = Entry::Claimed {
        attempt,
        incarnation,
    };
    // The write took effect and the daemon crashed before it received the response.
    let mut lost = claimed.clone();
    lost.entries[index] = Entry::Done;
    next.push(claimed);
    next.push(lost);
}

/// Delivers a dispatch. It stays in flight, so that it may be delivered again.
fn arrive(state: &State, message: (u64, u64), guards: Guards, next: &mut Vec<State>) {
    let (attempt, incarnation) = message;
    let mut arrived = state.clone();
    let meant_for = if guards.incarnation {
        Incarnation(incarnation)
    } else {
        arrived.side.incarnation
    };
    let event = Event::Arrived {
        entry: EntryName::from("entry"),
        dispatch: Box::new(dispatch(attempt, meant_for)),
    };
    let effects = step(&mut arrived.side, event, NOW);
    take_effects(arrived, effects, next);
}

fn dispatch(attempt: u64, side: Incarnation) -> Dispatch {
    Dispatch {
        attempt: attempt_id(attempt),
        side,
        class: Class::Online,
        work: Arc::new(Work {
            kind: WorkKind::Call {
                method: Arc::from("POST"),
                path: Arc::from("/bookings"),
            },
            model: "desk".into(),
            body: Arc::from([]),
            tokens: 1,
            prefix: 0,
            repeatable: false,
            key: Arc::from("slot"),
            team: "member".into(),
        }),
        deadline: Moment::DISTANT_FUTURE,
        resume: Arc::from(""),
        trace: TraceContext {
            trace: 1,
            parent: 1,
        },
    }
}

/// Applies the side process's decisions. Its response arrives or is lost.
fn take_effects(mut state: State, effects: Vec<Effect>, next: &mut Vec<State>) {
    let mut sent_end = None;
    for effect in effects {
        match effect {
            Effect::StartEngine(dispatch) => state.ran.push(dispatch.attempt.request.0),
            Effect::SendEnd { attempt, end } => sent_end = Some((attempt.request.0, end)),
            _ => {}
        }
    }
    if let Some((attempt, end)) = sent_end {
        next.push(receive_end(&state, attempt, &end));
    }
    next.push(state);
}

/// The daemon that sent an attempt receives its end, reports it to the caller, and
/// records it.
fn receive_end(state: &State, attempt: u64, end: &AttemptEnd) -> State {
    let mut answered = state.clone();
    let Some(index) = answered
        .entries
        .iter()
        .position(|entry| *entry == Entry::Sent { attempt })
    else {
        return answered;
    };
    answered.entries[index] = Entry::Done;
    let verdict = AttemptVerdict::Ended(end.clone());
    if state_after_verdict(&verdict, NOW, NOW) == Some(ClaimState::NotRun) {
        answered.refused.insert(attempt);
    }
    record(&mut answered, attempt, &verdict);
    answered
}

/// Records a verdict on the claim, if the claim is still pending and of the same
/// attempt.
fn record(state: &mut State, attempt: u64, verdict: &AttemptVerdict) {
    let Some(claim) = &mut state.claim else {
        return;
    };
    if claim.attempt != attempt || claim.state != ClaimState::Pending {
        return;
    }
    if let Some(settled) = state_after_verdict(verdict, NOW, NOW) {
        claim.state = settled;
    }
}

/// A daemon finds the claim pending and queries the side process that the claim names.
fn ask_side(state: &State, guards: Guards, next: &mut Vec<State>) {
    let Some(claim) = &state.claim else { return };
    if claim.state != ClaimState::Pending {
        return;
    }
    let mut asked = state.clone();
    let attempt = claim.attempt;
    if claim.incarnation != asked.side.incarnation.0 {
        if let Some(claim) = &mut asked.claim {
            claim.state = ClaimState::Unknown;
        }
        next.push(asked);
        return;
    }
    let id = attempt_id(attempt);
    let unseen = asked.side.ledger.get(id).is_none();
    let event = Event::CancelAsked { attempt: id };
    for effect in step(&mut asked.side, event, NOW) {
        if let Effect::SendVerdict { verdict, .. } = effect {
            if verdict == AttemptVerdict::NeverSeen {
                asked.refused.insert(attempt);
            }
            record(&mut asked, attempt, &verdict);
        }
    }
    if unseen && !guards.tombstone {
        asked.side.ledger.remove(id);
    }
    next.push(asked);
}

/// The backend server finishes the attempts that it runs; each completes or its stream
/// breaks.
fn finish_runs(state: &State, next: &mut Vec<State>) {
    for attempt in state.side.running.keys() {
        let ends = [
            EngineEnd::Completed {
                status: 201,
                body: Arc::from([]),
            },
            EngineEnd::Broken,
        ];
        for end in ends {
            let mut finished = state.clone();
            let attempt = *attempt;
            let event = Event::EngineEnded { attempt, end };
            let effects = step(&mut finished.side, event, NOW);
            take_effects(finished, effects, next);
        }
    }
}
