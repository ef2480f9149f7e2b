//! How far a run has written its answer.

use serde::{Deserialize, Serialize};

/// Number of steps in which the events of a run are counted.
const STEPS: u8 = 5;
/// Number of events of the first step; each further one ends at twice as many.
const FIRST_STEP_EVENTS: u64 = 10;

/// How far a run has written its answer, in steps: up to 9 events, 19, 39, and so on.
///
/// A run that gets further than one that crashed its worker shows that the parts of its
/// prompt did not cause that crash; one that gets less far does not.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Depth(u8);

impl Depth {
    /// The depth that no run exceeds; only a complete answer goes further.
    pub const MAX: Self = Self(STEPS);

    /// Number of depths.
    pub(super) const COUNT: usize = STEPS as usize + 1;

    /// The depth of a run with this number of events.
    #[must_use]
    pub fn of(events: u64) -> Self {
        let doublings = (events / FIRST_STEP_EVENTS).checked_ilog2();
        let steps = doublings.map_or(0, |n| n + 1).min(u32::from(STEPS));
        Self(u8::try_from(steps).unwrap_or(STEPS))
    }

    /// Its place among all depths; a value from a newer version of the daemon counts as
    /// [`Self::MAX`].
    pub(super) fn index(self) -> usize {
        usize::from(self.0.min(STEPS))
    }
}
