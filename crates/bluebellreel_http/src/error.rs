//! Error responses to callers.

use bluebellreel_types::Ran;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// How long to wait before a retry, if a retry may help.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    code: &'a str,
    message: &'a str,
    ran: Ran,
}

impl ApiError {
    /// Creates an error for a request that did not run.
    #[must_use]
    pub fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(self, ran: Ran) -> Self {
        Self { ran, ..self }
    }

    /// Sets how long to wait before a retry.
    #[must_use]
    pub fn retry_after(self, span: Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// The JSON body of the response.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let body = Body {
            error: Inner {
                code: self.code,
                message: &self.message,
                ran: self.ran,
            },
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.status, self.code, self.message)
    }
}
