//! Reading and checking a job's JSONL body.

use bluebellreel_types::{ChatBody, ModelName, TeamName, Work, WorkKind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

/// Path of chat completions in a line's `url`.
const CHAT_URL: &str = "/v1/chat/completions";
/// Start of plain service paths in a line's `url`.
const SERVICES_URL: &str = "/services/";
/// Longest `custom_id`, in bytes.
const LONGEST_CUSTOM_ID: usize = 256;
/// Longest line, in bytes: with its write id it must fit the key-value
/// service's largest value.
const LONGEST_LINE: usize = 512 << 10;
/// Bytes of lines stored together.
const CHUNK_BYTES: usize = 384 << 10;

/// What all items of a job ask: one model or one plain service.
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

/// One line of a job, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputItem {
    /// The caller's name for it, unique in the job.
    pub custom_id: Arc<str>,
    /// What it asks.
    pub kind: WorkKind,
    /// Body to send.
    pub body: Arc<[u8]>,
    /// Tokens to generate at the most; one for a plain call.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// A line that is refused.
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

/// A job's body, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobInput {
    /// What its items ask.
    pub target: JobTarget,
    /// Its items.
    pub items: Vec<InputItem>,
}

impl JobInput {
    /// Reads a whole body of at most `most` lines.
    ///
    /// # Errors
    ///
    /// Gives the first line that is malformed, too long, repeats a `custom_id`
    /// or asks another model than the lines before it.
    pub fn read(body: &[u8], most: usize) -> Result<Self, InputError> {
        let mut reader = InputReader::new(most);
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

/// Some lines of a job that are stored together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputChunk {
    /// Index of its first item.
    pub first: u32,
    /// Items in it.
    pub items: u32,
    /// The lines.
    pub bytes: Vec<u8>,
}

/// Reads a job's body piece by piece, in memory bounded by one chunk and the
/// names of the items.
#[derive(Debug)]
pub struct InputReader {
    most: usize,
    target: Option<JobTarget>,
    seen: HashSet<Arc<str>>,
    rest: Vec<u8>,
    line: usize,
    chunk: InputChunk,
}

impl InputReader {
    /// A reader of at most `most` items.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            target: None,
            seen: HashSet::new(),
            rest: Vec::new(),
            line: 0,
            chunk: InputChunk::starting_at(0),
        }
    }

    /// Items read so far.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunk.first + self.chunk.items
    }

    /// Takes a piece of the body in; gives the chunks that are full.
    ///
    /// # Errors
    ///
    /// Gives the first line that is refused.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<InputChunk>, InputError> {
        let mut full = Vec::new();
        let mut piece = piece;
        while let Some(end) = piece.iter().position(|byte| *byte == b'\n') {
            let mut line = std::mem::take(&mut self.rest);
            line.extend_from_slice(&piece[..end]);
            piece = &piece[end + 1..];
            full.extend(self.take_line(&line)?);
        }
        self.rest.extend_from_slice(piece);
        if self.rest.len() > LONGEST_LINE {
            return Err(self.fail(format!("longer than {LONGEST_LINE} bytes")));
        }
        Ok(full)
    }

    /// Takes the last line in; what the items ask, and the last chunk.
    ///
    /// # Errors
    ///
    /// Gives the line that is refused, or that there was none.
    pub fn finish(&mut self) -> Result<(JobTarget, Option<InputChunk>), InputError> {
        let rest = std::mem::take(&mut self.rest);
        let mut last = self.take_line(&rest)?;
        if last.is_none() && self.chunk.items > 0 {
            let next = InputChunk::starting_at(self.items());
            last = Some(std::mem::replace(&mut self.chunk, next));
        }
        match self.target.clone() {
            Some(target) => Ok((target, last)),
            None => Err(self.fail("no items".into())),
        }
    }

    fn fail(&self, reason: String) -> InputError {
        let line = self.line.max(1);
        InputError { line, reason }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<Option<InputChunk>, InputError> {
        self.line += 1;
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        if line.len() > LONGEST_LINE {
            return Err(self.fail(format!("longer than {LONGEST_LINE} bytes")));
        }
        let (asked, item) = read_line(line).map_err(|reason| self.fail(reason))?;
        if self.target.get_or_insert_with(|| asked.clone()) != &asked {
            return Err(self.fail("all lines must ask the same model or service".into()));
        }
        if self.items() as usize >= self.most {
            return Err(self.fail(format!("more than {} items", self.most)));
        }
        if !self.seen.insert(item.custom_id.clone()) {
            return Err(self.fail(format!("custom_id {} stands twice", item.custom_id)));
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

/// Lines with their numbers, blank ones left out.
pub(crate) fn numbered_lines(body: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    (1..)
        .zip(body.split(|byte| *byte == b'\n'))
        .filter(|(_, line)| !line.trim_ascii().is_empty())
}

/// Reads one line.
pub(crate) fn read_line(text: &[u8]) -> Result<(JobTarget, InputItem), String> {
    let raw: RawLine = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if raw.custom_id.is_empty() || raw.custom_id.len() > LONGEST_CUSTOM_ID {
        return Err(format!("custom_id: must be 1 to {LONGEST_CUSTOM_ID} bytes"));
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

/// The names of the items in some stored lines, in their order.
///
/// # Errors
///
/// Gives the reason when the lines are not the ones that were accepted.
pub fn custom_ids(bytes: &[u8]) -> Result<Vec<Arc<str>>, String> {
    numbered_lines(bytes)
        .map(|(_, line)| Ok(read_line(line)?.1.custom_id))
        .collect()
}

impl InputItem {
    /// The unit of work that the item is. A service call carries a key of its
    /// own, so that the service, too, can tell a repetition.
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
    fn refuses_doubled_ids_mixed_models_and_too_many() {
        let doubled = format!("{}\n{}", line("a", "m"), line("a", "m"));
        assert_eq!(JobInput::read(doubled.as_bytes(), 9).unwrap_err().line, 2);
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
