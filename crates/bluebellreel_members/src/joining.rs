//! Decides whether a daemon that starts reads the cluster state from the store or from its
//! peers.
//!
//! When a fleet starts, a list of all workers for each daemon is the largest load that the
//! store ever gets, and it grows with the square of the fleet. A few pioneers, drawn at
//! random, read the store at once. The others ask their peers, from which the state spreads
//! to all within a few rounds, and read the store only if that takes too long.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Expected number of daemons that read the store at once, in a fleet of any size.
const PIONEERS: usize = 16;
/// How long a daemon asks its peers while callers are waiting for it. In a round of a tenth
/// of a second the number of those that know the state nearly doubles, and a call to one
/// that does not answer takes 0.6 s.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The same at the first start of an installation, before anyone calls.
const MAX_WAIT_FIRST_START: Duration = Duration::from_secs(3);
/// At the first start nothing is known of the fleet: one daemon in this many is a pioneer.
const FIRST_START_SHARE: usize = 16;

/// When a daemon that starts reads the store if its peers have not sent it the state.
///
/// `peers` is the number of registered daemons, `has_seeds` whether the settings name any,
/// and `draw` a random index below its argument.
pub fn reads_store_at(
    peers: usize,
    has_seeds: bool,
    is_first_start: bool,
    now: Moment,
    draw: impl FnOnce(usize) -> usize,
) -> Moment {
    if peers > 0 {
        let is_pioneer = draw(peers + 1) < PIONEERS;
        return if is_pioneer { now } else { now + MAX_WAIT };
    }
    if has_seeds && is_first_start && draw(FIRST_START_SHARE) > 0 {
        return now + MAX_WAIT_FIRST_START;
    }
    now
}
