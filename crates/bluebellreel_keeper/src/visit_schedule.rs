//! Decides which gateway is visited when.

use bluebellreel_types::{DataCentre, Moment};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of visits to a gateway in the keeper's own data centre. A gateway that does
/// not reach the store waits half of it on average, and refuses all callers until it is
/// visited.
const NEAR_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of visits to other gateways. Each visit sends about 500 bytes between data
/// centres, and each data centre has a keeper of its own.
const FAR_INTERVAL: Duration = Duration::from_millis(1200);
/// Minimum time between two visits of one keeper, to any gateways. It limits visits to
/// 20 a second, or 0.1 % of a core, even with hundreds of gateways.
const VISIT_SPACING: Duration = Duration::from_millis(50);

/// Silence after which a gateway is evicted. A VM that was replaced does not come back.
/// A gateway that does come back is reported by its peers.
const EVICTION_TIMEOUT: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ScheduledVisit {
    due_at: Moment,
    in_progress: bool,
    /// Time since which no visit has reached the gateway.
    unreachable_since: Option<Moment>,
}

/// Result of a visit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VisitResult {
    /// Whether the gateway answered.
    pub(crate) reached: bool,
    /// Whether the gateway counts as being in the keeper's data centre.
    pub(crate) is_near: bool,
}

/// The gateways to visit.
#[derive(Debug, Default)]
pub(crate) struct VisitSchedule {
    visits: BTreeMap<SocketAddr, ScheduledVisit>,
}

impl VisitSchedule {
    /// Replaces the gateways to visit. New ones are due at once.
    pub(crate) fn set_gateways(&mut self, gateways: impl Iterator<Item = SocketAddr>, now: Moment) {
        let before = std::mem::take(&mut self.visits);
        let new = ScheduledVisit {
            due_at: now,
            in_progress: false,
            unreachable_since: None,
        };
        let visit = |at: SocketAddr| (at, before.get(&at).copied().unwrap_or(new));
        self.visits = gateways.map(visit).collect();
    }

    /// Returns a gateway whose visit is due, and marks the visit as in progress.
    pub(crate) fn start_next(&mut self, now: Moment) -> Option<SocketAddr> {
        let open = self.visits.iter_mut().filter(|(_, s)| !s.in_progress);
        let (at, visit) = open.min_by_key(|(_, s)| s.due_at)?;
        if !visit.due_at.is_past(now) {
            return None;
        }
        visit.in_progress = true;
        Some(*at)
    }

    /// Records the result of a visit. Returns whether the gateway should be evicted.
    pub(crate) fn record_result(
        &mut self,
        at: SocketAddr,
        result: VisitResult,
        now: Moment,
    ) -> bool {
        let all = u32::try_from(self.visits.len()).unwrap_or(u32::MAX);
        // A gateway that does not answer may be starting and need a snapshot soon.
        let soon = result.is_near || !result.reached;
        let pause = if soon { NEAR_INTERVAL } else { FAR_INTERVAL };
        let pause = pause.max(VISIT_SPACING.saturating_mul(all));
        let Some(visit) = self.visits.get_mut(&at) else {
            return false;
        };
        visit.due_at = now + pause;
        visit.in_progress = false;
        if result.reached {
            visit.unreachable_since = None;
            return false;
        }
        let since = *visit.unreachable_since.get_or_insert(now);
        (since + EVICTION_TIMEOUT).is_past(now)
    }
}

/// Whether a gateway counts as being in the keeper's data centre; also true while its
/// data centre is unknown.
pub(crate) fn is_near(own: &DataCentre, theirs: Option<&DataCentre>) -> bool {
    theirs.is_none_or(|theirs| theirs == own)
}
