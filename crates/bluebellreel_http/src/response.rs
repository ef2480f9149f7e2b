//! Responses whose body is known in full.

use crate::{ApiError, Request};
use bluebellreel_net::{Body, Broken};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A response body, passed from a handler's thread to the event loop.
pub(crate) enum ResponseBody {
    Full(Bytes),
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl From<ResponseBody> for Body {
    fn from(body: ResponseBody) -> Self {
        match body {
            ResponseBody::Full(bytes) => Self::full(bytes),
            ResponseBody::Stream(rx) => Self::stream(futures::stream::unfold(rx, |mut rx| async {
                let chunk = rx.recv().await?;
                Some((chunk, rx))
            })),
        }
    }
}

/// A response whose body is known in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Body.
    pub body: Arc<[u8]>,
    /// Entity tag without its quotes, if the response has one.
    pub tag: Option<String>,
    /// How long the caller waits before a retry.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// Creates a JSON response.
    #[must_use]
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body)
    }

    /// Creates a response with any content type.
    #[must_use]
    pub fn bytes(status: u16, content_type: &'static str, body: impl Into<Arc<[u8]>>) -> Self {
        Self {
            status,
            content_type,
            body: body.into(),
            tag: None,
            retry_after: None,
        }
    }

    /// Adds an entity tag.
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

/// Sends a response. It is not an error if the caller has disconnected.
pub fn respond(req: Request, reply: &Reply) {
    let response = response_of(reply);
    req.send_response(response);
}

/// Converts a reply to the HTTP library's response type.
pub(crate) fn response_of(reply: &Reply) -> Response<ResponseBody> {
    let body = Bytes::copy_from_slice(&reply.body);
    let mut response = Response::new(ResponseBody::Full(body));
    let status = StatusCode::from_u16(reply.status);
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(tag) = &reply.tag {
        headers.insert(ETAG, text_header(&format!("\"{tag}\"")));
    }
    if let Some(span) = reply.retry_after {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, text_header(&seconds.to_string()));
    }
    response
}

fn text_header(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("tags and numbers are plain ASCII")
}
