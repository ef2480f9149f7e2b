//! Errors of the chunk store.

use std::fmt;
use std::io;

/// The reason why a chunk could not be stored or read.
#[derive(Debug)]
pub enum StoreError {
    /// The disk is full, or its chunks have reached their size limit.
    Full,
    /// The volume is being moved or was moved; the writer's record of it is stale.
    Moved,
    /// A name that is not a valid name of a job, an upload or a chunk.
    InvalidName,
    /// An I/O error.
    Io(io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("the disk is full"),
            Self::Moved => f.write_str("the volume is being moved or was moved"),
            Self::InvalidName => f.write_str("invalid name of a job, an upload or a chunk"),
            Self::Io(e) => write!(f, "disk I/O error: {e}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<io::Error> for StoreError {
    fn from(e: io::Error) -> Self {
        if e.kind() == io::ErrorKind::StorageFull {
            Self::Full
        } else {
            Self::Io(e)
        }
    }
}
