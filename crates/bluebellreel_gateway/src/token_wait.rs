//! Admits requests of teams with a rate limit by reserved tokens: a request may wait here
//! for a token that is available shortly, and a refused caller is told when a token is
//! reserved for it.

use crate::gateway::Gateway;
use crate::metrics::Outcome;
use crate::request::Request;
use crate::serve::refuse_stopping;
use crate::teams::{self, Denial};
use bluebellreel_net::Body;
use bluebellreel_platform::ingress;
use bluebellreel_teams::{Claim, Decision, Limit, MAX_RETRY, ReservationId, TeamTag};
use bluebellreel_types::Moment;
use http::Response;
use log::warn;
use std::time::Duration;
use tokio::time::sleep;

/// Part of a route's objective that a request may wait for a token. The rest is for a
/// worker's queue and the processing of the prompt.
const WAIT_PART: u32 = 4;
/// Part of its remaining time that a caller waits before it returns. It gives up if it is
/// told to wait longer.
const RETURN_PART: u32 = 3;
/// Subtracted from that time, for the way of the answer to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(10);
/// Interval at which a waiting request checks whether the daemon refuses it, and
/// whether its key is revoked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Ends the wait of a request, also when its caller's connection closes.
struct WaitGuard<'a> {
    gw: &'a Gateway,
    team: TeamTag,
    id: ReservationId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut reservations = self.gw.reservations.borrow_mut();
        reservations.end_wait(self.team, self.id, self.gw.elapsed());
    }
}

/// Takes a token for a request, and waits for one if it is available shortly.
///
/// # Errors
///
/// Returns the answer to a request that is not admitted. It has not run.
pub(crate) async fn admit(gw: &Gateway, req: &mut Request) -> Result<(), Response<Body>> {
    let mut guard: Option<WaitGuard<'_>> = None;
    let began = gw.elapsed();
    let to_wait = (req.route.objective / WAIT_PART).saturating_sub(req.received.elapsed());
    let returns_in = (req.left() / RETURN_PART).saturating_sub(RETURN_MARGIN);
    // Computed once: from the time that is left at each claim, the limit would move on, and
    // a returned caller could be held until its deadline.
    let limits = (began + to_wait, began + returns_in.min(MAX_RETRY));
    loop {
        let Some((team, limit)) = req.limit() else {
            return Ok(());
        };
        gw.update_allowances();
        teams::check_counted(gw, req)?;
        let now = gw.elapsed();
        let claim = claim(req, (team, limit), limits, guard.as_ref());
        let decision = {
            let mut reservations = gw.reservations.borrow_mut();
            let mut allowances = gw.allowances.borrow_mut();
            allowances.claim(&mut reservations, &claim, now)
        };
        match decision {
            Decision::Admitted { is_reserved } => {
                match (&guard, is_reserved) {
                    (Some(_), _) => count(gw, "waited"),
                    (None, true) => count(gw, "reserved"),
                    (None, false) => {}
                }
                return Ok(());
            }
            Decision::Refused {
                return_at,
                is_reserved,
            } => {
                let outcome = if is_reserved {
                    gw.report_due.notify_one();
                    "refused_reserved"
                } else {
                    "refused_unreserved"
                };
                count(gw, outcome);
                return Err(teams::refuse(gw, req, return_at.since(now), is_reserved));
            }
            Decision::Wait { id, until } => {
                match &mut guard {
                    Some(guard) => guard.id = id,
                    None => guard = Some(WaitGuard { gw, team, id }),
                }
                gw.report_due.notify_one();
                wait_until(gw, req, until).await?;
                if let Some(credential) = &mut req.credential {
                    let renewed = teams::renew(gw, credential);
                    renewed.map_err(|denial| deny(gw, req, denial))?;
                }
            }
        }
    }
}

fn claim(
    req: &Request,
    (team, limit): (TeamTag, Limit),
    (wait_by, return_by): (Moment, Moment),
    guard: Option<&WaitGuard<'_>>,
) -> Claim {
    let [a, b, c, d, ..] = req.fingerprint().0;
    Claim {
        team,
        limit,
        print: [a, b, c, d],
        wait_by,
        return_by,
        waits_with: guard.map(|guard| guard.id),
    }
}

/// Waits for a moment.
///
/// # Errors
///
/// Returns the answer if this daemon begins to refuse the request meanwhile, or if the key is
/// revoked.
async fn wait_until(gw: &Gateway, req: &Request, until: Moment) -> Result<(), Response<Body>> {
    loop {
        if gw.refuses(req.deadline) {
            return Err(refuse_stopping());
        }
        let checked = req.credential.as_ref().map(|c| teams::recheck(gw, c));
        // A key that is not confirmed now may be again when the wait ends.
        if let Some(Err(denial @ Denial::UnknownKey)) = checked {
            return Err(deny(gw, req, denial));
        }
        let left = until.since(gw.elapsed());
        if left.is_zero() {
            return Ok(());
        }
        sleep(left.min(CHECK_INTERVAL)).await;
    }
}

/// The answer to a request whose key was revoked, or is not confirmed any more, while it
/// waited.
fn deny(gw: &Gateway, req: &Request, denial: Denial) -> Response<Body> {
    let mut answer = denial.answer();
    gw.metrics.request("denied");
    warn!(target: "online", request:% = req.id, status = answer.status().as_u16(), runs = req.runs, reason = denial.reason(); "key denied before a send");
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

fn count(gw: &Gateway, outcome: &'static str) {
    let claims = &gw.metrics.token_claims;
    claims.get_or_create(&Outcome { outcome }).inc();
}
