//! A gateway that starts while the store is unavailable and runs on a snapshot from a
//! keeper. The model has one gateway, two keepers, a worker's address that another
//! service reuses later, and configuration versions that operators have accepted in the
//! meantime.

use crate::Explored;
use crate::explored::explore_all;

/// Number of configuration versions that are explored.
const MAX_VERSIONS: u8 = 3;
/// Maximum number of times that the store becomes available or unavailable.
const MAX_STORE_TRANSITIONS: u8 = 3;
/// Maximum number of starts of the gateway.
const MAX_STARTS: u8 = 3;

/// Guards of the protocol, each of which can be disabled.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is either enabled or disabled"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Each request names the worker that it is meant for, and any other worker refuses
    /// it.
    pub instance: bool,
    /// A fact never replaces a newer one.
    pub revision: bool,
    /// The gateway accepts a snapshot only while the store does not respond.
    pub store_first: bool,
    /// A keeper neither copies state from a gateway that runs on a snapshot, nor counts
    /// that gateway's state as a confirmation of its own.
    pub store_confirmed: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            instance: true,
            revision: true,
            store_first: true,
            store_confirmed: true,
        }
    }
}

/// The process that listens at the worker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AddressHolder {
    /// The worker that the routes point to.
    Worker,
    /// No process: the worker is gone.
    Nobody,
    /// A worker of another service, to which no route has ever pointed.
    OtherService,
}

/// The store's state, or a copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Known {
    version: u8,
    /// Whether the store lists the worker.
    worker: bool,
}

/// The gateway while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    known: Option<Known>,
    from_store: bool,
    /// The newest version that has been in force since the gateway started.
    highest_version: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    store: Known,
    store_up: bool,
    store_transitions: u8,
    holder: AddressHolder,
    gateway: Option<Gateway>,
    starts: u8,
    keepers: [Option<Known>; 2],
    /// The invariant violation that has occurred, if any.
    violation: Option<&'static str>,
}

fn start() -> State {
    State {
        store: Known {
            version: 1,
            worker: true,
        },
        store_up: true,
        store_transitions: 0,
        holder: AddressHolder::Worker,
        gateway: None,
        starts: 0,
        keepers: [None, None],
        violation: None,
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let invariant_violation = |state: &State| state.violation.map(str::to_owned);
    explore_all(
        start(),
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    environment_steps(state, &mut next);
    gateway_steps(state, guards, &mut next);
    keeper_steps(state, guards, &mut next);
    next
}

/// Steps of the operators, of the store, and of the processes at the worker's address.
fn environment_steps(state: &State, next: &mut Vec<State>) {
    if state.store_up && state.store.version < MAX_VERSIONS {
        let mut changed = state.clone();
        changed.store.version += 1;
        next.push(changed);
    }
    if state.store_transitions < MAX_STORE_TRANSITIONS {
        let mut toggled = state.clone();
        toggled.store_up = !state.store_up;
        toggled.store_transitions += 1;
        next.push(toggled);
    }
    let mut moved = state.clone();
    match state.holder {
        AddressHolder::Worker => moved.holder = AddressHolder::Nobody,
        AddressHolder::Nobody => moved.holder = AddressHolder::OtherService,
        AddressHolder::OtherService => return,
    }
    next.push(moved);
    if state.store_up && state.store.worker && state.holder != AddressHolder::Worker {
        let mut delisted = state.clone();
        delisted.store.worker = false;
        next.push(delisted);
    }
}

fn gateway_steps(state: &State, guards: Guards, next: &mut Vec<State>) {
    let Some(gateway) = state.gateway else {
        if state.starts < MAX_STARTS {
            let mut started = state.clone();
            started.starts += 1;
            started.gateway = Some(Gateway {
                known: None,
                from_store: false,
                highest_version: 0,
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
            highest_version: gateway.highest_version.max(state.store.version),
        });
        next.push(read);
    }
    if gateway.known.is_some_and(|k| k.worker) {
        send(state, guards, next);
    }
}

/// The gateway sends a request to the worker that it knows at the address.
fn send(state: &State, guards: Guards, next: &mut Vec<State>) {
    if state.holder == AddressHolder::OtherService && !guards.instance {
        let mut ran = state.clone();
        ran.violation = Some("a service ran a request that no route ever sent there");
        next.push(ran);
    }
}

fn keeper_steps(state: &State, guards: Guards, next: &mut Vec<State>) {
    let Some(gateway) = state.gateway else {
        return;
    };
    for at in 0..state.keepers.len() {
        update_keeper(state, at, gateway, guards, next);
        offer_snapshot(state, at, gateway, guards, next);
    }
}

/// A keeper reads the state of a gateway that may know more, and counts that state as a
/// confirmation of its own.
fn update_keeper(
    state: &State,
    at: usize,
    gateway: Gateway,
    guards: Guards,
    next: &mut Vec<State>,
) {
    let Some(known) = gateway.known else { return };
    if guards.store_confirmed && !gateway.from_store {
        return;
    }
    let newer = state.keepers[at].is_none_or(|k| !guards.revision || known.version >= k.version);
    if !newer {
        return;
    }
    let mut taken = state.clone();
    taken.keepers[at] = Some(known);
    if !gateway.from_store {
        taken.violation = Some("a snapshot was confirmed by itself");
    }
    next.push(taken);
}

/// A keeper offers its snapshot to a gateway that accepts it.
fn offer_snapshot(
    state: &State,
    at: usize,
    gateway: Gateway,
    guards: Guards,
    next: &mut Vec<State>,
) {
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
        highest_version: gateway.highest_version.max(keeper.version),
    });
    if keeper.version < gateway.highest_version {
        taken.violation = Some("a version that was in force has reverted");
    } else if state.store_up && keeper.version < state.store.version {
        taken.violation = Some("an older version is in force though the store answers");
    }
    next.push(taken);
}
