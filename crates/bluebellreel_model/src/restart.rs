//! A worker that starts again under the id that it had: one daemon that counts
//! its runs there, and requests that may run once at the most.
//!
//! The daemon learns of the new life some time after it has begun. Until then
//! what it sends may reach either life, and answers of the former one may come
//! late.

use crate::Explored;
use crate::explored::explore_all;
use std::collections::BTreeSet;

/// Lives of the worker that are explored.
const MOST_LIVES: u8 = 3;
/// Sends of the one request that are explored.
const MOST_SENDS: u8 = 2;
/// Numbers of other requests, which may run at any time.
const OTHERS: [u8; 2] = [11, 12];

/// Guards that may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// What a run tells counts only for the life that it was sent to.
    pub tickets: bool,
    /// A run whose worker has started again may have run.
    pub in_doubt: bool,
}

impl Guards {
    /// All guards, as in the product.
    #[must_use]
    pub fn all() -> Self {
        Self {
            tickets: true,
            in_doubt: true,
        }
    }
}

/// One send of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Run {
    number: u8,
    /// The life that the daemon believed in when it sent it.
    sent_to: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The worker's life.
    life: u8,
    /// The life that the daemon believes in.
    believed: u8,
    /// Sends that have not arrived.
    on_the_way: BTreeSet<Run>,
    /// Runs at the worker.
    running: BTreeSet<Run>,
    /// Runs that the daemon waits for.
    open: BTreeSet<Run>,
    /// Runs that it counts at the life that it believes in.
    counted: u8,
    sends: u8,
    /// Sends that the worker has begun.
    ran: BTreeSet<u8>,
    /// Sends whose caller was told that they have not run.
    refused: BTreeSet<u8>,
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let begin = State {
        life: 1,
        believed: 1,
        on_the_way: BTreeSet::new(),
        running: BTreeSet::new(),
        open: BTreeSet::new(),
        counted: 0,
        sends: 0,
        ran: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    explore_all(begin, |state| successors(state, guards), broken)
}

fn broken(state: &State) -> Option<String> {
    if state.ran.len() > 1 {
        return Some("the request ran twice".into());
    }
    if state.ran.iter().any(|run| state.refused.contains(run)) {
        return Some("\"not run\" was said of a request that ran".into());
    }
    let present = state.open.iter().filter(|r| r.sent_to == state.believed);
    if usize::from(state.counted) != present.count() {
        return Some("runs of another life are counted, or too few".into());
    }
    None
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    send(state, &mut next);
    send_other(state, &mut next);
    for run in &state.on_the_way {
        let mut arrived = state.clone();
        arrived.on_the_way.remove(run);
        // One whose daemon has given it up has lost its connection.
        if state.open.contains(run) {
            arrived.running.insert(*run);
            if !OTHERS.contains(&run.number) {
                arrived.ran.insert(run.number);
            }
        }
        next.push(arrived);
    }
    for run in &state.running {
        let mut answered = state.clone();
        answered.running.remove(run);
        end(&mut answered, *run, guards);
        next.push(answered);
    }
    if state.life < MOST_LIVES {
        let mut again = state.clone();
        again.life += 1;
        again.running.clear();
        next.push(again);
    }
    if state.believed != state.life {
        next.push(learn(state, guards));
    }
    next
}

/// The request is sent, once more only if it has certainly not run.
fn send(state: &State, next: &mut Vec<State>) {
    let all_refused = (1..=state.sends).all(|n| state.refused.contains(&n));
    if state.sends >= MOST_SENDS || !all_refused {
        return;
    }
    let mut sent = state.clone();
    sent.sends += 1;
    let number = sent.sends;
    start(&mut sent, number);
    next.push(sent);
}

/// Another request is sent.
fn send_other(state: &State, next: &mut Vec<State>) {
    for number in OTHERS {
        if state.open.iter().any(|run| run.number == number) {
            continue;
        }
        let mut sent = state.clone();
        start(&mut sent, number);
        next.push(sent);
    }
}

fn start(state: &mut State, number: u8) {
    let run = Run {
        number,
        sent_to: state.believed,
    };
    state.on_the_way.insert(run);
    state.open.insert(run);
    state.counted += 1;
}

/// The daemon is done with a run.
fn end(state: &mut State, run: Run, guards: Guards) {
    if !state.open.remove(&run) {
        return;
    }
    if !guards.tickets || run.sent_to == state.believed {
        state.counted = state.counted.saturating_sub(1);
    }
}

/// The daemon learns of a new life: nothing is counted there yet, and what it
/// waits for is over.
fn learn(state: &State, guards: Guards) -> State {
    let mut known = state.clone();
    known.believed = state.life;
    known.counted = 0;
    if !guards.tickets {
        // A run that goes on is counted at whichever life is known.
        return known;
    }
    for run in state.open.iter().filter(|r| r.sent_to != state.life) {
        known.open.remove(run);
        if !guards.in_doubt && !OTHERS.contains(&run.number) {
            known.refused.insert(run.number);
        }
    }
    known
}
