//! Answers to submissions of which it is not known, or not yet, whether they are accepted.

use super::load::owned_job;
use crate::answers;
use crate::gateway::Gateway;
use bluebellreel_net::Body;
use bluebellreel_types::JobId;
use http::{Response, StatusCode};
use log::warn;

/// The answer to a submission whose outcome is not known in time.
pub(super) fn in_doubt(gw: &Gateway, id: &JobId) -> Response<Body> {
    warn!(target: "jobs", job:% = id; "job in doubt");
    gw.metrics.job("in_doubt");
    answers::failure(StatusCode::GATEWAY_TIMEOUT, "not decided in time")
}

/// Answers a submission that there is no room for. One of the same job may be being written, or
/// have been accepted.
pub(crate) fn no_room(gw: &Gateway, id: &JobId) -> Response<Body> {
    let is_underway = gw.jobs.borrow().submissions.contains_key(id);
    if is_underway || owned_job(gw, id).is_some() {
        return in_doubt(gw, id);
    }
    warn!(target: "jobs", job:% = id; "job refused: no room");
    gw.metrics.job("refused");
    answers::no_room()
}
