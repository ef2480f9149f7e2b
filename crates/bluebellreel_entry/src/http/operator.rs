//! The operator API.

use crate::http::changes::{change_manifest, drain, roll_forward, seen_generation, show_manifest};
use crate::http::context::{HttpContext, principal};
use crate::http::outcomes::outcomes;
use crate::http::{batches, page};
use bluebellreel_http::{ApiError, Method, Reply, Request, header, respond};
use bluebellreel_settings::Principal;
use bluebellreel_types::{JobId, WorkerName};

/// Handles `/operator/…`.
pub(crate) fn handle(cx: &HttpContext, mut req: Request, path: &str, query: &str) {
    // The operators' page: browser forms cannot set headers, so the token is in
    // the form's body, and replies are pages.
    if path == "/operator" {
        return page::handle(cx, req, query);
    }
    let reply = allowed(cx, &req)
        .and_then(|()| run(cx, &mut req, path))
        .unwrap_or_else(Reply::from);
    respond(req, &reply);
}

fn allowed(cx: &HttpContext, req: &Request) -> Result<(), ApiError> {
    match principal(cx, req)? {
        Principal::Operator(_) => Ok(()),
        Principal::Team(_) => Err(ApiError::new(403, "forbidden", "for operators only")),
    }
}

fn run(cx: &HttpContext, req: &mut Request, path: &str) -> Result<Reply, ApiError> {
    let method = req.method().clone();
    let path = path.strip_prefix("/operator/v1/").unwrap_or("");
    match (&method, path) {
        (Method::Get, "manifest") => show_manifest(cx),
        (Method::Put, "manifest") => change_manifest(cx, req),
        (Method::Get, "outcomes") => Ok(Reply::json(200, &outcomes(cx)?)),
        (Method::Post, _) => match path.split('/').collect::<Vec<_>>()[..] {
            ["jobs", id, "cancel"] => batches::cancel(cx, &JobId::from(id)),
            ["workers", name, "drain"] => drain(cx, &WorkerName::from(name)),
            ["roll-forward"] => {
                let seen = header(req, "If-Match").is_some();
                let seen = seen.then(|| seen_generation(req)).transpose()?;
                roll_forward(cx, seen)
            }
            _ => Err(ApiError::new(404, "not_found", "no such path")),
        },
        _ => Err(ApiError::new(404, "not_found", "no such path")),
    }
}
