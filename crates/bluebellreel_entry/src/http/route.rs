//! From a request to its handler.

use crate::data;
use crate::http::rim::{CallerRequest, Rim, answer, principal};
use crate::http::{batches, chat, operator, requests, services};
use bluebellreel_http::{ApiError, Method, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_telemetry::Span;
use bluebellreel_types::{Moment, TeamName, TraceContext};

/// Longest idempotency key, in bytes.
const LONGEST_KEY: usize = 255;

/// Serves one request.
pub(crate) fn handle(rim: &Rim, req: Request) {
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match path {
        "/healthz" => respond(req, &Reply::bytes(200, "text/plain", *b"ok\n")),
        "/readyz" => respond(req, &readiness(rim)),
        "/metrics" => {
            let counts = rim.parts.kv.counts();
            let total = i64::try_from(counts.writes + counts.reads).unwrap_or(i64::MAX);
            rim.parts.metrics.kv_calls.set(total);
            let failures = i64::try_from(counts.failures).unwrap_or(i64::MAX);
            rim.parts.metrics.kv_failures.set(failures);
            let text = rim.parts.metrics.text().into_bytes();
            respond(req, &Reply::bytes(200, "text/plain; version=0.0.4", text));
        }
        _ if path.starts_with(data::PATH_PREFIX) => {
            let mut req = req;
            let rest = &path[data::PATH_PREFIX.len()..];
            let reply = data::handle(&rim.parts.data, &mut req, rest);
            respond(req, &reply);
        }
        _ if path == "/operator" || path.starts_with("/operator/") => {
            operator::handle(rim, req, path, query);
        }
        _ => handle_caller(rim, req, path, query),
    }
}

fn readiness(rim: &Rim) -> Reply {
    if rim.parts.readiness.is_ready() {
        Reply::bytes(200, "text/plain", *b"ready\n")
    } else {
        ApiError::new(503, "not_ready", "starting or stopping").into()
    }
}

fn handle_caller(rim: &Rim, req: Request, path: &str, query: &str) {
    let call = match caller_request(rim, &req) {
        Ok(known) => known.with(req),
        Err(e) => return respond(req, &e.into()),
    };
    let method = call.req.method().clone();
    match (&method, path) {
        (Method::Post, "/v1/chat/completions") => chat::complete(rim, call),
        (Method::Get, "/v1/models") => answer(rim, call, |_| Ok(chat::models(rim))),
        (Method::Post, "/v1/batches") => answer(rim, call, |call| batches::submit(rim, call)),
        _ => match path.strip_prefix("/v1/batches/") {
            Some(rest) => batches::handle(rim, call, rest, query),
            None => handle_named(rim, call, path, query),
        },
    }
}

fn handle_named(rim: &Rim, call: CallerRequest, path: &str, query: &str) {
    if let Some(key) = path.strip_prefix("/v1/requests/") {
        let key = key.to_owned();
        answer(rim, call, |call| requests::show(rim, &call.team, &key));
    } else if let Some(rest) = path.strip_prefix("/services/") {
        services::call(rim, call, rest, query);
    } else {
        answer(rim, call, |_| {
            Err(ApiError::new(404, "not_found", "no such path"))
        });
    }
}

struct KnownCaller {
    team: TeamName,
    key: Option<String>,
    deadline: Option<Moment>,
    span: Span,
}

impl KnownCaller {
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

fn caller_request(rim: &Rim, req: &Request) -> Result<KnownCaller, ApiError> {
    let team = match principal(rim, req)? {
        Principal::Team(team) => team.clone(),
        Principal::Operator(_) => {
            let message = "operators' tokens are for /operator only";
            return Err(ApiError::new(403, "forbidden", message));
        }
    };
    let trace = header(req, "traceparent").and_then(|text| TraceContext::try_from(text).ok());
    let trace = trace.unwrap_or_else(TraceContext::fresh);
    Ok(KnownCaller {
        team,
        key: key_of(req)?,
        deadline: deadline_of(req)?,
        span: Span::begin(trace, "caller", rim.now()),
    })
}

fn key_of(req: &Request) -> Result<Option<String>, ApiError> {
    let Some(key) = header(req, "Idempotency-Key") else {
        return Ok(None);
    };
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > LONGEST_KEY || !printable || key.contains('/') {
        let message = format!("Idempotency-Key: 1 to {LONGEST_KEY} visible characters, no '/'");
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
