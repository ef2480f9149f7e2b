//! Whose turn it is when slots run short.
//!
//! While a worker has a free slot, every request is sent. When requests have to queue, one
//! team that sends many times its usual would fill the queues, and the requests of all
//! others would be refused with its own. A request therefore may wait in a queue only as
//! long as its team's recent use allows: a team that has had its fair share or less waits
//! up to the route's limit, one that has had more waits in proportion less, and is refused
//! first. Requests of a less urgent class wait less than those of a more urgent one that
//! arrive at the same time.
//!
//! ```
//! use bluebellreel_teams::{Use, wait_share};
//!
//! let fair = Use { own: 10, all: 100, teams: 10 };
//! assert!((wait_share(fair, 0) - 1.0).abs() < f64::EPSILON);
//! let hot = Use { own: 40, all: 100, teams: 10 };
//! assert!((wait_share(hot, 0) - 0.25).abs() < f64::EPSILON);
//! ```

use bluebellreel_types::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a class counts as active after a request of it.
const ACTIVE_FOR: Duration = Duration::from_secs(1);
/// Factor of the time in a queue for each more urgent class that is active.
const LESS_URGENT_FACTOR: f64 = 0.5;

/// Requests that were admitted recently over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Those of one team.
    pub own: u32,
    /// Those of all teams.
    pub all: u32,
    /// Number of teams that had any.
    pub teams: u32,
}

/// Share, from 0 to 1, of the route's longest wait in a worker's queue that a request may
/// use. `recent` is what its team and all teams had in the last seconds, `more_urgent` the
/// number of active classes with a lower priority number.
#[must_use]
pub fn wait_share(recent: Use, more_urgent: usize) -> f64 {
    let fair = f64::from(recent.all) / f64::from(recent.teams.max(1));
    let by_use = if recent.own == 0 {
        1.0
    } else {
        (fair / f64::from(recent.own)).min(1.0)
    };
    let classes = i32::try_from(more_urgent).unwrap_or(i32::MAX);
    by_use * LESS_URGENT_FACTOR.powi(classes)
}

/// The classes of requests that are active. The lowest priority is the most urgent one.
#[derive(Clone, Debug, Default)]
pub struct ActiveClasses {
    active_until: BTreeMap<u32, Moment>,
}

impl ActiveClasses {
    /// Records a request.
    pub fn note(&mut self, priority: u32, now: Moment) {
        self.active_until.insert(priority, now + ACTIVE_FOR);
    }

    /// Number of active classes that are more urgent than `priority`.
    #[must_use]
    pub fn more_urgent(&self, priority: u32, now: Moment) -> usize {
        let more_urgent = self.active_until.range(..priority);
        more_urgent.filter(|(_, until)| !until.is_past(now)).count()
    }

    /// Evicts classes that are not active.
    pub fn sweep(&mut self, now: Moment) {
        self.active_until.retain(|_, until| !until.is_past(now));
    }
}
