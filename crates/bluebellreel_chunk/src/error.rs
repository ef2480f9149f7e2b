//! Why a disk did not do what it was asked.

use std::fmt;
use std::io;

/// Why a chunk could not be kept or read.
#[derive(Debug)]
pub enum StoreError {
    /// The disk, or its share for chunks, is full.
    Full,
    /// The volume is being moved, or was moved: the writer's view is old.
    Moved,
    /// A name that is none.
    InvalidName,
    /// The system's error.
    Io(io::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("the disk is full"),
            Self::Moved => f.write_str("the volume is being moved"),
            Self::InvalidName => f.write_str("not a chunk's name"),
            Self::Io(e) => write!(f, "the disk failed: {e}"),
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
