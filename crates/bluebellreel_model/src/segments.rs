//! Recording of a job's results in numbered segments: two daemons, two items, lost
//! responses, and writes that take effect late.
//!
//! The owner collects finished items and writes them as the next segment. A write may
//! be applied and acknowledged, applied with its response lost, or still in flight; one
//! in flight is applied later if its guards hold then. Readers read from the store or
//! from the owner's memory, and results that a reader has seen must not change.

use crate::Explored;
use crate::explored::explore_all;
use std::collections::BTreeSet;

/// The record's revision from which no further takeover is explored.
const MAX_REVISIONS: u8 = 3;
/// Maximum number of writes in flight at one time.
const MAX_LATE_WRITES: usize = 2;
/// Items of the job.
const ITEMS: [u8; 2] = [0, 1];

/// Guards of the protocol, each of which can be disabled.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is either enabled or disabled"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A write succeeds only if the job record still has the writer's revision.
    pub revision: bool,
    /// A write succeeds only if no segment with its number exists.
    pub number: bool,
    /// A write whose outcome is unknown is repeated with the same items.
    pub unchanged: bool,
    /// A daemon that takes a job over reads the recorded segments before it writes.
    pub read_back: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            revision: true,
            number: true,
            unchanged: true,
            read_back: true,
        }
    }
}

/// The write of one segment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    revision: u8,
    number: usize,
    items: Vec<u8>,
}

/// An owner's local view of the job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    revision: u8,
    /// Segments that the owner considers recorded.
    listed: Vec<Vec<u8>>,
    /// Finished items that are in no segment yet.
    pending: Vec<u8>,
    /// The write whose outcome is unknown.
    writing: Option<Write>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    revision: u8,
    segments: Vec<Vec<u8>>,
    late: Vec<Write>,
    owners: [Option<Owner>; 2],
    /// The items that some reader has seen, in order.
    read: Vec<u8>,
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let first = Owner {
        revision: 1,
        listed: Vec::new(),
        pending: Vec::new(),
        writing: None,
    };
    let start = State {
        revision: 1,
        segments: Vec::new(),
        late: Vec::new(),
        owners: [Some(first), None],
        read: Vec::new(),
    };
    explore_all(
        start,
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn invariant_violation(state: &State) -> Option<String> {
    let listed = state.segments.concat();
    let unique: BTreeSet<&u8> = listed.iter().collect();
    if unique.len() < listed.len() {
        return Some("an item is listed twice".into());
    }
    if !listed.starts_with(&state.read) {
        return Some("a result that was read has changed".into());
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
    for at in 0..state.late.len() {
        let mut applied = state.clone();
        let write = applied.late.remove(at);
        apply(&mut applied, &write, guards);
        next.push(applied);
    }
    let mut read = state.clone();
    read.read = state.segments.concat();
    next.push(read);
    next
}

/// Applies a write if its guards hold, and returns whether it was applied.
fn apply(state: &mut State, write: &Write, guards: Guards) -> bool {
    let current = state.revision == write.revision || !guards.revision;
    let free = state.segments.len() == write.number;
    if !current || (guards.number && !free) {
        return false;
    }
    if free {
        state.segments.push(write.items.clone());
    } else if let Some(segment) = state.segments.get_mut(write.number) {
        segment.clone_from(&write.items);
    }
    true
}

fn take_over(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.revision >= MAX_REVISIONS {
        return;
    }
    let mut taken = state.clone();
    taken.revision += 1;
    let listed = if guards.read_back {
        state.segments.clone()
    } else {
        Vec::new()
    };
    taken.owners[at] = Some(Owner {
        revision: taken.revision,
        listed,
        pending: Vec::new(),
        writing: None,
    });
    next.push(taken);
}

fn owner_steps(state: &State, at: usize, owner: &Owner, guards: Guards, next: &mut Vec<State>) {
    let mut with = |owner: Option<Owner>| {
        let mut changed = state.clone();
        changed.owners[at] = owner;
        next.push(changed);
    };
    // The owner may crash at any time.
    with(None);
    // Readers at the owner see the segments that it considers recorded.
    let mut read = state.clone();
    read.read = owner.listed.concat();
    if read.read.len() > state.read.len() {
        next.push(read);
    }
    let mut with = |owner: Owner| {
        let mut changed = state.clone();
        changed.owners[at] = Some(owner);
        next.push(changed);
    };
    for item in ITEMS {
        let known = owner.listed.concat().contains(&item) || owner.pending.contains(&item);
        let writing = owner
            .writing
            .as_ref()
            .is_some_and(|w| w.items.contains(&item));
        if !known && !writing {
            let mut ended = owner.clone();
            ended.pending.push(item);
            with(ended);
        }
    }
    match &owner.writing {
        None if !owner.pending.is_empty() => {
            let mut begun = owner.clone();
            begun.writing = Some(Write {
                revision: owner.revision,
                number: owner.listed.len(),
                items: std::mem::take(&mut begun.pending),
            });
            with(begun);
        }
        None => {}
        Some(write) => send(state, at, owner, write, guards, next),
    }
}

/// Sends a write: it is applied and acknowledged, applied with its response lost, or
/// left in flight.
fn send(
    state: &State,
    at: usize,
    owner: &Owner,
    write: &Write,
    guards: Guards,
    next: &mut Vec<State>,
) {
    let mut done = state.clone();
    let own =
        apply(&mut done, write, guards) || state.segments.get(write.number) == Some(&write.items);
    let mut lost = done.clone();
    lost.owners[at] = Some(in_doubt(owner, write, guards));
    next.push(lost);
    done.owners[at] = own.then(|| {
        let mut recorded = owner.clone();
        recorded.listed.push(write.items.clone());
        recorded.writing = None;
        recorded
    });
    next.push(done);
    if state.late.len() < MAX_LATE_WRITES {
        let mut late = state.clone();
        late.late.push(write.clone());
        late.owners[at] = Some(in_doubt(owner, write, guards));
        next.push(late);
    }
}

/// The owner's state after it lost the response to a write. Without the guard it adds
/// the items that have finished since.
fn in_doubt(owner: &Owner, write: &Write, guards: Guards) -> Owner {
    let mut owner = owner.clone();
    if !guards.unchanged {
        let mut items = write.items.clone();
        items.append(&mut owner.pending);
        owner.writing = Some(Write {
            items,
            ..write.clone()
        });
    }
    owner
}
