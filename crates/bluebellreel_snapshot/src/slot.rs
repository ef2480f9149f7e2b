//! The two slots on disk that a snapshot is written to alternately.
//!
//! A power loss during a write leaves that slot torn, while the other slot still holds
//! the previous snapshot. The newer slot is found by a sequence number, never by the
//! time or name of a file.

use std::fmt;
use twox_hash::XxHash64;

/// First bytes of each slot, including the version of the format.
const MAGIC: [u8; 8] = *b"bbrsnap1";
/// Bytes before the body: magic, sequence number, length, checksum.
const HEADER_BYTES: usize = 32;

/// Why a slot cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotError {
    /// The slot is empty, or shorter than its header.
    TooShort,
    /// The slot has another format or another version of it.
    UnknownFormat,
    /// The body is truncated or its checksum does not match.
    Damaged,
}

impl fmt::Display for SlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooShort => "shorter than a slot header",
            Self::UnknownFormat => "unknown slot format or version",
            Self::Damaged => "body truncated or checksum mismatch",
        })
    }
}

impl std::error::Error for SlotError {}

fn checksum(sequence: u64, body: &[u8]) -> u64 {
    XxHash64::oneshot(sequence, body)
}

/// Encodes a slot: the body with its sequence number and checksum.
#[must_use]
pub fn write_slot(sequence: u64, body: &[u8]) -> Vec<u8> {
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(sequence, body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Reads the sequence number and the body of a slot.
///
/// # Errors
///
/// Returns why the slot cannot be read.
pub fn read_slot(bytes: &[u8]) -> Result<(u64, &[u8]), SlotError> {
    let (header, rest) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(SlotError::TooShort)?;
    if header[..8] != MAGIC {
        return Err(SlotError::UnknownFormat);
    }
    let number = |at: usize| {
        let mut buf = [0; 8];
        buf.copy_from_slice(&header[at..at + 8]);
        u64::from_le_bytes(buf)
    };
    let (sequence, length, sum) = (number(8), number(16), number(24));
    // The body may be followed by the rest of a longer snapshot that was written to
    // this slot before.
    let length = usize::try_from(length).map_err(|_| SlotError::Damaged)?;
    let body = rest.get(..length).ok_or(SlotError::Damaged)?;
    if checksum(sequence, body) != sum {
        return Err(SlotError::Damaged);
    }
    Ok((sequence, body))
}

/// The newer of the slots that can be read: its index, sequence number and body.
#[must_use]
pub fn newest(slots: [&[u8]; 2]) -> Option<(usize, u64, &[u8])> {
    let read = slots.into_iter().enumerate().filter_map(|(at, bytes)| {
        let (sequence, body) = read_slot(bytes).ok()?;
        Some((at, sequence, body))
    });
    read.max_by_key(|(_, sequence, _)| *sequence)
}

/// The sequence numbers and bodies of consecutive slots, up to the first one that cannot be
/// read.
pub fn read_slots(mut bytes: &[u8]) -> impl Iterator<Item = (u64, &[u8])> {
    std::iter::from_fn(move || {
        let (sequence, body) = read_slot(bytes).ok()?;
        bytes = &bytes[slot_bytes(body)..];
        Some((sequence, body))
    })
}

/// Size of the slot that holds a body, in bytes.
#[must_use]
pub fn slot_bytes(body: &[u8]) -> usize {
    HEADER_BYTES + body.len()
}
