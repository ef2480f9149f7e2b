//! Errors of calls to the key-value service.

use std::fmt;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvError {
    /// It was not sent, or was refused before it took effect.
    NotDone(String),
    /// It may have taken effect.
    Unknown(String),
    /// The service refused it permanently, as malformed or too large.
    Refused(String),
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(reason) => write!(f, "not done: {reason}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
        }
    }
}

impl std::error::Error for KvError {}
