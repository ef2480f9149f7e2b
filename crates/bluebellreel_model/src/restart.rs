//! A worker that restarts under the same id. One daemon counts its runs at the worker
//! and sends a request that may run at most once.
//!
//! The daemon detects the worker's new incarnation some time after the restart. Until
//! then a message that it sends may reach either incarnation, and responses of the
//! former one may still arrive.

use crate::Explored;
use crate::explored::explore_all;
use std::collections::BTreeSet;

/// Number of incarnations of the worker that are explored.
const MAX_INCARNATIONS: u8 = 3;
/// Number of times that the request is sent.
const MAX_SENDS: u8 = 2;
/// Run numbers of other requests, which may run any number of times.
const OTHER_REQUESTS: [u8; 2] = [11, 12];

/// Guards of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// The end of a run is subtracted only from the run count of the incarnation that
    /// the run was sent to.
    pub tickets: bool,
    /// A run whose worker has restarted is treated as possibly executed.
    pub in_doubt: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            tickets: true,
            in_doubt: true,
        }
    }
}

/// One send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Run {
    number: u8,
    /// The worker's incarnation known to the daemon at the time of the send.
    sent_to: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The worker's current incarnation.
    incarnation: u8,
    /// The worker's incarnation as known to the daemon.
    known_incarnation: u8,
    /// Sends that have not arrived at the worker.
    in_flight: BTreeSet<Run>,
    /// Runs in progress at the worker.
    running: BTreeSet<Run>,
    /// Runs whose end the daemon waits for.
    pending: BTreeSet<Run>,
    /// Number of runs that the daemon counts at the incarnation that it knows.
    counted: u8,
    sends: u8,
    /// Sends of the request that the worker has started to run.
    ran: BTreeSet<u8>,
    /// Sends whose caller was told that they had not run.
    refused: BTreeSet<u8>,
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let initial = State {
        incarnation: 1,
        known_incarnation: 1,
        in_flight: BTreeSet::new(),
        running: BTreeSet::new(),
        pending: BTreeSet::new(),
        counted: 0,
        sends: 0,
        ran: BTreeSet::new(),
        refused: BTreeSet::new(),
    };
    explore_all(
        initial,
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn invariant_violation(state: &State) -> Option<String> {
    if state.ran.len() > 1 {
        return Some("the request ran twice".into());
    }
    if state.ran.iter().any(|run| state.refused.contains(run)) {
        return Some("\"not run\" was reported of a request that ran".into());
    }
    let current = state
        .pending
        .iter()
        .filter(|r| r.sent_to == state.known_incarnation);
    if usize::from(state.counted) != current.count() {
        return Some("runs of another incarnation are counted, or too few runs".into());
    }
    None
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    send(state, &mut next);
    send_other(state, &mut next);
    for run in &state.in_flight {
        let mut arrived = state.clone();
        arrived.in_flight.remove(run);
        // A run that the daemon has given up has lost its connection, so it does not
        // start.
        if state.pending.contains(run) {
            arrived.running.insert(*run);
            if !OTHER_REQUESTS.contains(&run.number) {
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
    if state.incarnation < MAX_INCARNATIONS {
        let mut restarted = state.clone();
        restarted.incarnation += 1;
        restarted.running.clear();
        next.push(restarted);
    }
    if state.known_incarnation != state.incarnation {
        next.push(learn_incarnation(state, guards));
    }
    next
}

/// Sends the request. It is sent again only if all earlier sends certainly did not run.
fn send(state: &State, next: &mut Vec<State>) {
    let all_refused = (1..=state.sends).all(|n| state.refused.contains(&n));
    if state.sends >= MAX_SENDS || !all_refused {
        return;
    }
    let mut sent = state.clone();
    sent.sends += 1;
    let number = sent.sends;
    start(&mut sent, number);
    next.push(sent);
}

/// Sends another request.
fn send_other(state: &State, next: &mut Vec<State>) {
    for number in OTHER_REQUESTS {
        if state.pending.iter().any(|run| run.number == number) {
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
        sent_to: state.known_incarnation,
    };
    state.in_flight.insert(run);
    state.pending.insert(run);
    state.counted += 1;
}

/// Ends a run at the daemon.
fn end(state: &mut State, run: Run, guards: Guards) {
    if !state.pending.remove(&run) {
        return;
    }
    if !guards.tickets || run.sent_to == state.known_incarnation {
        state.counted = state.counted.saturating_sub(1);
    }
}

/// The daemon detects the worker's new incarnation. It resets its run count and ends
/// all runs that it sent to a former incarnation.
fn learn_incarnation(state: &State, guards: Guards) -> State {
    let mut updated = state.clone();
    updated.known_incarnation = state.incarnation;
    updated.counted = 0;
    if !guards.tickets {
        // Without the guard, an unfinished run stays counted, at whichever incarnation
        // the daemon knows when the run ends.
        return updated;
    }
    for run in state
        .pending
        .iter()
        .filter(|r| r.sent_to != state.incarnation)
    {
        updated.pending.remove(run);
        if !guards.in_doubt && !OTHER_REQUESTS.contains(&run.number) {
            updated.refused.insert(run.number);
        }
    }
    updated
}
