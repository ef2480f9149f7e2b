//! What all handlers work with: the daemon's parts, a caller's request, and
//! ways to answer it and to ask an actor.

use crate::fleet::SharedManifest;
use crate::handles::DaemonHandles;
use crate::message::Message;
use bluebellreel_http::{ApiError, BodyLimits, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_telemetry::{Span, Tracer};
use bluebellreel_types::{Moment, TeamName};
use crossbeam_channel::{Sender, bounded};
use std::time::Duration;

/// Longest wait for an actor.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(2);

/// What HTTP handlers work with.
#[derive(Clone)]
pub(crate) struct HttpContext {
    pub(crate) handles: DaemonHandles,
    pub(crate) manifest: SharedManifest,
}

/// A caller's request, its caller known.
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

/// Runs a handler whose answer is known as a whole, and closes its span.
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

/// Who sends a request.
pub(crate) fn principal<'a>(cx: &'a HttpContext, req: &Request) -> Result<&'a Principal, ApiError> {
    let refused = || ApiError::new(401, "unauthorized", "a known bearer token is needed");
    let token = header(req, "Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?;
    cx.handles.settings.tokens.find(token).ok_or_else(refused)
}

/// Asks an actor.
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

/// The error of what cannot be read or done now.
pub(crate) fn unavailable(reason: &str) -> ApiError {
    let error = ApiError::new(503, "unavailable", reason);
    error.retry_after(Duration::from_secs(2))
}
