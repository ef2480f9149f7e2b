//! Answers that the gateway itself produces.

use bluebellreel_net::Body;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// A successful answer with a body.
pub(crate) fn bytes(body: impl Into<Bytes>) -> Response<Body> {
    Response::new(Body::full(body))
}

/// A successful JSON answer.
pub(crate) fn json(body: impl Into<Bytes>) -> Response<Body> {
    let mut answer = bytes(body);
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// An answer with a status only.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// A failure with its reason.
pub(crate) fn failure(status: StatusCode, reason: &str) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::from(format!("{reason}\n"))));
    *answer.status_mut() = status;
    answer
}

/// `Retry-After` of answers to requests that there is no room for.
const RETRY_NO_ROOM: Duration = Duration::from_millis(400);

/// The answer to a request that there is no room for. It has not run.
pub(crate) fn no_room() -> Response<Body> {
    let code = StatusCode::SERVICE_UNAVAILABLE;
    retry_after(code, "no room for the request", RETRY_NO_ROOM)
}

/// A failure with `Retry-After`. With status 429 or 503 it guarantees that the request
/// has not run and never will.
pub(crate) fn retry_after(code: StatusCode, reason: &str, after: Duration) -> Response<Body> {
    let mut answer = failure(code, reason);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}
