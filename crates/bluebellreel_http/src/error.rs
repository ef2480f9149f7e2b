//! Errors as callers see them.

use bluebellreel_types::Ran;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// An error answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Short code for programs.
    pub code: &'static str,
    /// Sentence for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to ask again, if that may help.
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
    /// An error of a request that did not run.
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

    /// The same error with another answer to "did it run".
    #[must_use]
    pub fn ran(self, ran: Ran) -> Self {
        Self { ran, ..self }
    }

    /// The same error with a time to come back.
    #[must_use]
    pub fn retry_after(self, span: Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// The JSON body.
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
