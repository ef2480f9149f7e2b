//! The two places on disk that a snapshot is written to by turns.
//!
//! A write that a loss of power cuts leaves its place torn; the other one still
//! holds the snapshot before. Which is newer is told by a count, never by the
//! time or name of a file.

use std::fmt;
use twox_hash::XxHash64;

/// First bytes of each, with the version of the format.
const MAGIC: [u8; 8] = *b"bbrsnap1";
/// Bytes before the body: magic, count, length, checksum.
const HEADER: usize = 32;

/// Why a place gives no snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotError {
    /// Nothing was written there, or only a beginning.
    Short,
    /// It is none of ours, or of another version.
    Foreign,
    /// It was cut or damaged.
    Damaged,
}

impl fmt::Display for SlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "too short",
            Self::Foreign => "of another format",
            Self::Damaged => "damaged",
        })
    }
}

impl std::error::Error for SlotError {}

fn checksum(count: u64, body: &[u8]) -> u64 {
    XxHash64::oneshot(count, body)
}

/// What is written to a place: the body with its count and checksum.
#[must_use]
pub fn write_slot(count: u64, body: &[u8]) -> Vec<u8> {
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let mut bytes = Vec::with_capacity(HEADER + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&count.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(count, body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Reads a place: its count and body.
///
/// # Errors
///
/// Tells why there is none.
pub fn read_slot(bytes: &[u8]) -> Result<(u64, &[u8]), SlotError> {
    let (header, rest) = bytes.split_at_checked(HEADER).ok_or(SlotError::Short)?;
    if header[..8] != MAGIC {
        return Err(SlotError::Foreign);
    }
    let number = |at: usize| {
        let mut buf = [0; 8];
        buf.copy_from_slice(&header[at..at + 8]);
        u64::from_le_bytes(buf)
    };
    let (count, length, sum) = (number(8), number(16), number(24));
    // A longer snapshot may have stood there before: what is left of it follows.
    let length = usize::try_from(length).map_err(|_| SlotError::Damaged)?;
    let body = rest.get(..length).ok_or(SlotError::Damaged)?;
    if checksum(count, body) != sum {
        return Err(SlotError::Damaged);
    }
    Ok((count, body))
}

/// The newer of two places, whichever of them can be read: its number, count
/// and body.
#[must_use]
pub fn newest(slots: [&[u8]; 2]) -> Option<(usize, u64, &[u8])> {
    let read = slots.into_iter().enumerate().filter_map(|(at, bytes)| {
        let (count, body) = read_slot(bytes).ok()?;
        Some((at, count, body))
    });
    read.max_by_key(|(_, count, _)| *count)
}
