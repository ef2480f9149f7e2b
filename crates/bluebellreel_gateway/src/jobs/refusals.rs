//! Answers to submissions of which it is not known, or not yet, whether they are accepted.

use super::load::{self, owned_job};
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

/// Answers a submission that there is no room for.
pub(crate) async fn no_room(gw: &Gateway, id: &JobId) -> Response<Body> {
    refuse_unknown(gw, id, answers::no_room()).await
}

/// Answers a submission that there never is room for.
pub(super) async fn too_large(gw: &Gateway, id: &JobId) -> Response<Body> {
    let refusal = answers::status(StatusCode::PAYLOAD_TOO_LARGE);
    refuse_unknown(gw, id, refusal).await
}

/// Gives a refusal if the job is certainly not accepted. It may be being written, and another
/// daemon may have accepted it, so the store is read first.
async fn refuse_unknown(gw: &Gateway, id: &JobId, refusal: Response<Body>) -> Response<Body> {
    let is_underway = || gw.jobs.borrow().submissions.contains_key(id);
    if is_underway() || owned_job(gw, id).is_some() {
        return in_doubt(gw, id);
    }
    let stored = load::record(gw, id).await;
    if !matches!(stored, Ok(None)) || is_underway() {
        return in_doubt(gw, id);
    }
    warn!(target: "jobs", job:% = id; "job refused: no room");
    gw.metrics.job("refused");
    refusal
}
