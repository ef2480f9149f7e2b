//! Whole answers.

use crate::ApiError;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tiny_http::{Header, Request, Response};

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
pub fn respond(req: Request, reply: &Reply) {
    let mut response = Response::from_data(reply.body.to_vec()).with_status_code(reply.status);
    response.add_header(plain_header("Content-Type", reply.kind));
    if let Some(tag) = &reply.tag {
        response.add_header(plain_header("ETag", &format!("\"{tag}\"")));
    }
    if let Some(span) = reply.retry_after {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        response.add_header(plain_header("Retry-After", &seconds.to_string()));
    }
    req.respond(response).ok();
}

fn plain_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values here are plain ASCII")
}
