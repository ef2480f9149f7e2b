//! Ownership of a job with one item: two daemons, a cancel, lost answers and
//! pauses at every step.
//!
//! A daemon works in steps that any other's may come between: it takes the job
//! over, reads what is recorded, runs the item, writes the result, writes the
//! end. A write's answer may be lost, and the write is then made again.

use crate::Explored;
use crate::explored::explore_all;

/// Changes of owner that are explored.
const MOST_EPOCHS: u8 = 4;

/// Guards that may be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Writes compare the record's revision.
    pub revision: bool,
    /// A result's key is created once for its epoch and number.
    pub create_once: bool,
}

impl Guards {
    /// All guards, as in the product.
    #[must_use]
    pub fn all() -> Self {
        Self {
            revision: true,
            create_once: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum JobState {
    Running,
    Cancelled,
    Complete,
}

/// What a daemon believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Owner {
    /// It does not own the job.
    Idle,
    /// It took the job over at this revision and has not read the results.
    Taken { revision: u8 },
    /// It runs the item.
    Running { revision: u8 },
    /// It has the item's result and is to write it.
    Writing { revision: u8 },
    /// Its write's answer was lost.
    Unsure { revision: u8 },
    /// The result is recorded; the end is to be written.
    Closing { revision: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    job: JobState,
    /// Revision of the record; each change of owner and the end raise it.
    revision: u8,
    /// Result chunks, by the revision under which they were written.
    results: Vec<u8>,
    /// Whether the operator was told that the job is cancelled, and how many
    /// results there were.
    cancel_told: Option<usize>,
    owners: [Owner; 2],
}

fn start() -> State {
    State {
        job: JobState::Running,
        revision: 1,
        results: Vec::new(),
        cancel_told: None,
        owners: [Owner::Running { revision: 1 }, Owner::Idle],
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    explore_all(start(), |state| successors(state, guards), broken)
}

fn broken(state: &State) -> Option<String> {
    if state.results.len() > 1 {
        return Some("the item has two results".into());
    }
    if state.cancel_told.is_some_and(|n| state.results.len() > n) {
        return Some("a result was recorded after the cancel was told".into());
    }
    if state.job == JobState::Complete && state.results.is_empty() {
        return Some("the job is complete without its item's result".into());
    }
    if state.cancel_told.is_some() && state.job == JobState::Complete {
        return Some("the job was cancelled and is complete".into());
    }
    None
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    for index in 0..state.owners.len() {
        owner_steps(state, index, guards, &mut next);
    }
    if state.job == JobState::Running {
        let mut cancelled = state.clone();
        cancelled.job = JobState::Cancelled;
        cancelled.revision += 1;
        cancelled.cancel_told = Some(cancelled.results.len());
        next.push(cancelled);
    }
    next
}

fn owner_steps(state: &State, index: usize, guards: Guards, next: &mut Vec<State>) {
    let mut become_ = |owner: Owner| {
        let mut changed = state.clone();
        changed.owners[index] = owner;
        next.push(changed);
    };
    match state.owners[index] {
        Owner::Idle => {}
        // A daemon may die at any time.
        _ => become_(Owner::Idle),
    }
    match state.owners[index] {
        Owner::Idle => {
            if state.job == JobState::Running && state.revision < MOST_EPOCHS {
                let mut taken = state.clone();
                taken.revision += 1;
                let revision = taken.revision;
                taken.owners[index] = Owner::Taken { revision };
                next.push(taken);
            }
        }
        Owner::Taken { revision } => {
            let known = !state.results.is_empty();
            become_(if known {
                Owner::Closing { revision }
            } else {
                Owner::Running { revision }
            });
        }
        Owner::Running { revision } => become_(Owner::Writing { revision }),
        Owner::Writing { revision } | Owner::Unsure { revision } => {
            write_result(state, index, revision, guards, next);
        }
        Owner::Closing { revision } => {
            let allowed =
                state.job == JobState::Running && (!guards.revision || state.revision == revision);
            let mut closed = state.clone();
            closed.owners[index] = Owner::Idle;
            if allowed {
                closed.job = JobState::Complete;
                closed.revision += 1;
            }
            next.push(closed);
        }
    }
}

/// A result is written under its epoch: the guards decide whether it may be.
/// Its answer comes, or is lost.
fn write_result(state: &State, index: usize, revision: u8, guards: Guards, next: &mut Vec<State>) {
    let there = state.results.contains(&revision);
    let current = state.job == JobState::Running && state.revision == revision;
    let absent = !there || !guards.create_once;
    let allowed = absent && (current || !guards.revision);
    let mut written = state.clone();
    if allowed {
        written.results.push(revision);
    }
    // With the key there, reading back shows that it is our own write.
    let ours = allowed || there;
    let mut heard = written.clone();
    heard.owners[index] = if ours {
        Owner::Closing { revision }
    } else {
        Owner::Idle
    };
    next.push(heard);
    written.owners[index] = Owner::Unsure { revision };
    next.push(written);
}
