//! Which gateway is visited when.

use bluebellreel_types::{DataCentre, Moment};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between visits to a gateway of the own data centre. A gateway that finds
/// no store waits half of it on average; without a visit it refuses everybody.
const NEAR: Duration = Duration::from_millis(300);
/// Time between visits to others. Each is some 500 bytes between data centres,
/// and each data centre has a keeper of its own.
const FAR: Duration = Duration::from_millis(1200);
/// Time between two visits of one keeper, whichever gateways they go to: 20 a
/// second, 0.1 % of a core, also before some hundred gateways.
const APART: Duration = Duration::from_millis(50);

/// Silence after which a gateway is evicted: a VM that was replaced does not
/// come back. One that does is named by its peers.
const EVICTED_AFTER: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stop {
    due_at: Moment,
    underway: bool,
    /// Since when no visit has reached it.
    silent_since: Option<Moment>,
}

/// How a visit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Visited {
    /// Whether the gateway answered.
    pub(crate) reached: bool,
    /// Whether it stands near.
    pub(crate) is_near: bool,
}

/// The gateways to visit.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    stops: BTreeMap<SocketAddr, Stop>,
}

impl Rounds {
    /// Visits these gateways from now on; new ones at once.
    pub(crate) fn follow(&mut self, gateways: impl Iterator<Item = SocketAddr>, now: Moment) {
        let before = std::mem::take(&mut self.stops);
        let new = Stop {
            due_at: now,
            underway: false,
            silent_since: None,
        };
        let stop = |at: SocketAddr| (at, before.get(&at).copied().unwrap_or(new));
        self.stops = gateways.map(stop).collect();
    }

    /// A gateway whose visit is due; it counts as under way from then on.
    pub(crate) fn next(&mut self, now: Moment) -> Option<SocketAddr> {
        let open = self.stops.iter_mut().filter(|(_, s)| !s.underway);
        let (at, stop) = open.min_by_key(|(_, s)| s.due_at)?;
        if !stop.due_at.is_past(now) {
            return None;
        }
        stop.underway = true;
        Some(*at)
    }

    /// A visit has ended; whether its gateway is to be forgotten.
    pub(crate) fn ended(&mut self, at: SocketAddr, visited: Visited, now: Moment) -> bool {
        let all = u32::try_from(self.stops.len()).unwrap_or(u32::MAX);
        // One that does not answer may just be starting, and need a snapshot.
        let soon = visited.is_near || !visited.reached;
        let pause = if soon { NEAR } else { FAR };
        let pause = pause.max(APART.saturating_mul(all));
        let Some(stop) = self.stops.get_mut(&at) else {
            return false;
        };
        stop.due_at = now + pause;
        stop.underway = false;
        if visited.reached {
            stop.silent_since = None;
            return false;
        }
        let since = *stop.silent_since.get_or_insert(now);
        (since + EVICTED_AFTER).is_past(now)
    }
}

/// Whether a gateway counts as near: also while it has not said where it is.
pub(crate) fn is_near(own: &DataCentre, theirs: Option<&DataCentre>) -> bool {
    theirs.is_none_or(|place| place == own)
}
