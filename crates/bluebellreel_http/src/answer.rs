//! Whole answers.

use crate::{ApiError, Request};
use serde::Serialize;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// An answer that is known as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: &'static str,
    /// Body.
    pub body: Arc<[u8]>,
    /// Entity tag, if the answer has one.
    pub tag: Option<String>,
    /// When to ask again.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// A JSON answer.
    #[must_use]
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body)
    }

    /// An answer of any type.
    #[must_use]
    pub fn bytes(status: u16, kind: &'static str, body: impl Into<Arc<[u8]>>) -> Self {
        Self {
            status,
            kind,
            body: body.into(),
            tag: None,
            retry_after: None,
        }
    }

    /// The same answer with an entity tag.
    #[must_use]
    pub fn tagged(self, tag: impl Into<String>) -> Self {
        Self {
            tag: Some(tag.into()),
            ..self
        }
    }
}

impl From<ApiError> for Reply {
    fn from(error: ApiError) -> Self {
        Self {
            retry_after: error.retry_after,
            ..Self::bytes(error.status, "application/json", error.body())
        }
    }
}

/// Sends an answer; a caller that has gone away is no error.
pub fn respond(mut req: Request, reply: &Reply) {
    req.answer(&head_of(reply), &reply.body);
}

/// The status line and the headers that a reply itself knows.
pub(crate) fn head_of(reply: &Reply) -> String {
    let (status, kind) = (reply.status, reply.kind);
    let reason = reason_of(status);
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
    if let Some(tag) = &reply.tag {
        write!(head, "ETag: \"{tag}\"\r\n").ok();
    }
    if let Some(span) = reply.retry_after {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        write!(head, "Retry-After: {seconds}\r\n").ok();
    }
    head
}

/// A status in words, for people who look at the wire.
fn reason_of(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        507 => "Insufficient Storage",
        _ => "",
    }
}
