//! Stored form of a job's input.

use crate::RecordError;
use crate::tokens::bounded_item_tokens;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewItem {
    /// Id of the item and of its request at a worker.
    pub id: Arc<str>,
    /// Path of its request.
    pub path: Arc<str>,
    /// Headers of its request.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body of its request.
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of generated tokens.
    pub tokens: u64,
}

#[derive(Serialize, Deserialize)]
struct StoredItem {
    id: Arc<str>,
    path: Arc<str>,
    headers: Vec<(Arc<str>, Arc<str>)>,
    body: String,
    tokens: u64,
}

/// Splits a job's items into chunks whose stored form is at most `bytes` long. A single
/// item that is larger gets a chunk of its own.
#[must_use]
pub fn split_input(items: &[NewItem], bytes: usize) -> Vec<&[NewItem]> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut size = 0;
    for (at, item) in items.iter().enumerate() {
        let one = stored_size(item);
        if at > start && size + one > bytes {
            chunks.push(&items[start..at]);
            start = at;
            size = 0;
        }
        size += one;
    }
    chunks.push(&items[start..]);
    chunks
}

/// Upper bound of an item's JSON overhead, apart from its strings.
const ITEM_FRAME: usize = 96;

fn stored_size(item: &NewItem) -> usize {
    let headers: usize = item
        .headers
        .iter()
        .map(|(n, v)| n.len() + v.len() + 6)
        .sum();
    ITEM_FRAME + item.id.len() + item.path.len() + headers + item.body.len().div_ceil(3) * 4
}

/// Encodes items for the store.
///
/// # Panics
///
/// Never: items always serialize to JSON.
#[must_use]
pub fn encode_items(items: &[NewItem]) -> Vec<u8> {
    let stored: Vec<StoredItem> = items
        .iter()
        .map(|item| StoredItem {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: STANDARD.encode(&item.body),
            tokens: item.tokens,
        })
        .collect();
    serde_json::to_vec(&stored).expect("items are plain data")
}

/// Decodes stored items.
///
/// # Errors
///
/// Returns the parse error if the bytes are not a stored list of items.
pub fn decode_items(bytes: &[u8]) -> Result<Vec<NewItem>, RecordError> {
    let stored: Vec<StoredItem> = serde_json::from_slice(bytes)?;
    stored
        .into_iter()
        .map(|item| {
            let body = STANDARD
                .decode(&item.body)
                .map_err(|e| serde::de::Error::custom(e.to_string()));
            Ok(NewItem {
                id: item.id,
                path: item.path,
                headers: item.headers,
                body: Bytes::from(body.map_err(|e: serde_json::Error| RecordError::from(e))?),
                tokens: bounded_item_tokens(item.tokens),
            })
        })
        .collect()
}
