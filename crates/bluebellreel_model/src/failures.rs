//! The failures of an item that fails at each run: two daemons, a keeper, a store with one
//! outage, writes and copies that take effect late, and kills of one daemon or of all.
//!
//! An owner runs the item, and keeps the number of its failures in the store or, during the
//! outage, at the keeper. Each change of the owner may cost one failure that was under way, and
//! no more.

use crate::Explored;
use crate::explored::explore_all;

/// Failures after which the item is given up.
const MAX_FAILURES: u8 = 3;
/// The record's revision from which no further takeover is explored.
const MAX_REVISION: u8 = 2;
/// Maximum number of late writes, and of late copies.
const MAX_LATE: usize = 1;

/// Guards of the protocol, each of which can be disabled.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is either enabled or disabled"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// An item that has failed runs again only once its failures are kept.
    pub wait: bool,
    /// A write succeeds only if the counts have the revision that the owner knows.
    pub revision: bool,
    /// A keeper refuses a copy that is older than the one that it has.
    pub order: bool,
    /// A keeper acknowledges a copy once it is on its disk.
    pub disk: bool,
    /// Who takes the job over asks the keeper.
    pub ask: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            wait: true,
            revision: true,
            order: true,
            disk: true,
            ask: true,
        }
    }
}

/// Counts in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Stored {
    revision: u8,
    failures: u8,
}

/// A copy of the counts for the keeper, which is newer than one that compares as less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copy {
    record: u8,
    number: u8,
    failures: u8,
}

/// A write of the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Write {
    record: u8,
    expected: u8,
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    record: u8,
    failures: u8,
    /// Whether the failures are kept outside its memory.
    is_kept: bool,
    /// Whether the store lacks them.
    is_unsaved: bool,
    is_running: bool,
    /// The revision of the counts in the store, as far as it knows.
    known: u8,
    copies: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outage {
    Ahead,
    Now,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    record: u8,
    stored: Stored,
    outage: Outage,
    late_writes: Vec<Write>,
    late_copies: Vec<Copy>,
    in_memory: Copy,
    on_disk: Copy,
    owners: [Option<Owner>; 2],
    /// Failures that workers have answered.
    answered: u8,
    is_given_up: bool,
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let start = State {
        record: 1,
        stored: Stored::default(),
        outage: Outage::Ahead,
        late_writes: Vec::new(),
        late_copies: Vec::new(),
        in_memory: Copy::default(),
        on_disk: Copy::default(),
        owners: [Some(new_owner(1, Stored::default(), 0)), None],
        answered: 0,
        is_given_up: false,
    };
    explore_all(
        start,
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn new_owner(record: u8, stored: Stored, failures: u8) -> Owner {
    let is_unsaved = failures > stored.failures;
    Owner {
        record,
        failures: failures.max(stored.failures),
        is_kept: !is_unsaved,
        is_unsaved,
        is_running: false,
        known: stored.revision,
        copies: 0,
    }
}

fn invariant_violation(state: &State) -> Option<String> {
    let takeovers = state.record - 1;
    if state.answered > MAX_FAILURES + takeovers {
        return Some("the item runs too often".into());
    }
    if state.is_given_up && state.answered < MAX_FAILURES {
        return Some("the item is given up without its failures".into());
    }
    None
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    for at in 0..state.owners.len() {
        match &state.owners[at] {
            Some(owner) => owner_steps(state, at, owner, guards, &mut next),
            None => take_over(state, at, guards, &mut next),
        }
    }
    for at in 0..state.late_writes.len() {
        let mut applied = state.clone();
        let write = applied.late_writes.remove(at);
        apply(&mut applied, write, guards);
        next.push(applied);
    }
    for at in 0..state.late_copies.len() {
        let mut applied = state.clone();
        let copy = applied.late_copies.remove(at);
        accept(&mut applied, copy, guards);
        next.push(applied);
    }
    let mut changed = state.clone();
    changed.outage = match state.outage {
        Outage::Ahead => Outage::Now,
        Outage::Now | Outage::Over => Outage::Over,
    };
    next.push(changed);
    let mut written = state.clone();
    written.on_disk = state.in_memory;
    next.push(written);
    let mut killed = state.clone();
    killed.owners = [None, None];
    killed.in_memory = state.on_disk;
    next.push(killed);
    next
}

/// Applies a write to the store if its guards hold, and returns whether it was applied.
fn apply(state: &mut State, write: Write, guards: Guards) -> bool {
    let is_known = write.expected == state.stored.revision || !guards.revision;
    let is_applied = state.outage != Outage::Now && write.record == state.record && is_known;
    if is_applied {
        state.stored.revision += 1;
        state.stored.failures = write.failures;
    }
    is_applied
}

/// Takes a copy at the keeper, and returns whether it is the newest.
fn accept(state: &mut State, copy: Copy, guards: Guards) -> bool {
    let is_newest = !guards.order || copy >= state.in_memory;
    if is_newest {
        state.in_memory = copy;
    }
    is_newest
}

fn take_over(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.record >= MAX_REVISION || state.outage == Outage::Now {
        return;
    }
    let mut taken = state.clone();
    taken.record += 1;
    let copied = if guards.ask {
        state.in_memory.failures
    } else {
        0
    };
    taken.owners[at] = Some(new_owner(taken.record, state.stored, copied));
    next.push(taken);
}

fn owner_steps(state: &State, at: usize, owner: &Owner, guards: Guards, next: &mut Vec<State>) {
    let mut push = |change: &dyn Fn(&mut State, &mut Owner)| {
        let mut changed = state.clone();
        let mut owner = owner.clone();
        change(&mut changed, &mut owner);
        changed.owners[at] = Some(owner);
        next.push(changed);
    };
    let is_outage = state.outage == Outage::Now;
    let is_owner = owner.record == state.record;
    let may_run = owner.is_kept || !guards.wait;
    if owner.is_running {
        push(&|state, owner| {
            state.answered += 1;
            owner.failures += 1;
            owner.is_running = false;
            owner.is_kept = false;
            owner.is_unsaved = true;
        });
    } else if is_owner && may_run && owner.failures < MAX_FAILURES {
        push(&|_, owner| owner.is_running = true);
    }
    if is_owner && owner.failures >= MAX_FAILURES {
        push(&|state, _| state.is_given_up = true);
    }
    if owner.is_unsaved && !is_outage {
        let write = Write {
            record: owner.record,
            expected: owner.known,
            failures: owner.failures,
        };
        push(&|state, owner| {
            // A refused write returns what it met, which may be an earlier attempt.
            if apply(state, write, guards) || state.stored.failures == write.failures {
                owner.is_kept = true;
                owner.is_unsaved = false;
            }
            owner.known = state.stored.revision;
        });
        if state.late_writes.len() < MAX_LATE && state.stored.revision < MAX_FAILURES {
            push(&|state, _| state.late_writes.push(write));
        }
    }
    if !owner.is_kept && is_outage && owner.copies < MAX_FAILURES {
        let copy = Copy {
            record: owner.record,
            number: owner.copies + 1,
            failures: owner.failures,
        };
        push(&|state, owner| {
            owner.copies = copy.number;
            if accept(state, copy, guards) {
                if guards.disk {
                    state.on_disk = state.in_memory;
                }
                owner.is_kept = true;
            }
        });
        if state.late_copies.len() < MAX_LATE {
            push(&|state, owner| {
                owner.copies = copy.number;
                state.late_copies.push(copy);
            });
        }
    }
    let mut dead = state.clone();
    dead.owners[at] = None;
    next.push(dead);
}
