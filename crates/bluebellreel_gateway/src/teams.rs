//! Identifies the team behind a caller's request, and decides whether its key still opens
//! anything and whether the team's rate limit has room.

use crate::answers;
use crate::gateway::Gateway;
use crate::metrics::TeamOutcome;
use crate::millis::millis;
use crate::request::Request;
use crate::token_wait;
use bluebellreel_dispatch::Configuration;
use bluebellreel_net::Body;
use bluebellreel_platform::ingress;
use bluebellreel_teams::{Caller, KeyDigest, Team, TeamTag};
use http::{HeaderMap, Response, StatusCode};
use log::{info, warn};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` while the gateway cannot confirm that its configuration is the newest
/// one. The retry goes to another gateway, which probably can.
const RETRY_UNCONFIRMED: Duration = Duration::from_millis(300);
/// `Retry-After` while the number of gateways is not known.
const RETRY_UNCOUNTED: Duration = Duration::from_millis(200);

/// The team behind a request, and the key that showed it.
#[derive(Clone, Debug)]
pub(crate) struct Credential {
    key: KeyDigest,
    pub(crate) team: Arc<Team>,
}

/// Why a request is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The key is missing, malformed, unknown or revoked.
    UnknownKey,
    /// The configuration may no longer be the newest one.
    Unconfirmed,
}

impl Denial {
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::UnknownKey => "no valid key",
            Self::Unconfirmed => "keys not confirmed",
        }
    }

    /// The answer to a request that has not run.
    pub(crate) fn answer(self) -> Response<Body> {
        match self {
            Self::UnknownKey => answers::failure(StatusCode::UNAUTHORIZED, self.reason()),
            Self::Unconfirmed => answers::retry_after(
                StatusCode::SERVICE_UNAVAILABLE,
                self.reason(),
                RETRY_UNCONFIRMED,
            ),
        }
    }
}

/// What a request needs to know of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// Callers without a valid key are not served.
    Key,
    /// Any caller is served, as one without a key if need be.
    Nothing,
    /// Any caller is served, but what belongs to the team of a key depends on the key: one
    /// that is not confirmed must not pass for none.
    Identity,
}

/// Identifies the team behind a request. None if the configuration has no teams, or if
/// the request needs no key and has no valid one.
pub(crate) fn identify(
    gw: &Gateway,
    configuration: &Configuration,
    need: Need,
    headers: &HeaderMap,
) -> Result<Option<Credential>, Denial> {
    let Some(teams) = &configuration.teams else {
        return Ok(None);
    };
    let key = ingress::key_digest(headers);
    let found = key.and_then(|key| {
        let team = teams.holder(&key)?.clone();
        Some(Credential { key, team })
    });
    let checked = match found {
        Some(found) => check_confirmation(gw).map(|()| found),
        None => Err(Denial::UnknownKey),
    };
    match (checked, need) {
        (Ok(found), _) => Ok(Some(found)),
        (Err(_), Need::Nothing) => Ok(None),
        (Err(Denial::UnknownKey), Need::Identity) if key.is_none() || gw.allows_rejection() => {
            Ok(None)
        }
        (Err(denial), _) => Err(denial),
    }
}

/// Logs and counts a request that is denied.
pub(crate) fn note_denial(gw: &Gateway, denial: Denial, headers: &HeaderMap) {
    let id = ingress::request_id(headers);
    let has_key = ingress::key_digest(headers).is_some();
    let version = gw.configuration().map_or(0, |c| c.version);
    warn!(target: "teams", request = id, reason = denial.reason(), has_key, version, confirmed_ms:? = gw.confirmation_age().map(|a| a.as_millis()); "request denied");
    gw.metrics.request("denied");
}

/// Checks right before a send that the key still belongs to the same team.
pub(crate) fn recheck(gw: &Gateway, credential: &Credential) -> Result<(), Denial> {
    check_confirmation(gw)?;
    let configuration = gw.configuration().ok_or(Denial::Unconfirmed)?;
    let Some(teams) = &configuration.teams else {
        return Ok(());
    };
    match teams.holder(&credential.key) {
        Some(team) if team.name == credential.team.name => Ok(()),
        _ => Err(Denial::UnknownKey),
    }
}

/// Rechecks a key and updates its team, whose limit may have changed.
pub(crate) fn renew(gw: &Gateway, credential: &mut Credential) -> Result<(), Denial> {
    recheck(gw, credential)?;
    let configuration = gw.configuration();
    let teams = configuration.as_ref().and_then(|c| c.teams.as_ref());
    if let Some(team) = teams.and_then(|teams| teams.holder(&credential.key)) {
        credential.team = team.clone();
    }
    Ok(())
}

fn check_confirmation(gw: &Gateway) -> Result<(), Denial> {
    if gw.accepts_keys() {
        Ok(())
    } else {
        Err(Denial::Unconfirmed)
    }
}

/// The identity of a caller of the job API.
pub(crate) fn caller_of_jobs(
    gw: &Gateway,
    configuration: &Configuration,
    need: Need,
    headers: &HeaderMap,
) -> Result<Caller, Denial> {
    if configuration.teams.is_none() {
        return Ok(Caller::Unrestricted);
    }
    let credential = identify(gw, configuration, need, headers)?;
    Ok(credential.map_or(Caller::Anonymous, |c| Caller::Team(c.team.name.clone())))
}

/// Takes one request from the team's rate limit.
///
/// # Errors
///
/// Returns the answer to a request that is over the limit. It has not run.
pub(crate) async fn admit(gw: &Gateway, req: &mut Request) -> Result<(), Response<Body>> {
    if gw.settings.scheduling.token_reservations {
        return token_wait::admit(gw, req).await;
    }
    let Some((team, limit)) = req.limit() else {
        return Ok(());
    };
    gw.update_allowances();
    let now = gw.elapsed();
    let draw = gw.rng.borrow_mut().random_range(0.0..1.0);
    check_counted(gw, req)?;
    let admitted = gw.allowances.borrow_mut().admit(team, limit, draw, now);
    admitted.map_err(|wait| refuse(gw, req, wait, false))
}

/// Checks that this gateway knows which share of the limits it may use.
///
/// # Errors
///
/// Returns the answer to a request that cannot be admitted yet. It has not run.
#[expect(
    clippy::result_large_err,
    reason = "the error is the answer that is sent"
)]
pub(crate) fn check_counted(gw: &Gateway, req: &Request) -> Result<(), Response<Body>> {
    if gw.allowances.borrow().share() > 0.0 {
        return Ok(());
    }
    let reason = "gateways not counted yet";
    warn!(target: "teams", request:% = req.id, team:% = req.team_name(); "gateways not counted yet");
    gw.metrics.request("uncounted");
    let code = StatusCode::SERVICE_UNAVAILABLE;
    Err(answers::retry_after(code, reason, RETRY_UNCOUNTED))
}

/// The answer to a request over its team's limit, whose caller is to return after `wait`.
pub(crate) fn refuse(
    gw: &Gateway,
    req: &Request,
    wait: Duration,
    is_reserved: bool,
) -> Response<Body> {
    let share = gw.allowances.borrow().share();
    info!(target: "teams", request:% = req.id, team:% = req.team_name(), share, wait_ms = millis(wait), reserved = is_reserved; "over the rate limit");
    gw.metrics.request("over_rate");
    let code = StatusCode::TOO_MANY_REQUESTS;
    let mut answer = answers::retry_after(code, "over the rate limit", wait);
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

/// Evicts reservations that are over, and those of teams whose limit has changed.
pub(crate) fn sweep_reservations(gw: &Gateway) {
    let configuration = gw.configuration();
    let teams = configuration.as_ref().and_then(|c| c.teams.as_ref());
    gw.reservations.borrow_mut().sweep(teams, gw.elapsed());
}

/// Number of teams with metrics of their own.
const MAX_TEAMS_IN_METRICS: usize = 8;

/// Updates the metrics by team.
pub(crate) fn update_metrics(gw: &Gateway) {
    let configuration = gw.configuration();
    let teams = configuration.as_ref().and_then(|c| c.teams.as_ref());
    let allowances = gw.allowances.borrow();
    let metrics = &gw.metrics;
    metrics.rate_share.set(percent(allowances.share()));
    let reservations = gw.reservations.borrow().len(gw.elapsed());
    metrics
        .reservations
        .set(i64::try_from(reservations).unwrap_or(i64::MAX));
    metrics.team_requests.clear();
    for (n, (tag, admitted, refused)) in allowances.counts().into_iter().enumerate() {
        let name = teams.and_then(|teams| teams.name(tag));
        let name = name.filter(|_| n < MAX_TEAMS_IN_METRICS);
        let team = name.map_or("others", |name| name);
        for (outcome, count) in [("admitted", admitted), ("refused", refused)] {
            let team = team.to_owned();
            let label = TeamOutcome { team, outcome };
            let gauge = metrics.team_requests.get_or_create(&label);
            gauge.inc_by(i64::from(count));
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "a share is from 0 to 1")]
fn percent(share: f64) -> i64 {
    (share * 100.0).round() as i64
}

/// Tokens left for the team of a request; none without a limit.
pub(crate) fn tokens_left(gw: &Gateway, req: &Request) -> Option<f64> {
    let team = &req.credential.as_ref()?.team;
    let tag = TeamTag::of(&team.name);
    let limit = team.limit?;
    Some(gw.allowances.borrow_mut().left(tag, limit))
}

/// Returns the token of a request that no worker ran.
pub(crate) fn give_back(gw: &Gateway, req: &Request) {
    let team = req.credential.as_ref().map(|c| &c.team);
    if let Some(team) = team.filter(|team| team.limit.is_some()) {
        let tag = TeamTag::of(&team.name);
        gw.allowances.borrow_mut().give_back(tag, gw.elapsed());
    }
}
