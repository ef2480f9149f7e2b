//! The API for calls to plain services.

use crate::http::context::{CallerRequest, HttpContext, answer};
use crate::http::online::{begin, error_of};
use crate::online::CallerEvent;
use bluebellreel_http::{ApiError, Reply, read_body};
use bluebellreel_routing::Outcome;
use bluebellreel_types::{ModelName, Work, WorkKind, content_digest};
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of a call that arrived before the manifest was read.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `/services/{name}/…`.
pub(crate) fn call(cx: &HttpContext, call: CallerRequest, rest: &str, query: &str) {
    answer(cx, call, |call| run(cx, call, rest, query));
}

fn run(
    cx: &HttpContext,
    call: &mut CallerRequest,
    rest: &str,
    query: &str,
) -> Result<Reply, ApiError> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ModelName::from(name);
    let manifest = cx.manifest.get();
    if !manifest.services.iter().any(|spec| spec.name == service) {
        if !cx.handles.readiness.knows_manifest() {
            let error = ApiError::new(503, "not_ready", "the services are not known yet");
            return Err(error.retry_after(NOT_READY_RETRY_AFTER));
        }
        return Err(ApiError::new(404, "no_service", "no such service"));
    }
    let path = if query.is_empty() {
        format!("/{path}")
    } else {
        format!("/{path}?{query}")
    };
    let kind = WorkKind::Call {
        method: Arc::from(call.req.method().as_str()),
        path: Arc::from(path.as_str()),
    };
    let repeatable = manifest.is_repeatable(&service, &kind);
    if !repeatable && call.key.is_none() {
        let message = "this call runs at most once and needs an Idempotency-Key";
        return Err(ApiError::new(400, "key_needed", message));
    }
    let body = read_body(&mut call.req, cx.body_limits())?;
    let digest_input = [path.as_bytes(), b"\n", &body].concat();
    let work = Work {
        kind,
        model: service,
        body: Arc::from(body),
        tokens: 1,
        prefix: 0,
        repeatable,
        key: Arc::from(call.key.as_deref().unwrap_or("")),
        team: call.team.clone(),
    };
    let pending = begin(cx, call, work, content_digest(&digest_input));
    loop {
        match pending.next(cx) {
            CallerEvent::Text(_) => {}
            CallerEvent::Finished(Outcome::Completed { status, body, .. }) => {
                return Ok(Reply::bytes(status, "application/json", body));
            }
            CallerEvent::Finished(outcome) => {
                return Err(error_of(&outcome, call.key.is_some(), cx.now()));
            }
            CallerEvent::Claimed(record) => return pending.claimed(cx, *record),
        }
    }
}
