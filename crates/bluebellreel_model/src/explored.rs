//! Exploring all states.

use pathfinding::directed::bfs::bfs_reach;
use std::hash::Hash;

/// What an exploration found.
#[derive(Clone, Debug)]
pub struct Explored {
    /// States reached.
    pub states: usize,
    /// The first violation, with the state that shows it.
    pub violation: Option<String>,
}

/// Visits every state that can be reached, nearest first, until one breaks
/// what must hold.
pub(crate) fn explore_all<S, I>(
    start: S,
    next: impl Fn(&S) -> I,
    broken: impl Fn(&S) -> Option<String>,
) -> Explored
where
    S: Clone + Eq + Hash + std::fmt::Debug,
    I: IntoIterator<Item = S>,
{
    let mut states = 0;
    for state in bfs_reach(start, |state| next(state)) {
        states += 1;
        if let Some(reason) = broken(&state) {
            let violation = Some(format!("{reason}\n{state:#?}"));
            return Explored { states, violation };
        }
    }
    Explored {
        states,
        violation: None,
    }
}
