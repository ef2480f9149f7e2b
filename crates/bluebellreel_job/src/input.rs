//! Parsing and validation of a job's JSONL body.

use bluebellreel_types::{ChatBody, ModelName, TeamName, Work, WorkKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

/// The `url` of a line for chat completions.
const CHAT_URL: &str = "/v1/chat/completions";
/// Prefix of the `url` of a line for a plain service.
const SERVICES_URL: &str = "/services/";
/// Maximum length of a `custom_id`.
const MAX_CUSTOM_ID_BYTES: usize = 256;
/// Maximum length of a line. Together with its write id, a line must fit into the
/// largest value that the key-value service accepts.
const MAX_LINE_BYTES: usize = 512 << 10;
/// Size of a chunk of lines stored together; exceeded only by a chunk of a single
/// line.
const CHUNK_BYTES: usize = 384 << 10;

/// The target of all items of a job: one model or one plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobTarget {
    /// Chat completions of a model.
    Chat(ModelName),
    /// Calls to a plain service.
    Service(ModelName),
}

impl JobTarget {
    /// The model's or service's name.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Chat(model) | Self::Service(model) => model,
        }
    }
}

#[derive(Deserialize)]
struct RawLine<'a> {
    custom_id: &'a str,
    method: &'a str,
    url: &'a str,
    #[serde(borrow)]
    body: &'a RawValue,
}

/// One validated line of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputItem {
    /// The caller's id for the item, unique in the job.
    pub custom_id: Arc<str>,
    /// The kind of request.
    pub kind: WorkKind,
    /// The request body to send.
    pub body: Arc<[u8]>,
    /// Maximum number of tokens to generate; one for a call to a plain service.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// A line that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputError {
    /// The line's number, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// A validated job body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobInput {
    /// The model or service that its items call.
    pub target: JobTarget,
    /// The items, in order.
    pub items: Vec<InputItem>,
}

impl JobInput {
    /// Parses a whole body of at most `max_items` items.
    ///
    /// # Errors
    ///
    /// Returns the first line that is malformed or too long, repeats a
    /// `custom_id`, names another model or service than the lines before it, or
    /// exceeds the number of items.
    pub fn read(body: &[u8], max_items: usize) -> Result<Self, InputError> {
        let mut reader = InputReader::new(max_items);
        let mut chunks = reader.push(body)?;
        let (target, last) = reader.finish()?;
        chunks.extend(last);
        let lines = chunks.iter().flat_map(|chunk| numbered_lines(&chunk.bytes));
        let items = lines.filter_map(|(_, line)| Some(read_line(line).ok()?.1));
        Ok(Self {
            target,
            items: items.collect(),
        })
    }
}

/// Consecutive lines of a job that are stored together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputChunk {
    /// Index of its first item.
    pub first: u32,
    /// Number of items in the chunk.
    pub items: u32,
    /// The lines.
    pub bytes: Vec<u8>,
}

/// Parses a job's body incrementally. Memory use is bounded by one chunk, one
/// line and the `custom_id`s of the items.
#[derive(Debug)]
pub struct InputReader {
    max_items: usize,
    target: Option<JobTarget>,
    custom_ids_seen: HashSet<Arc<str>>,
    partial_line: Vec<u8>,
    line: usize,
    chunk: InputChunk,
}

impl InputReader {
    /// A reader of at most `max_items` items.
    #[must_use]
    pub fn new(max_items: usize) -> Self {
        Self {
            max_items,
            target: None,
            custom_ids_seen: HashSet::new(),
            partial_line: Vec::new(),
            line: 0,
            chunk: InputChunk::starting_at(0),
        }
    }

    /// Number of items read so far.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunk.first + self.chunk.items
    }

    /// Parses the next piece of the body and returns the chunks that are now full.
    ///
    /// # Errors
    ///
    /// Returns the first line that is refused.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<InputChunk>, InputError> {
        let mut full = Vec::new();
        let mut piece = piece;
        while let Some(end) = piece.iter().position(|byte| *byte == b'\n') {
            let mut line = std::mem::take(&mut self.partial_line);
            line.extend_from_slice(&piece[..end]);
            piece = &piece[end + 1..];
            full.extend(self.push_line(&line)?);
        }
        self.partial_line.extend_from_slice(piece);
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(self.refusal(format!("longer than {MAX_LINE_BYTES} bytes")));
        }
        Ok(full)
    }

    /// Parses the last line and returns the target of the items and the last chunk.
    ///
    /// # Errors
    ///
    /// Fails if the last line is refused or the body contains no items.
    pub fn finish(&mut self) -> Result<(JobTarget, Option<InputChunk>), InputError> {
        let partial_line = std::mem::take(&mut self.partial_line);
        let mut last = self.push_line(&partial_line)?;
        if last.is_none() && self.chunk.items > 0 {
            let next = InputChunk::starting_at(self.items());
            last = Some(std::mem::replace(&mut self.chunk, next));
        }
        match self.target.clone() {
            Some(target) => Ok((target, last)),
            None => Err(self.refusal("no items".into())),
        }
    }

    fn refusal(&self, reason: String) -> InputError {
        let line = self.line.max(1);
        InputError { line, reason }
    }

    fn push_line(&mut self, line: &[u8]) -> Result<Option<InputChunk>, InputError> {
        self.line += 1;
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(self.refusal(format!("longer than {MAX_LINE_BYTES} bytes")));
        }
        let (line_target, item) = read_line(line).map_err(|reason| self.refusal(reason))?;
        if self.target.get_or_insert_with(|| line_target.clone()) != &line_target {
            return Err(self.refusal("all lines must name the same model or service".into()));
        }
        if self.items() as usize >= self.max_items {
            return Err(self.refusal(format!("more than {} items", self.max_items)));
        }
        if !self.custom_ids_seen.insert(item.custom_id.clone()) {
            return Err(self.refusal(format!("duplicate custom_id {}", item.custom_id)));
        }
        let mut full = None;
        if self.chunk.items > 0 && self.chunk.bytes.len() + line.len() > CHUNK_BYTES {
            let next = InputChunk::starting_at(self.items());
            full = Some(std::mem::replace(&mut self.chunk, next));
        }
        self.chunk.bytes.extend_from_slice(line);
        self.chunk.bytes.push(b'\n');
        self.chunk.items += 1;
        Ok(full)
    }
}

impl InputChunk {
    fn starting_at(first: u32) -> Self {
        Self {
            first,
            items: 0,
            bytes: Vec::new(),
        }
    }
}

/// The lines that are not blank, with their numbers from 1.
pub(crate) fn numbered_lines(body: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    (1..)
        .zip(body.split(|byte| *byte == b'\n'))
        .filter(|(_, line)| !line.trim_ascii().is_empty())
}

/// Parses one line.
pub(crate) fn read_line(text: &[u8]) -> Result<(JobTarget, InputItem), String> {
    let raw: RawLine = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if raw.custom_id.is_empty() || raw.custom_id.len() > MAX_CUSTOM_ID_BYTES {
        return Err(format!(
            "custom_id: must be 1 to {MAX_CUSTOM_ID_BYTES} bytes"
        ));
    }
    let custom_id = Arc::from(raw.custom_id);
    let body = raw.body.get().as_bytes();
    if raw.url == CHAT_URL {
        if raw.method != "POST" {
            return Err("method: chat completions are POST".into());
        }
        let chat = ChatBody::try_from(body)?;
        let item = InputItem {
            custom_id,
            kind: WorkKind::Chat,
            body: chat.body,
            tokens: chat.tokens,
            prefix: chat.prefix,
        };
        return Ok((JobTarget::Chat(chat.model), item));
    }
    let Some((service, path)) = raw
        .url
        .strip_prefix(SERVICES_URL)
        .and_then(|rest| rest.split_once('/'))
    else {
        return Err(format!("url: must be {CHAT_URL} or {SERVICES_URL}NAME/…"));
    };
    let item = InputItem {
        custom_id,
        kind: WorkKind::Call {
            method: Arc::from(raw.method),
            path: Arc::from(format!("/{path}")),
        },
        body: Arc::from(body),
        tokens: 1,
        prefix: 0,
    };
    Ok((JobTarget::Service(ModelName::from(service)), item))
}

/// The `custom_id`s of the items in a stored chunk, in order.
///
/// # Errors
///
/// Returns the reason if a line cannot be parsed, which means that the bytes are
/// not those that were accepted.
pub fn custom_ids(bytes: &[u8]) -> Result<Vec<Arc<str>>, String> {
    numbered_lines(bytes)
        .map(|(_, line)| Ok(read_line(line)?.1.custom_id))
        .collect()
}

impl InputItem {
    /// The request to send for the item. A service call carries its own idempotency
    /// key, so that the service can detect a repetition as well.
    #[must_use]
    pub fn work(&self, target: &JobTarget, team: &TeamName, key: &str, repeatable: bool) -> Work {
        Work {
            kind: self.kind.clone(),
            model: target.model().clone(),
            body: self.body.clone(),
            tokens: self.tokens,
            prefix: self.prefix,
            repeatable,
            key: Arc::from(key),
            team: team.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, model: &str) -> String {
        format!(
            r#"{{"custom_id":"{id}","method":"POST","url":"/v1/chat/completions","body":{{"model":"{model}","messages":[{{"role":"user","content":"x"}}]}}}}"#
        )
    }

    #[test]
    fn refuses_duplicate_ids_mixed_models_and_too_many_items() {
        let duplicated = format!("{}\n{}", line("a", "m"), line("a", "m"));
        assert_eq!(
            JobInput::read(duplicated.as_bytes(), 9).unwrap_err().line,
            2
        );
        let mixed = format!("{}\n\n{}", line("a", "m"), line("b", "n"));
        assert_eq!(JobInput::read(mixed.as_bytes(), 9).unwrap_err().line, 3);
        let many = format!("{}\n{}", line("a", "m"), line("b", "m"));
        assert!(JobInput::read(many.as_bytes(), 1).is_err());
        assert!(JobInput::read(b"\n\n", 1).is_err());
    }

    #[test]
    fn service_lines_keep_their_path() {
        let text =
            br#"{"custom_id":"a","method":"POST","url":"/services/desk/bookings?x=1","body":{}}"#;
        let input = JobInput::read(text, 1).expect("valid");
        assert_eq!(input.target, JobTarget::Service("desk".into()));
        let WorkKind::Call { path, .. } = &input.items[0].kind else {
            panic!("a call");
        };
        assert_eq!(&**path, "/bookings?x=1");
    }
}
