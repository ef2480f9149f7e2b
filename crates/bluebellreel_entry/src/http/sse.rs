//! Chat answers in the usual form of completions APIs, whole and streamed.

use bluebellreel_types::{ModelName, RequestId};
use serde_json::{Value, json};

fn id_of(id: RequestId) -> String {
    format!("chatcmpl-{id}")
}

/// One event of a streamed answer.
pub(crate) fn text_event(id: RequestId, model: &ModelName, text: &str) -> String {
    let delta = json!({ "role": "assistant", "content": text });
    event(&chunk(id, model, &delta, &Value::Null))
}

/// The last events of a whole streamed answer.
pub(crate) fn end_events(id: RequestId, model: &ModelName) -> String {
    let last = chunk(id, model, &json!({}), &json!("stop"));
    format!("{}data: [DONE]\n\n", event(&last))
}

/// The event of an answer that broke off for good.
pub(crate) fn error_event(body: &[u8]) -> String {
    format!("data: {}\n\n", String::from_utf8_lossy(body))
}

fn event(value: &Value) -> String {
    format!("data: {value}\n\n")
}

fn chunk(id: RequestId, model: &ModelName, delta: &Value, finish: &Value) -> Value {
    json!({
        "id": id_of(id),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    })
}

/// A whole answer.
pub(crate) fn completion(id: RequestId, model: &ModelName, text: &str, tokens: u32) -> Value {
    json!({
        "id": id_of(id),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": { "completion_tokens": tokens },
    })
}
