//! A gateway that starts while the store is away, and lives by a keeper's
//! snapshot: one gateway, two keepers, one worker's address that is used again by
//! another service, and versions that operators have acknowledged meanwhile.

use crate::Explored;
use crate::explored::explore_all;

/// Versions of the configuration that are explored.
const MOST_VERSIONS: u8 = 3;
/// Changes between up and away of the store.
const MOST_TURNS: u8 = 3;
/// Starts of the gateway.
const MOST_STARTS: u8 = 3;

/// Guards that may be left out.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is there or left out"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Work names the worker that it means, and another one refuses it.
    pub instance: bool,
    /// A fact replaces none that is newer.
    pub revision: bool,
    /// A snapshot is taken only while the store does not answer.
    pub store_first: bool,
    /// The keeper takes nothing from a gateway that lives by a snapshot, and is
    /// not confirmed by it.
    pub store_s_word: bool,
}

impl Guards {
    /// All guards, as in the product.
    #[must_use]
    pub fn all() -> Self {
        Self {
            instance: true,
            revision: true,
            store_first: true,
            store_s_word: true,
        }
    }
}

/// Who listens at the one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Holder {
    /// The worker that routes go to.
    Worker,
    /// Nobody: it is gone.
    Nobody,
    /// A worker of a service that no route ever went to.
    Stranger,
}

/// What somebody knows of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Known {
    version: u8,
    /// Whether the worker is listed.
    worker: bool,
}

/// The gateway while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    known: Option<Known>,
    from_store: bool,
    /// The newest version that was in force in this run.
    highest: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    store: Known,
    store_up: bool,
    turns: u8,
    holder: Holder,
    gateway: Option<Gateway>,
    starts: u8,
    keepers: [Option<Known>; 2],
    /// What was seen that must not be.
    wrong: Option<&'static str>,
}

fn start() -> State {
    State {
        store: Known {
            version: 1,
            worker: true,
        },
        store_up: true,
        turns: 0,
        holder: Holder::Worker,
        gateway: None,
        starts: 0,
        keepers: [None, None],
        wrong: None,
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let broken = |state: &State| state.wrong.map(str::to_owned);
    explore_all(start(), |state| successors(state, guards), broken)
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    surroundings(state, &mut next);
    gateway_steps(state, guards, &mut next);
    keeper_steps(state, guards, &mut next);
    next
}

/// Operators, the store, and who holds the address.
fn surroundings(state: &State, next: &mut Vec<State>) {
    if state.store_up && state.store.version < MOST_VERSIONS {
        let mut changed = state.clone();
        changed.store.version += 1;
        next.push(changed);
    }
    if state.turns < MOST_TURNS {
        let mut turned = state.clone();
        turned.store_up = !state.store_up;
        turned.turns += 1;
        next.push(turned);
    }
    let mut moved = state.clone();
    match state.holder {
        Holder::Worker => moved.holder = Holder::Nobody,
        Holder::Nobody => moved.holder = Holder::Stranger,
        Holder::Stranger => return,
    }
    next.push(moved);
    if state.store_up && state.store.worker && state.holder != Holder::Worker {
        let mut delisted = state.clone();
        delisted.store.worker = false;
        next.push(delisted);
    }
}

fn gateway_steps(state: &State, guards: Guards, next: &mut Vec<State>) {
    let Some(gateway) = state.gateway else {
        if state.starts < MOST_STARTS {
            let mut started = state.clone();
            started.starts += 1;
            started.gateway = Some(Gateway {
                known: None,
                from_store: false,
                highest: 0,
            });
            next.push(started);
        }
        return;
    };
    let mut killed = state.clone();
    killed.gateway = None;
    next.push(killed);
    if state.store_up {
        let mut read = state.clone();
        read.gateway = Some(Gateway {
            known: Some(state.store),
            from_store: true,
            highest: gateway.highest.max(state.store.version),
        });
        next.push(read);
    }
    if gateway.known.is_some_and(|k| k.worker) {
        send(state, guards, next);
    }
}

/// The gateway sends a request to the worker that it knows at the address.
fn send(state: &State, guards: Guards, next: &mut Vec<State>) {
    if state.holder == Holder::Stranger && !guards.instance {
        let mut ran = state.clone();
        ran.wrong = Some("a service ran what no route ever sent there");
        next.push(ran);
    }
}

fn keeper_steps(state: &State, guards: Guards, next: &mut Vec<State>) {
    let Some(gateway) = state.gateway else {
        return;
    };
    for at in 0..state.keepers.len() {
        take_over(state, at, gateway, guards, next);
        offer(state, at, gateway, guards, next);
    }
}

/// The keeper visits a gateway that may know more, and is confirmed by it.
fn take_over(state: &State, at: usize, gateway: Gateway, guards: Guards, next: &mut Vec<State>) {
    let Some(known) = gateway.known else { return };
    if guards.store_s_word && !gateway.from_store {
        return;
    }
    let newer = state.keepers[at].is_none_or(|k| !guards.revision || known.version >= k.version);
    if !newer {
        return;
    }
    let mut taken = state.clone();
    taken.keepers[at] = Some(known);
    if !gateway.from_store {
        taken.wrong = Some("a snapshot was confirmed by itself");
    }
    next.push(taken);
}

/// The keeper brings what it has to a gateway that wants it.
fn offer(state: &State, at: usize, gateway: Gateway, guards: Guards, next: &mut Vec<State>) {
    let Some(keeper) = state.keepers[at] else {
        return;
    };
    if guards.store_first && (state.store_up || gateway.from_store) {
        return;
    }
    let older = gateway.known.is_some_and(|k| keeper.version < k.version);
    if older && guards.revision {
        return;
    }
    let mut taken = state.clone();
    taken.gateway = Some(Gateway {
        known: Some(keeper),
        from_store: false,
        highest: gateway.highest.max(keeper.version),
    });
    if keeper.version < gateway.highest {
        taken.wrong = Some("a version that was in force has reverted");
    } else if state.store_up && keeper.version < state.store.version {
        taken.wrong = Some("an older version is in force though the store answers");
    }
    next.push(taken);
}
