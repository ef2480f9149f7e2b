//! Results of items, and the segments that they are recorded in.

use crate::RecordError;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// Its output is whole.
    Completed,
    /// It was given up.
    Dead,
}

/// One result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: Arc<str>,
    /// How it ended.
    pub state: ResultState,
    /// The data of all its events, joined by line feeds.
    pub text: Arc<str>,
}

/// A segment as it is stored.
///
/// # Panics
///
/// Never: results hold nothing that JSON cannot.
#[must_use]
pub fn encode_segment(results: &[ItemResult]) -> Vec<u8> {
    serde_json::to_vec(results).expect("results are plain data")
}

/// Reads a segment.
///
/// # Errors
///
/// Gives the reason when the bytes are no segment.
pub fn decode_segment(bytes: &[u8]) -> Result<Vec<ItemResult>, RecordError> {
    Ok(serde_json::from_slice(bytes)?)
}
