//! Whole answers.

use crate::{ApiError, Request};
use bluebellreel_net::{Body, Broken};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The body of an answer on its way from a handler's thread to the loop.
pub(crate) enum AnswerBody {
    Whole(Bytes),
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl From<AnswerBody> for Body {
    fn from(body: AnswerBody) -> Self {
        match body {
            AnswerBody::Whole(bytes) => Self::full(bytes),
            AnswerBody::Pieces(rx) => Self::stream(futures::stream::unfold(rx, |mut rx| async {
                let piece = rx.recv().await?;
                Some((piece, rx))
            })),
        }
    }
}

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
    let answer = response_of(reply);
    req.answer(answer);
}

/// A reply as the HTTP library takes it.
pub(crate) fn response_of(reply: &Reply) -> Response<AnswerBody> {
    let body = Bytes::copy_from_slice(&reply.body);
    let mut answer = Response::new(AnswerBody::Whole(body));
    let status = StatusCode::from_u16(reply.status);
    *answer.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.kind));
    if let Some(tag) = &reply.tag {
        headers.insert(ETAG, text_header(&format!("\"{tag}\"")));
    }
    if let Some(span) = reply.retry_after {
        let seconds = span.as_millis().div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, text_header(&seconds.to_string()));
    }
    answer
}

fn text_header(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("tags and numbers are plain ASCII")
}
