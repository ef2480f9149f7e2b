//! Ownership of a job with one item: two daemons, a cancellation, lost responses, and
//! pauses at every step.
//!
//! A daemon works in steps, and the other daemon's steps may come between them: it
//! takes the job over, reads the recorded results, runs the item, writes the result,
//! and writes the job's end. The response to the result's write may be lost; the daemon
//! then writes it again.

use crate::Explored;
use crate::explored::explore_all;

/// The record's revision from which no further takeover is explored.
const MAX_REVISION: u8 = 4;

/// Guards of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A write succeeds only if the job record still has the writer's revision.
    pub revision: bool,
    /// A result's key, made of its epoch and number, can be created only once.
    pub create_once: bool,
}

impl Guards {
    /// All guards enabled, as in production.
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

/// A daemon's local view of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Owner {
    /// The daemon does not own the job.
    Idle,
    /// The daemon took the job over at this revision and has not read the results yet.
    Taken { revision: u8 },
    /// The daemon runs the item.
    Running { revision: u8 },
    /// The daemon has the item's result and has not written it yet.
    Writing { revision: u8 },
    /// The response to the result's write was lost.
    Unconfirmed { revision: u8 },
    /// The result is recorded, and the job's end has not been written yet.
    Closing { revision: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    job: JobState,
    /// Revision of the job record. Each change of owner and the job's end increment it.
    revision: u8,
    /// The revisions under which result chunks were written, one for each chunk.
    results: Vec<u8>,
    /// Number of results recorded when the operator's cancellation was acknowledged;
    /// `None` if the job was not cancelled.
    results_at_cancel: Option<usize>,
    owners: [Owner; 2],
}

fn start() -> State {
    State {
        job: JobState::Running,
        revision: 1,
        results: Vec::new(),
        results_at_cancel: None,
        owners: [Owner::Running { revision: 1 }, Owner::Idle],
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
    if state.results.len() > 1 {
        return Some("the item has two results".into());
    }
    if state
        .results_at_cancel
        .is_some_and(|n| state.results.len() > n)
    {
        return Some("a result was recorded after the cancellation was acknowledged".into());
    }
    if state.job == JobState::Complete && state.results.is_empty() {
        return Some("the job is complete without its item's result".into());
    }
    if state.results_at_cancel.is_some() && state.job == JobState::Complete {
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
        cancelled.results_at_cancel = Some(cancelled.results.len());
        next.push(cancelled);
    }
    next
}

fn owner_steps(state: &State, index: usize, guards: Guards, next: &mut Vec<State>) {
    let mut push_owner = |owner: Owner| {
        let mut changed = state.clone();
        changed.owners[index] = owner;
        next.push(changed);
    };
    match state.owners[index] {
        Owner::Idle => {}
        // A daemon may crash at any time.
        _ => push_owner(Owner::Idle),
    }
    match state.owners[index] {
        Owner::Idle => {
            if state.job == JobState::Running && state.revision < MAX_REVISION {
                let mut taken = state.clone();
                taken.revision += 1;
                let revision = taken.revision;
                taken.owners[index] = Owner::Taken { revision };
                next.push(taken);
            }
        }
        Owner::Taken { revision } => {
            let known = !state.results.is_empty();
            push_owner(if known {
                Owner::Closing { revision }
            } else {
                Owner::Running { revision }
            });
        }
        Owner::Running { revision } => push_owner(Owner::Writing { revision }),
        Owner::Writing { revision } | Owner::Unconfirmed { revision } => {
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

/// Writes a result under the owner's revision if the guards allow it. The response
/// arrives or is lost.
fn write_result(state: &State, index: usize, revision: u8, guards: Guards, next: &mut Vec<State>) {
    let already_written = state.results.contains(&revision);
    let current = state.job == JobState::Running && state.revision == revision;
    let absent = !already_written || !guards.create_once;
    let allowed = absent && (current || !guards.revision);
    let mut written = state.clone();
    if allowed {
        written.results.push(revision);
    }
    // If the key already exists, reading it back shows that this owner wrote it.
    let own_write = allowed || already_written;
    let mut acknowledged = written.clone();
    acknowledged.owners[index] = if own_write {
        Owner::Closing { revision }
    } else {
        Owner::Idle
    };
    next.push(acknowledged);
    written.owners[index] = Owner::Unconfirmed { revision };
    next.push(written);
}
