//! What a server takes from its callers.

use crate::{Account, AccountLimits};
use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// Limits of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes, separators not counted.
    pub head_bytes: usize,
    /// How long a head may take from its first byte on.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle_time: Duration,
}

impl CallerLimits {
    /// Limits of callers that are parts of the system or its operators' tools.
    #[must_use]
    pub fn internal(idle_time: Duration) -> Self {
        Self {
            head_bytes: 32 * 1024,
            head_time: Duration::from_secs(5),
            idle_time,
        }
    }
}

/// What a server does not take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A head that is too large.
    HeadTooLarge,
    /// A request that there is no room for. None of it has run.
    NoRoom,
    /// An answer that there is no room for. Its request has run.
    Answer,
}

/// The plain answer to what is not taken.
fn plain(refused: Refused) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    match refused {
        Refused::HeadTooLarge => {
            *answer.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        Refused::NoRoom => {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let after = HeaderValue::from_static("1");
            answer.headers_mut().insert(RETRY_AFTER, after);
        }
        Refused::Answer => *answer.status_mut() = StatusCode::BAD_GATEWAY,
    }
    answer
}

type Refuses = Box<dyn Fn() -> Pin<Box<dyn Future<Output = bool>>>>;

/// What a server takes, and on which account.
pub struct Intake {
    pub(crate) account: Account,
    pub(crate) limits: Box<dyn Fn() -> CallerLimits>,
    pub(crate) admits: Box<dyn Fn() -> bool>,
    pub(crate) refuses: Refuses,
    /// The answer to what is not taken; the connection closes after it.
    pub(crate) answer: Box<dyn Fn(Refused) -> Response<Bytes>>,
}

impl Intake {
    /// Takes what fits the account and the limits in force.
    pub fn new(account: Account, limits: impl Fn() -> CallerLimits + 'static) -> Self {
        Self {
            account,
            limits: Box::new(limits),
            admits: Box::new(|| true),
            refuses: Box::new(|| Box::pin(async { true })),
            answer: Box::new(plain),
        }
    }

    /// Takes what comes, without an account.
    #[must_use]
    pub fn unlimited(idle_time: Duration) -> Self {
        let account = Account::new(AccountLimits::NONE);
        Self::new(account, move || CallerLimits::internal(idle_time))
    }

    /// Closes connections unread while `admits` returns false, so that their callers may try
    /// another server.
    #[must_use]
    pub fn admitting(self, admits: impl Fn() -> bool + 'static) -> Self {
        Self {
            admits: Box::new(admits),
            ..self
        }
    }

    /// Answers what is not taken with `answer`.
    #[must_use]
    pub fn answering(self, answer: impl Fn(Refused) -> Response<Bytes> + 'static) -> Self {
        Self {
            answer: Box::new(answer),
            ..self
        }
    }

    /// Refuses a head that is too large only if `refuses` yields true; otherwise closes its
    /// connection unread.
    #[must_use]
    pub fn refusing<F>(self, refuses: impl Fn() -> F + 'static) -> Self
    where
        F: Future<Output = bool> + 'static,
    {
        Self {
            refuses: Box::new(move || Box::pin(refuses())),
            ..self
        }
    }
}
