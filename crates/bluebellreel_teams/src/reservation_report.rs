//! What gateways report of reserved tokens to each other.

use crate::TeamTag;
use crate::reservation::RETENTION;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::time::Duration;

/// Maximum number of reservations, and of uses, in a report.
pub const MAX_REPORTED: usize = 64;
/// Maximum time until a reported reservation is due: twice what callers are told at most.
const MAX_AHEAD: Duration = Duration::from_secs(10);

/// The first bytes of a request's fingerprint, the same for each attempt of its caller.
pub type Print = [u8; 4];

/// Identifies a reservation over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationId(pub(crate) u32);

/// What an entry is for, in the order in which entries are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A token for a refused caller.
    Return,
    /// A token for a request that waits at a gateway.
    Wait,
    /// No token: the caller was refused without one, and is expected to return.
    Unreserved,
}

/// A reservation in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationNotice {
    /// The team.
    pub team: TeamTag,
    /// Its id.
    pub id: ReservationId,
    /// Whose request it is for.
    pub print: Print,
    /// Time until it is due in milliseconds; negative if it is overdue.
    pub due_ms: i32,
    /// What it is for.
    pub kind: Kind,
}

impl ReservationNotice {
    /// Whether a peer can have made the reservation for this time.
    pub(crate) fn is_plausible(&self) -> bool {
        let ahead = i32::try_from(MAX_AHEAD.as_millis()).unwrap_or(i32::MAX);
        let overdue = i32::try_from(RETENTION.as_millis()).unwrap_or(i32::MAX);
        (-overdue..=ahead).contains(&self.due_ms)
    }
}

/// What a gateway reports: reservations that it made, and those that were used at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationReport {
    /// Reservations made.
    pub made: Vec<ReservationNotice>,
    /// Reservations used, by any gateway's id.
    pub used: Vec<(TeamTag, ReservationId)>,
}

/// A report has too many entries, an entry twice, or nothing but implausible times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidReport;

impl ReservationReport {
    /// Checks the content of a report.
    pub(crate) fn check(&self) -> Result<(), InvalidReport> {
        let made: HashSet<_> = self.made.iter().map(|notice| notice.id).collect();
        let used: HashSet<_> = self.used.iter().collect();
        let is_unique = made.len() == self.made.len() && used.len() == self.used.len();
        let is_short = made.len() <= MAX_REPORTED && used.len() <= MAX_REPORTED;
        let has_plausible = self.made.iter().any(ReservationNotice::is_plausible);
        let is_plausible = self.made.is_empty() || has_plausible || !self.used.is_empty();
        if is_unique && is_short && is_plausible {
            Ok(())
        } else {
            Err(InvalidReport)
        }
    }
}
