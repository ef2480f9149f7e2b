//! Exhaustive exploration of a model's states.

use pathfinding::directed::bfs::bfs_reach;
use std::hash::Hash;

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Explored {
    /// Number of states visited.
    pub states: usize,
    /// The first invariant violation, with the state in which it occurs.
    pub violation: Option<String>,
}

/// Visits every reachable state in breadth-first order, until one violates an
/// invariant.
pub(crate) fn explore_all<S, I>(
    start: S,
    next: impl Fn(&S) -> I,
    invariant_violation: impl Fn(&S) -> Option<String>,
) -> Explored
where
    S: Clone + Eq + Hash + std::fmt::Debug,
    I: IntoIterator<Item = S>,
{
    let mut states = 0;
    for state in bfs_reach(start, |state| next(state)) {
        states += 1;
        if let Some(reason) = invariant_violation(&state) {
            let violation = Some(format!("{reason}\n{state:#?}"));
            return Explored { states, violation };
        }
    }
    Explored {
        states,
        violation: None,
    }
}
