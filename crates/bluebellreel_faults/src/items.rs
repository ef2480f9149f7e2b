//! The contents of the scenario's jobs and calls.

use crate::world::{DESK, MODEL};
use serde_json::json;

/// Number of items of each job of chat completions.
pub(crate) const NOTES: u32 = 24;
/// Number of the item whose prompt every engine rejects.
pub(crate) const IMPOSSIBLE_NOTE: u32 = 7;
/// Number of tokens that each item generates.
pub(crate) const TOKENS: u32 = 4;
/// Number of items of the bookings job.
pub(crate) const BOOKINGS: u32 = 8;

/// The prompt of a chat item.
pub(crate) fn note_prompt(job: &str, number: u32) -> String {
    if number == IMPOSSIBLE_NOTE {
        format!("impossible {job} {number}")
    } else {
        format!("{job} {number}")
    }
}

pub(crate) fn chat(prompt: &str) -> serde_json::Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": TOKENS,
    })
}

pub(crate) fn notes(job: &str) -> String {
    let line = |number| {
        json!({
            "custom_id": format!("{job}-{number}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat(&note_prompt(job, number)),
        })
        .to_string()
    };
    (0..NOTES).map(line).collect::<Vec<_>>().join("\n")
}

pub(crate) fn bookings() -> String {
    let line = |number: u32| {
        json!({
            "custom_id": format!("harp-{number}"),
            "method": "POST",
            "url": format!("/services/{DESK}/bookings"),
            "body": {},
        })
        .to_string()
    };
    (0..BOOKINGS).map(line).collect::<Vec<_>>().join("\n")
}
