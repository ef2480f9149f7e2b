//! Decides whether a daemon watches the store for its peers.
//!
//! The daemons elect the watchers by what they know of each other
//! ([`Members::is_watcher`](crate::Members::is_watcher)). A daemon that has just started
//! knows few of its peers and would elect itself; if all start at the same time, each of
//! them would watch. A daemon therefore takes part in elections only once it has read the
//! registrations. From then on its own reports name it as a candidate. It can be elected
//! once these reports have reached all peers, and theirs have reached it.

use bluebellreel_types::Moment;
use std::time::Duration;

/// How long a relieved watcher goes on watching. Its successor may still be waiting for
/// its peers' reports.
const OVERLAP: Duration = Duration::from_millis(1200);

/// A daemon's part in elections of watchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchDuty {
    /// From when this daemon may be elected; none until it is a candidate.
    electable_from: Option<Moment>,
    /// When it was last elected.
    elected_at: Option<Moment>,
}

impl WatchDuty {
    /// Makes the daemon a candidate. `report_time` is the time within which its reports
    /// reach its peers and theirs reach it; zero if it has no peers.
    pub fn stand(&mut self, report_time: Duration, now: Moment) {
        self.electable_from.get_or_insert(now + report_time);
    }

    /// Whether the daemon's reports name it as a candidate.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        self.electable_from.is_some()
    }

    /// Whether the daemon watches, if `is_elected` by what it knows of its peers.
    pub fn watches(&mut self, is_elected: bool, now: Moment) -> bool {
        if is_elected && self.electable_from.is_some_and(|from| from <= now) {
            self.elected_at = Some(now);
        }
        self.elected_at
            .is_some_and(|at| !(at + OVERLAP).is_past(now))
    }
}
