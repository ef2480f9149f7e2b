//! Chat answers in the usual format of completions APIs, complete and as
//! server-sent events.

use bluebellreel_types::{ModelName, RequestId};
use serde_json::{Value, json};

fn id_of(id: RequestId) -> String {
    format!("chatcmpl-{id}")
}

/// An event with a piece of a streamed answer's text.
pub(crate) fn text_event(id: RequestId, model: &ModelName, text: &str) -> String {
    let delta = json!({ "role": "assistant", "content": text });
    event(&chunk(id, model, &delta, &Value::Null))
}

/// The final events of a completed streamed answer.
pub(crate) fn end_events(id: RequestId, model: &ModelName) -> String {
    let last = chunk(id, model, &json!({}), &json!("stop"));
    format!("{}data: [DONE]\n\n", event(&last))
}

/// The event of a streamed answer that failed.
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

/// A complete answer that is not streamed.
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
