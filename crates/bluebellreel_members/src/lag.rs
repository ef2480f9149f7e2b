//! Decides whether a daemon that receives changes from its peers has been without one of
//! them for too long.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Minimum time within which a change that a peer reports is to be received from a peer.
/// Peers answer within milliseconds; one of another version, or one that is unreachable,
/// may never answer.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Tracks a revision that peers have reported and this daemon has not reached.
///
/// While changes follow each other without a pause, a daemon lacks the newest one at any
/// time. It lags only if it does not reach a revision by the deadline set when that
/// revision was first reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    /// The revision to reach, and the deadline.
    awaited: Option<(i64, Moment)>,
}

impl Lag {
    /// Whether a daemon whose state is complete up to `own` lags, if `newest` is the
    /// newest revision that its peers report. `report_time` is the time within which
    /// reports reach all peers, over which these also spread their requests.
    pub fn is_overdue(
        &mut self,
        own: i64,
        newest: i64,
        report_time: Duration,
        now: Moment,
    ) -> bool {
        if own >= newest {
            self.awaited = None;
            return false;
        }
        match self.awaited {
            Some((revision, deadline)) if own < revision => deadline.is_past(now),
            _ => {
                self.awaited = Some((newest, now + MAX_LAG.max(report_time)));
                false
            }
        }
    }
}
