//! Shared context of the HTTP handlers, and helpers to answer requests and to query
//! the actor.

use crate::fleet::SharedManifest;
use crate::handles::DaemonHandles;
use crate::message::Message;
use bluebellreel_http::{ApiError, BodyLimits, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_telemetry::{Span, Tracer};
use bluebellreel_types::{Moment, TeamName};
use crossbeam_channel::{Sender, bounded};
use std::time::Duration;

/// Timeout for the actor's reply.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(2);

/// Context of the HTTP handlers.
#[derive(Clone)]
pub(crate) struct HttpContext {
    pub(crate) handles: DaemonHandles,
    pub(crate) manifest: SharedManifest,
}

/// An authenticated caller's request.
pub(crate) struct CallerRequest {
    pub(crate) req: Request,
    pub(crate) team: TeamName,
    pub(crate) key: Option<String>,
    pub(crate) deadline: Option<Moment>,
    pub(crate) span: Span,
}

impl HttpContext {
    pub(crate) fn now(&self) -> Moment {
        self.handles.clock.now()
    }

    pub(crate) fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            bytes: self.handles.settings.limits.body_bytes,
            time: self.handles.settings.limits.body_time,
        }
    }

    pub(crate) fn tracer(&self) -> &Tracer {
        &self.handles.tracer
    }
}

/// Runs a handler that returns a complete reply, sends the reply, and ends the
/// request's span.
pub(crate) fn answer(
    cx: &HttpContext,
    mut call: CallerRequest,
    run: impl FnOnce(&mut CallerRequest) -> Result<Reply, ApiError>,
) {
    let reply = run(&mut call).unwrap_or_else(Reply::from);
    let span = call.span.with("status", reply.status.to_string());
    cx.tracer().finish(span, cx.now());
    respond(call.req, &reply);
}

/// Authenticates a request by its bearer token.
pub(crate) fn principal<'a>(cx: &'a HttpContext, req: &Request) -> Result<&'a Principal, ApiError> {
    let refused = || ApiError::new(401, "unauthorized", "a known bearer token is needed");
    let token = header(req, "Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?;
    cx.handles.settings.tokens.find(token).ok_or_else(refused)
}

/// Sends a query to the actor and waits for its reply.
pub(crate) fn query_actor<T>(
    cx: &HttpContext,
    message: impl FnOnce(Sender<T>) -> Message,
) -> Result<T, ApiError> {
    let (answer, response) = bounded(1);
    cx.handles.send_message(message(answer));
    response
        .recv_timeout(ACTOR_TIMEOUT)
        .map_err(|_| unavailable("the daemon does not answer"))
}

/// The error of a request that cannot be served now.
pub(crate) fn unavailable(reason: &str) -> ApiError {
    let error = ApiError::new(503, "unavailable", reason);
    error.retry_after(Duration::from_secs(2))
}
