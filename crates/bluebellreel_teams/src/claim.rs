//! Decides whether a request gets a token of its team now, waits for one at the gateway, or
//! is refused with a reservation or without.

use crate::reservation::{Print, ReservationId, Reservations};
use crate::{Allowances, Limit, TeamTag};
use bluebellreel_types::Moment;
use std::time::Duration;

/// How much longer a request that already waits may go on waiting. Its token was due in
/// time, but another gateway's requests took it within the delay of the reports.
const WAIT_GRACE: Duration = Duration::from_millis(50);

/// A request that claims a token.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Its team.
    pub team: TeamTag,
    /// The team's limit.
    pub limit: Limit,
    /// The request, the same for each attempt of its caller.
    pub print: Print,
    /// Until when it may wait at the gateway.
    pub wait_by: Moment,
    /// Until when its caller returns if it is told to.
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
        /// Its reservation.
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
        let Claim { team, limit, .. } = *claim;
        let own = claim
            .waits_with
            .or_else(|| reservations.usable(team, limit, claim.print, now));
        let others = reservations.due(team, limit, own, now);
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let level = self.left(team, limit);
        let kept_back = if own.is_some() { 0.0 } else { others };
        if level - kept_back >= 1.0 {
            if let Some(id) = own {
                reservations.end(team, id, now);
            }
            self.take(team, limit, now);
            return Decision::Admitted {
                is_reserved: own.is_some(),
            };
        }
        let rate = limit.per_second * self.share();
        let in_bucket = seconds_until(1.0 + kept_back - level, rate).map(|wait| now + wait);
        let due = match (own, in_bucket) {
            (Some(_), due) => due,
            (None, Some(due)) => {
                let next = reservations.next_due(team, limit, rate, now);
                next.map(|next| next.max(due))
            }
            (None, None) => None,
        };
        let decision = match due {
            Some(due) if due <= claim.wait_by => wait(reservations, claim, own, due, now),
            Some(due) if claim.waits_with.is_some() && due <= claim.wait_by + WAIT_GRACE => {
                wait(reservations, claim, own, due, now)
            }
            _ => None,
        };
        decision.unwrap_or_else(|| {
            self.note_refusal(team, now);
            if let Some(id) = own {
                reservations.end(team, id, now);
            }
            refuse(reservations, claim, due, now)
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
    if let Some(id) = claim.waits_with {
        return Some(Decision::Wait { id, until });
    }
    if !reservations.has_room_to_wait(team) {
        return None;
    }
    let reserve = |r: &mut Reservations| r.reserve(team, limit, claim.print, until, now);
    let id = own.or_else(|| reserve(reservations))?;
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
    let due = due.filter(|due| *due <= claim.return_by);
    let reserved = due.filter(|due| {
        reservations
            .reserve(team, limit, claim.print, *due, now)
            .is_some()
    });
    Decision::Refused {
        return_at: reserved.unwrap_or(claim.return_by),
        is_reserved: reserved.is_some(),
    }
}

/// Time until a number of tokens has been added; none if it takes forever.
fn seconds_until(tokens: f64, per_second: f64) -> Option<Duration> {
    Duration::try_from_secs_f64((tokens / per_second).max(0.0)).ok()
}
