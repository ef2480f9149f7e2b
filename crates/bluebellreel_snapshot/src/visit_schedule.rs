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
/// Minimum time between two visits to near gateways. It limits these visits to 20 a second,
/// or 0.1 % of a core.
const NEAR_SPACING: Duration = Duration::from_millis(50);
/// Minimum time between two visits to other gateways. Without a limit of their own, those
/// of a large fleet would take the time of the near ones, which keep the keeper's copies
/// up to date.
const FAR_SPACING: Duration = Duration::from_millis(50);

/// Silence after which a gateway is evicted. A VM that was replaced does not come back.
/// A gateway that does come back is reported by its peers.
const EVICTION_TIMEOUT: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ScheduledVisit {
    due_at: Moment,
    in_progress: bool,
    /// Whether the gateway counts as being in the keeper's data centre.
    is_near: bool,
    /// Time since which no visit has reached the gateway.
    unreachable_since: Option<Moment>,
}

/// Result of a visit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VisitResult {
    /// Whether the gateway answered.
    pub reached: bool,
    /// Whether the gateway counts as being in the keeper's data centre.
    pub is_near: bool,
}

/// The gateways to visit.
#[derive(Debug, Default)]
pub struct VisitSchedule {
    visits: BTreeMap<SocketAddr, ScheduledVisit>,
}

impl VisitSchedule {
    /// Replaces the gateways to visit. New ones are due at once.
    pub fn set_gateways(&mut self, gateways: impl Iterator<Item = SocketAddr>, now: Moment) {
        let before = std::mem::take(&mut self.visits);
        let new = ScheduledVisit {
            due_at: now,
            in_progress: false,
            is_near: true,
            unreachable_since: None,
        };
        let visit = |at: SocketAddr| (at, before.get(&at).copied().unwrap_or(new));
        self.visits = gateways.map(visit).collect();
    }

    /// Returns a gateway whose visit is due, and marks the visit as in progress.
    pub fn start_next(&mut self, now: Moment) -> Option<SocketAddr> {
        let open = self.visits.iter_mut().filter(|(_, s)| !s.in_progress);
        let (at, visit) = open.min_by_key(|(_, s)| s.due_at)?;
        if !visit.due_at.is_past(now) {
            return None;
        }
        visit.in_progress = true;
        Some(*at)
    }

    /// Interval of visits to each gateway in the keeper's data centre, or to each other one.
    #[must_use]
    pub fn interval(&self, near: bool) -> Duration {
        let count = self.visits.values().filter(|v| v.is_near == near).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let (interval, spacing) = if near {
            (NEAR_INTERVAL, NEAR_SPACING)
        } else {
            (FAR_INTERVAL, FAR_SPACING)
        };
        interval.max(spacing.saturating_mul(count))
    }

    /// Interval of visits to this gateway.
    #[must_use]
    pub fn interval_of(&self, at: SocketAddr) -> Duration {
        let visit = self.visits.get(&at);
        self.interval(visit.is_none_or(|visit| visit.is_near))
    }

    /// Records the result of a visit. Returns whether the gateway should be evicted.
    pub fn record_result(&mut self, at: SocketAddr, result: VisitResult, now: Moment) -> bool {
        let Some(visit) = self.visits.get_mut(&at) else {
            return false;
        };
        visit.is_near = result.is_near;
        // A gateway that does not answer may be starting and need a snapshot soon.
        let pause = self.interval(result.is_near || !result.reached);
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
#[must_use]
pub fn is_near(own: &DataCentre, theirs: Option<&DataCentre>) -> bool {
    theirs.is_none_or(|theirs| theirs == own)
}
