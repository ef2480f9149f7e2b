//! The story of one request, job or item, from the logs of several processes.
//!
//! Log lines are JSON. The story is every line that names the id, in time
//! order; with it comes what the same processes learned shortly before and
//! meanwhile: workers that came or went, the store lost or regained, the
//! configuration, stops.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::{Duration, SystemTime};

/// How long before the first line of a story its surroundings begin. A worker
/// that left or a store that was lost shows in requests within seconds.
const BEFORE: Duration = Duration::from_secs(5);
/// The same after its last line.
const AFTER: Duration = Duration::from_secs(1);
/// A log that goes on for so long after a request's last line does not end with
/// it: callers wait for five seconds.
const STILL_THERE: Duration = Duration::from_secs(5);
/// Events that tell what a process believes, apart from any request.
const SURROUNDINGS: [&str; 16] = [
    "started",
    "stopping",
    "stop goes on",
    "stopped",
    "configuration in force",
    "worker listed",
    "worker gone",
    "worker no longer listed",
    "workers read",
    "store lost",
    "store regained",
    "peer discovered",
    "own entry has vanished, registering again",
    "lease has ended",
    "facts taken over",
    "lines dropped",
];

/// Events after which nothing more comes of a request.
const ENDS: [&str; 8] = [
    "served",
    "answered",
    "given up",
    "broken off",
    "caller left",
    "cut by the stop",
    "no route",
    "item run ended",
];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Where it comes from: the log's name.
    pub source: String,
    /// When it was written.
    pub at: SystemTime,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; text before the JSON is passed over, and lines without
    /// any are none.
    #[must_use]
    pub fn read(source: &str, line: &str) -> Option<Self> {
        let json = &line[line.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
            return None;
        };
        let at = humantime::parse_rfc3339(fields.get("at")?.as_str()?).ok()?;
        let source = source.to_owned();
        Some(Self { source, at, fields })
    }

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn names(&self, id: &str) -> bool {
        self.text("request") == id || self.text("job") == id
    }

    /// Whether it tells of a whole job, and of none of its items.
    fn is_of_job(&self, jobs: &BTreeSet<&str>) -> bool {
        self.text("request").is_empty() && jobs.contains(self.text("job"))
    }

    fn print(&self, out: &mut String) {
        let at = humantime::format_rfc3339_millis(self.at).to_string();
        let time = at.get(11..23).unwrap_or(&at);
        let event = self.text("event");
        // Writing to a string does not fail.
        let _ = write!(out, "{time}  {:<24} {event}", self.source);
        for (name, value) in &self.fields {
            if ["at", "event", "level", "part"].contains(&name.as_str()) {
                continue;
            }
            let text = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(out, "  {name}={text}");
        }
        out.push('\n');
    }
}

/// The story of an id; empty if no line names it.
#[must_use]
pub fn explain(id: &str, lines: &[LogLine]) -> String {
    let of_id: Vec<&LogLine> = lines.iter().filter(|l| l.names(id)).collect();
    let (Some(first), Some(last)) = (
        of_id.iter().map(|l| l.at).min(),
        of_id.iter().map(|l| l.at).max(),
    ) else {
        return String::new();
    };
    let sources: BTreeSet<&str> = of_id.iter().map(|l| l.source.as_str()).collect();
    let jobs: BTreeSet<&str> = of_id.iter().map(|l| l.text("job")).collect();
    let jobs: BTreeSet<&str> = jobs.into_iter().filter(|job| !job.is_empty()).collect();
    let workers: BTreeSet<&str> = of_id.iter().map(|l| l.text("worker")).collect();
    let surrounds = |line: &&LogLine| {
        let in_time = line.at + BEFORE >= first && line.at <= last + AFTER;
        let worker = line.text("worker");
        let of_worker = worker.is_empty() || workers.contains(worker);
        in_time
            && of_worker
            && sources.contains(line.source.as_str())
            && SURROUNDINGS.contains(&line.text("event"))
    };
    // An item's story is its job's as well: who owns it, and who has ended it.
    let of_job = |line: &&LogLine| line.is_of_job(&jobs) && !line.names(id);
    let mut story: Vec<&LogLine> = lines.iter().filter(surrounds).collect();
    story.extend(lines.iter().filter(of_job));
    story.extend(of_id);
    story.sort_by_key(|l| l.at);
    let mut out = String::new();
    for line in story {
        line.print(&mut out);
    }
    for source in sources {
        out.push_str(&what_cut_it(id, source, lines));
    }
    out
}

/// Says so when a process ended before what it did for an id: a process that is
/// killed writes nothing, and its request would seem to have no end.
fn what_cut_it(id: &str, source: &str, lines: &[LogLine]) -> String {
    let mut of_source: Vec<&LogLine> = lines.iter().filter(|l| l.source == source).collect();
    of_source.sort_by_key(|l| l.at);
    let Some(last) = of_source.iter().rposition(|l| l.names(id)) else {
        return String::new();
    };
    let is_request = of_source[last].text("request") == id;
    if !is_request || ENDS.contains(&of_source[last].text("event")) {
        return String::new();
    }
    let after = &of_source[last..];
    let started = after.iter().position(|l| l.text("event") == "started");
    let (end, what) = match started {
        Some(at) => (after[at - 1], "ended without a word and was started again"),
        None => (after[after.len() - 1], "says nothing more"),
    };
    if started.is_none() && end.at > of_source[last].at + STILL_THERE {
        return String::new();
    }
    let at = humantime::format_rfc3339_millis(end.at).to_string();
    let time = at.get(11..23).unwrap_or(&at);
    format!("=> {source} {what}; its last line before is of {time}\n")
}
