//! The life of one call that may not be repeated: two entry daemons, a side
//! process that may restart, messages that come late or twice, answers that
//! are lost.
//!
//! The side process is the real admission; what a claim means and what a
//! verdict means are the real claim functions.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_admission::{Admission, AdmissionLimits, Effect, EngineEnd, Event, step};
use bluebellreel_claim::{ClaimState, Resend, decide, state_after_verdict};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, Class, Dispatch, EntryName, Incarnation, Moment,
    RequestId, TraceContext, Work, WorkKind,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Restarts of the side process that are explored.
const MOST_RESTARTS: u64 = 1;
/// Attempts that are explored over both daemons.
const MOST_ATTEMPTS: u64 = 2;
/// The moment at which all happens: time only adds expiry.
const NOW: Moment = Moment(0);

/// Guards that may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A call is claimed before it is sent.
    pub claim: bool,
    /// An attempt that was asked about and never seen is refused later.
    pub tombstone: bool,
    /// A restarted side process refuses its predecessor's messages.
    pub incarnation: bool,
}

impl Guards {
    /// All guards, as in the product.
    #[must_use]
    pub fn all() -> Self {
        Self {
            claim: true,
            tombstone: true,
            incarnation: true,
        }
    }
}

/// A claim as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Claim {
    attempt: u64,
    incarnation: u64,
    state: ClaimState,
}

/// What an entry daemon is doing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Entry {
    /// It has not been asked yet, or has died.
    Idle,
    /// Its claim is recorded, or not needed; the call is to be sent.
    Claimed { attempt: u64, incarnation: u64 },
    /// The call was sent.
    Sent { attempt: u64 },
    /// It is done with the call.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    claim: Option<Claim>,
    entries: [Entry; 2],
    /// Dispatches on their way; they may arrive late, and twice.
    on_the_way: BTreeSet<(u64, u64)>,
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
        on_the_way: BTreeSet::new(),
        side: new_side(1),
        ran: Vec::new(),
        refused: BTreeSet::new(),
        next_attempt: 1,
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    explore_all(start(), |state| successors(state, guards), broken)
}

fn broken(state: &State) -> Option<String> {
    if state.ran.len() > 1 {
        return Some("the call ran twice".into());
    }
    if state.ran.iter().any(|ran| state.refused.contains(ran)) {
        return Some("\"not run\" was said of a call that ran".into());
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
    for message in &state.on_the_way {
        arrive(state, *message, guards, &mut next);
    }
    finish_runs(state, &mut next);
    if state.side.incarnation.0 <= MOST_RESTARTS {
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
        Entry::Idle => begin(state, index, guards, next),
        Entry::Claimed {
            attempt,
            incarnation,
        } => {
            let mut sent = state.clone();
            sent.on_the_way.insert((attempt, incarnation));
            sent.entries[index] = Entry::Sent { attempt };
            next.push(sent);
        }
        Entry::Sent { .. } | Entry::Done => {}
    }
}

/// A caller sends the call through this daemon.
fn begin(state: &State, index: usize, guards: Guards, next: &mut Vec<State>) {
    if state.next_attempt > MOST_ATTEMPTS {
        return;
    }
    let attempt = state.next_attempt;
    let incarnation = state.side.incarnation.0;
    let free = match &state.claim {
        None => true,
        Some(claim) => decide(&claim.state) == Resend::MayRun,
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
    // The write took effect and the daemon died before it heard of it.
    let mut lost = claimed.clone();
    lost.entries[index] = Entry::Done;
    next.push(claimed);
    next.push(lost);
}

/// A dispatch arrives. It stays on the way, so that it may arrive again.
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

/// What the side process decided, with its answer heard or lost.
fn take_effects(mut state: State, effects: Vec<Effect>, next: &mut Vec<State>) {
    let mut told = None;
    for effect in effects {
        match effect {
            Effect::StartEngine(dispatch) => state.ran.push(dispatch.attempt.request.0),
            Effect::SendEnd { attempt, end } => told = Some((attempt.request.0, end)),
            _ => {}
        }
    }
    if let Some((attempt, end)) = told {
        next.push(hear(&state, attempt, &end));
    }
    next.push(state);
}

/// The daemon that sent an attempt hears how it ended, tells its caller and
/// records it.
fn hear(state: &State, attempt: u64, end: &AttemptEnd) -> State {
    let mut heard = state.clone();
    let Some(index) = heard
        .entries
        .iter()
        .position(|entry| *entry == Entry::Sent { attempt })
    else {
        return heard;
    };
    heard.entries[index] = Entry::Done;
    let verdict = AttemptVerdict::Ended(end.clone());
    if state_after_verdict(&verdict, NOW, NOW) == Some(ClaimState::NotRun) {
        heard.refused.insert(attempt);
    }
    record(&mut heard, attempt, &verdict);
    heard
}

/// Records a verdict on the claim, if it is still the same and open.
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

/// Somebody finds the claim open and asks the side process that it names.
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

/// The backend server finishes what it runs; its answer comes, or breaks off.
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
