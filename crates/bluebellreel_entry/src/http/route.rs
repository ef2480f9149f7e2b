//! Dispatches requests to their handlers.

use crate::data;
use crate::http::context::{CallerRequest, HttpContext, answer, principal};
use crate::http::{batches, chat, operator, requests, services};
use bluebellreel_http::{ApiError, Method, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_telemetry::Span;
use bluebellreel_types::{Moment, TeamName, TraceContext};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Handles one request.
pub(crate) fn handle(cx: &HttpContext, req: Request) {
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match path {
        "/healthz" => respond(req, &Reply::bytes(200, "text/plain", *b"ok\n")),
        "/readyz" => respond(req, &readiness(cx)),
        "/metrics" => {
            let counts = cx.handles.kv.counts();
            let total = i64::try_from(counts.writes + counts.reads).unwrap_or(i64::MAX);
            cx.handles.metrics.kv_calls.set(total);
            let failures = i64::try_from(counts.failures).unwrap_or(i64::MAX);
            cx.handles.metrics.kv_failures.set(failures);
            let text = cx.handles.metrics.text().into_bytes();
            respond(req, &Reply::bytes(200, "text/plain; version=0.0.4", text));
        }
        _ if path.starts_with(data::PATH_PREFIX) => {
            let mut req = req;
            let rest = &path[data::PATH_PREFIX.len()..];
            let reply = data::handle(&cx.handles.data, &mut req, rest);
            respond(req, &reply);
        }
        _ if path == "/operator" || path.starts_with("/operator/") => {
            operator::handle(cx, req, path, query);
        }
        _ => handle_caller(cx, req, path, query),
    }
}

fn readiness(cx: &HttpContext) -> Reply {
    if cx.handles.readiness.is_ready() {
        Reply::bytes(200, "text/plain", *b"ready\n")
    } else {
        ApiError::new(503, "not_ready", "starting or stopping").into()
    }
}

fn handle_caller(cx: &HttpContext, req: Request, path: &str, query: &str) {
    let call = match caller_request(cx, &req) {
        Ok(known) => known.with(req),
        Err(e) => return respond(req, &e.into()),
    };
    let method = call.req.method().clone();
    match (&method, path) {
        (Method::Post, "/v1/chat/completions") => chat::complete(cx, call),
        (Method::Get, "/v1/models") => answer(cx, call, |_| Ok(chat::models(cx))),
        (Method::Post, "/v1/batches") => answer(cx, call, |call| batches::submit(cx, call)),
        _ => match path.strip_prefix("/v1/batches/") {
            Some(rest) => batches::handle(cx, call, rest, query),
            None => handle_named(cx, call, path, query),
        },
    }
}

fn handle_named(cx: &HttpContext, call: CallerRequest, path: &str, query: &str) {
    if let Some(key) = path.strip_prefix("/v1/requests/") {
        let key = key.to_owned();
        answer(cx, call, |call| requests::show(cx, &call.team, &key));
    } else if let Some(rest) = path.strip_prefix("/services/") {
        services::call(cx, call, rest, query);
    } else {
        answer(cx, call, |_| {
            Err(ApiError::new(404, "not_found", "no such path"))
        });
    }
}

struct CallerHeaders {
    team: TeamName,
    key: Option<String>,
    deadline: Option<Moment>,
    span: Span,
}

impl CallerHeaders {
    fn with(self, req: Request) -> CallerRequest {
        CallerRequest {
            req,
            team: self.team,
            key: self.key,
            deadline: self.deadline,
            span: self.span,
        }
    }
}

fn caller_request(cx: &HttpContext, req: &Request) -> Result<CallerHeaders, ApiError> {
    let team = match principal(cx, req)? {
        Principal::Team(team) => team.clone(),
        Principal::Operator(_) => {
            let message = "operators' tokens are for /operator only";
            return Err(ApiError::new(403, "forbidden", message));
        }
    };
    let trace = header(req, "traceparent").and_then(|text| TraceContext::try_from(text).ok());
    let trace = trace.unwrap_or_else(TraceContext::fresh);
    Ok(CallerHeaders {
        team,
        key: key_of(req)?,
        deadline: deadline_of(req)?,
        span: Span::begin(trace, "caller", cx.now()),
    })
}

fn key_of(req: &Request) -> Result<Option<String>, ApiError> {
    let Some(key) = header(req, "Idempotency-Key") else {
        return Ok(None);
    };
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable || key.contains('/') {
        let message = format!("Idempotency-Key: 1 to {MAX_KEY_BYTES} visible characters, no '/'");
        return Err(ApiError::new(400, "bad_key", message));
    }
    Ok(Some(key.to_owned()))
}

fn deadline_of(req: &Request) -> Result<Option<Moment>, ApiError> {
    header(req, "Bluebellreel-Deadline")
        .map(|text| {
            Moment::from_rfc3339(text).map_err(|reason| {
                let message = format!("Bluebellreel-Deadline: {reason}");
                ApiError::new(400, "bad_deadline", message)
            })
        })
        .transpose()
}
