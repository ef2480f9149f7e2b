//! Validated bodies of chat completion requests.

use crate::{ModelName, TeamName, Work, WorkKind};
use serde::Deserialize;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Number of tokens to generate if the caller does not specify any.
pub const DEFAULT_TOKENS: u32 = 16;
/// Maximum number of tokens that a caller may request.
pub const MAX_TOKENS: u32 = 8_192;
/// Number of bytes of the first message that are hashed into the prefix.
const PREFIX_BYTES: usize = 256;

/// The fields of a chat completion that bluebellreel reads. All others are passed
/// through to the engine.
#[derive(Clone, Debug, Deserialize)]
struct RawChat {
    model: String,
    messages: Vec<RawMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct RawMessage {
    content: String,
}

/// The validated body of a chat completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatBody {
    /// The requested model.
    pub model: ModelName,
    /// Maximum number of tokens to generate.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Whether the caller asked for a streamed response.
    pub stream: bool,
    /// The body as received.
    pub body: Arc<[u8]>,
}

impl TryFrom<&[u8]> for ChatBody {
    type Error = String;

    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        let raw: RawChat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let Some(first) = raw.messages.first() else {
            return Err("messages: at least one is needed".into());
        };
        if raw.model.is_empty() {
            return Err("model: must not be empty".into());
        }
        let tokens = raw.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if tokens == 0 || tokens > MAX_TOKENS {
            return Err(format!("max_tokens: must be 1 to {MAX_TOKENS}"));
        }
        let text = first.content.as_bytes();
        let mut hasher = DefaultHasher::new();
        raw.model.hash(&mut hasher);
        text[..text.len().min(PREFIX_BYTES)].hash(&mut hasher);
        Ok(Self {
            model: ModelName::from(raw.model),
            tokens,
            prefix: hasher.finish(),
            stream: raw.stream,
            body: Arc::from(body),
        })
    }
}

impl ChatBody {
    /// Converts the body into a unit of work. With an idempotency key the work runs
    /// at most once; without one it may safely be repeated.
    #[must_use]
    pub fn into_work(self, team: TeamName, key: Option<&str>) -> Work {
        Work {
            kind: WorkKind::Chat,
            model: self.model,
            body: self.body,
            tokens: self.tokens,
            prefix: self.prefix,
            repeatable: key.is_none(),
            key: Arc::from(key.unwrap_or("")),
            team,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_bodies_are_refused_with_the_field() {
        let empty = br#"{"model":"m","messages":[]}"#;
        assert!(ChatBody::try_from(&empty[..]).is_err_and(|e| e.contains("messages")));
        let many = br#"{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9999}"#;
        assert!(ChatBody::try_from(&many[..]).is_err_and(|e| e.contains("max_tokens")));
    }

    #[test]
    fn same_start_gives_the_same_prefix() {
        let body = |tail: &str| {
            let text = format!("{}{tail}", "a".repeat(PREFIX_BYTES));
            format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{text}"}}]}}"#)
        };
        let one = ChatBody::try_from(body("x").as_bytes()).expect("valid");
        let other = ChatBody::try_from(body("y").as_bytes()).expect("valid");
        assert_eq!(one.prefix, other.prefix);
    }
}
