//! What all handlers work with: the daemon's parts, a caller's request, and
//! ways to answer it and to ask an actor.

use crate::fleet::SharedManifest;
use crate::message::Message;
use crate::parts::Parts;
use bluebellreel_http::{ApiError, BodyLimits, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_telemetry::{Span, Tracer};
use bluebellreel_types::{Moment, TeamName};
use crossbeam_channel::{Sender, bounded};
use std::time::Duration;

/// Longest wait for an actor.
const ACTOR_TIME: Duration = Duration::from_secs(2);

/// What HTTP handlers work with.
#[derive(Clone)]
pub(crate) struct Rim {
    pub(crate) parts: Parts,
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

impl Rim {
    pub(crate) fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    pub(crate) fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            bytes: self.parts.settings.limits.body_bytes,
            time: self.parts.settings.limits.body_time,
        }
    }

    pub(crate) fn tracer(&self) -> &Tracer {
        &self.parts.tracer
    }
}

/// Runs a handler whose answer is known as a whole, and closes its span.
pub(crate) fn answer(
    rim: &Rim,
    mut call: CallerRequest,
    run: impl FnOnce(&mut CallerRequest) -> Result<Reply, ApiError>,
) {
    let reply = run(&mut call).unwrap_or_else(Reply::from);
    let span = call.span.with("status", reply.status.to_string());
    rim.tracer().finish(span, rim.now());
    respond(call.req, &reply);
}

/// Who sends a request.
pub(crate) fn principal<'a>(rim: &'a Rim, req: &Request) -> Result<&'a Principal, ApiError> {
    let refused = || ApiError::new(401, "unauthorized", "a known bearer token is needed");
    let token = header(req, "Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?;
    rim.parts.settings.tokens.find(token).ok_or_else(refused)
}

/// Asks an actor.
pub(crate) fn ask<T>(rim: &Rim, message: impl FnOnce(Sender<T>) -> Message) -> Result<T, ApiError> {
    let (answer, told) = bounded(1);
    rim.parts.tell(message(answer));
    told.recv_timeout(ACTOR_TIME)
        .map_err(|_| unavailable("the daemon does not answer"))
}

/// The error of what cannot be read or done now.
pub(crate) fn unavailable(reason: &str) -> ApiError {
    let error = ApiError::new(503, "unavailable", reason);
    error.retry_after(Duration::from_secs(2))
}
