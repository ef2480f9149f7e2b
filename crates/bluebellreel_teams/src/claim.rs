//! Decides whether a request gets a token of its team now, waits for one at the gateway, or
//! is refused with a reservation or without.

use crate::allowance::MAX_RETRY;
use crate::reservation::Reservations;
use crate::reservation_report::{Kind, Print, ReservationId};
use crate::{Allowances, Limit, TeamTag};
use bluebellreel_types::Moment;
use std::time::Duration;

/// How much longer a request that already waits may go on waiting. Its token was due in
/// time, but another gateway's requests took it within the delay of the reports.
const WAIT_GRACE: Duration = Duration::from_millis(50);

/// Minimum time until a refused caller returns. Its reservation must reach the other
/// gateways before it, also if a report is lost.
const MIN_RETURN: Duration = Duration::from_millis(100);
/// Minimum time until a waiting request claims again.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Tokens that a caller which returns without a reservation leaves in the bucket: about
/// the number of requests that come for the first time within the delay of a report. It
/// leaves fewer if the bucket cannot hold as many beside its own.
const LEFT_TO_NEW: f64 = 4.0;

/// A request that claims a token.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Its team.
    pub team: TeamTag,
    /// The team's limit.
    pub limit: Limit,
    /// The request, the same for each attempt of its caller.
    pub print: Print,
    /// Until when it may wait at the gateway, unless its caller has returned to a reserved
    /// token; it then may wait until `return_by`.
    pub wait_by: Moment,
    /// Until when its caller returns if it is told to, within [`MAX_RETRY`] from now. It is
    /// the same for each claim of the request, so that its wait ends.
    pub return_by: Moment,
    /// The reservation with which it waits.
    pub waits_with: Option<ReservationId>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has taken a token.
    Admitted {
        /// Whether a token was reserved for it.
        is_reserved: bool,
    },
    /// It waits at the gateway and claims again at this moment. It counts as waiting until
    /// [`Reservations::end_wait`].
    Wait {
        /// Its reservation, which replaces the one that it waited with before.
        id: ReservationId,
        /// When a token is expected.
        until: Moment,
    },
    /// It is refused.
    Refused {
        /// When its caller is to return.
        return_at: Moment,
        /// Whether a token is reserved for it then.
        is_reserved: bool,
    },
}

impl Allowances {
    /// Decides about a request by the bucket and the reservations of its team.
    pub fn claim(
        &mut self,
        reservations: &mut Reservations,
        claim: &Claim,
        now: Moment,
    ) -> Decision {
        // Peers reject reservations that are due much later.
        let return_by = claim.return_by.min(now + MAX_RETRY);
        let claim = &Claim {
            return_by,
            ..*claim
        };
        let Claim { team, limit, .. } = *claim;
        let mut find = |kind| reservations.returning(team, limit, (claim.print, kind), now);
        let own = claim.waits_with.or_else(|| find(Kind::Return));
        let unreserved = own.is_none().then(|| find(Kind::Unreserved)).flatten();
        let others = reservations.kept_back(team, limit, own, now);
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let level = self.left(team, limit);
        let kept_back = match (own, unreserved) {
            (Some(_), _) => 0.0,
            (None, None) => others,
            // A full bucket must admit it, unless its tokens are reserved.
            (None, Some(_)) => {
                let most = (self.capacity(limit) - 1.0).max(others);
                (others + LEFT_TO_NEW).min(most)
            }
        };
        if level - kept_back >= 1.0 {
            if let Some(id) = own.or(unreserved) {
                reservations.end(team, id, now);
            }
            self.take(team, limit, now);
            return Decision::Admitted {
                is_reserved: own.is_some(),
            };
        }
        let rate = limit.per_second * self.share();
        let in_bucket = seconds_until(1.0 + kept_back - level, rate).map(|wait| now + wait);
        let (ahead, next) = reservations.next_due(team, limit, rate, now);
        let after_others = in_bucket.zip(next).map(|(due, next)| due.max(next));
        // While refused callers are to return, new requests do not queue before them.
        let to_wait = in_bucket.filter(|_| own.is_some() || ahead == 0);
        // A caller that has returned as it was told does not return again.
        let has_returned = own.is_some_and(|id| reservations.is_return(team, id));
        let wait_by = match claim.waits_with {
            _ if has_returned => claim.return_by,
            Some(_) => claim.wait_by + WAIT_GRACE,
            None => claim.wait_by,
        };
        let until = to_wait.filter(|due| *due <= wait_by);
        let decision = until.and_then(|until| wait(reservations, claim, own, until, now));
        decision.unwrap_or_else(|| {
            self.note_refusal(team, now);
            if let Some(id) = own.or(unreserved) {
                reservations.end(team, id, now);
            }
            refuse(reservations, claim, after_others, now)
        })
    }
}

/// Lets the request wait, if there is room.
fn wait(
    reservations: &mut Reservations,
    claim: &Claim,
    own: Option<ReservationId>,
    until: Moment,
    now: Moment,
) -> Option<Decision> {
    let Claim { team, limit, .. } = *claim;
    // A longer wait is cut into parts, as peers reject reservations that are due later.
    let until = until.clamp(now + MIN_WAIT, now + MAX_RETRY);
    if let Some(id) = claim.waits_with {
        // Other gateways leave a token for it only while its reservation is valid.
        let id = reservations.renew(team, id, until, now);
        return Some(Decision::Wait { id, until });
    }
    if !reservations.has_room_to_wait(team) {
        return None;
    }
    let entry = (claim.print, Kind::Wait);
    let id = match own {
        Some(id) => id,
        None => reservations.add(team, limit, entry, until, now)?,
    };
    reservations.begin_wait(team, limit);
    Some(Decision::Wait { id, until })
}

/// Refuses the request, with a reservation if its caller will return in time.
fn refuse(
    reservations: &mut Reservations,
    claim: &Claim,
    due: Option<Moment>,
    now: Moment,
) -> Decision {
    let Claim { team, limit, .. } = *claim;
    let due = due.map(|due| due.max(now + MIN_RETURN));
    let due = due.filter(|due| *due <= claim.return_by);
    let mut add = |kind, due| reservations.add(team, limit, (claim.print, kind), due, now);
    let reserved = due.filter(|due| add(Kind::Return, *due).is_some());
    // After a wait the caller may be past that time.
    let unreserved = claim.return_by.max(now + MIN_RETURN);
    if reserved.is_none() {
        add(Kind::Unreserved, unreserved);
    }
    Decision::Refused {
        return_at: reserved.unwrap_or(unreserved),
        is_reserved: reserved.is_some(),
    }
}

/// Time until a number of tokens has been added; none if it takes forever.
fn seconds_until(tokens: f64, per_second: f64) -> Option<Duration> {
    Duration::try_from_secs_f64((tokens / per_second).max(0.0)).ok()
}
