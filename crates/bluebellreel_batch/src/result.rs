//! Results of items and the segments that record them.

use crate::RecordError;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultState {
    /// The output is complete.
    Completed,
    /// The item was given up.
    Dead,
}

/// One result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: Arc<str>,
    /// How it ended.
    pub state: ResultState,
    /// The data of all its events, joined by line feeds.
    pub text: Arc<str>,
}

/// Encodes a segment for the store.
///
/// # Panics
///
/// Never: results always serialize to JSON.
#[must_use]
pub fn encode_segment(results: &[ItemResult]) -> Vec<u8> {
    serde_json::to_vec(results).expect("results are plain data")
}

/// Decodes a stored segment.
///
/// # Errors
///
/// Returns the parse error if the bytes are not a segment.
pub fn decode_segment(bytes: &[u8]) -> Result<Vec<ItemResult>, RecordError> {
    Ok(serde_json::from_slice(bytes)?)
}
