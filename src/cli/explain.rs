//! Timeline of one request, job or item, from the logs of several processes.
//!
//! Log lines are JSON. The timeline contains every line that mentions the id, in time
//! order. It also contains what the same processes logged shortly before and
//! meanwhile about their environment: workers that appeared or disappeared, outages of
//! the store, changes of the configuration, stops.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::{Duration, SystemTime};

/// How long before the first line about the id context events are included. The
/// loss of a worker or of the store affects requests within seconds.
const CONTEXT_BEFORE: Duration = Duration::from_secs(5);
/// How long after the last line about the id context events are included.
const CONTEXT_AFTER: Duration = Duration::from_secs(1);
/// If a process logs anything this long after a request's last line, its end is not
/// the reason why the request has no final event: callers wait for five seconds.
const ALIVE_AFTER: Duration = Duration::from_secs(5);
/// Events about the environment of a process, unrelated to a single request.
const CONTEXT_EVENTS: [&str; 18] = [
    "started",
    "stopping",
    "stop goes on",
    "stopped",
    "configuration in force",
    "worker listed",
    "worker gone",
    "many workers changed",
    "worker no longer listed",
    "workers read",
    "store lost",
    "store regained",
    "peer discovered",
    "more peers discovered",
    "own entry has vanished, registering again",
    "lease has ended",
    "facts taken over",
    "lines dropped",
];

/// Events that end a request.
const FINAL_EVENTS: [&str; 8] = [
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
    /// Name of the log, which identifies the process.
    pub source: String,
    /// Time at which the line was written.
    pub at: SystemTime,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object is ignored; a line without an
    /// object returns `None`.
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

    fn mentions(&self, id: &str) -> bool {
        ["request", "job", "resumes"]
            .iter()
            .any(|field| self.text(field) == id)
    }

    /// Whether the line is about a whole job and not about one of its items.
    fn is_of_job(&self, jobs: &BTreeSet<&str>) -> bool {
        self.text("request").is_empty() && jobs.contains(self.text("job"))
    }

    fn print(&self, out: &mut String) {
        let at = humantime::format_rfc3339_millis(self.at).to_string();
        let time = at.get(11..23).unwrap_or(&at);
        let event = self.text("event");
        // Writing to a string cannot fail.
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

/// Returns the timeline of an id; empty if no line mentions it.
#[must_use]
pub fn explain(id: &str, lines: &[LogLine]) -> String {
    let of_id: Vec<&LogLine> = lines.iter().filter(|l| l.mentions(id)).collect();
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
    let is_context = |line: &&LogLine| {
        let in_time = line.at + CONTEXT_BEFORE >= first && line.at <= last + CONTEXT_AFTER;
        let worker = line.text("worker");
        let of_worker = worker.is_empty() || workers.contains(worker);
        in_time
            && of_worker
            && sources.contains(line.source.as_str())
            && CONTEXT_EVENTS.contains(&line.text("event"))
    };
    // The timeline of an item includes the lines about its job, which say who owns
    // the job and who ended it.
    let of_job = |line: &&LogLine| line.is_of_job(&jobs) && !line.mentions(id);
    let mut timeline: Vec<&LogLine> = lines.iter().filter(is_context).collect();
    timeline.extend(lines.iter().filter(of_job));
    timeline.extend(of_id);
    timeline.sort_by_key(|l| l.at);
    let mut out = String::new();
    for line in timeline {
        line.print(&mut out);
    }
    for source in sources {
        out.push_str(&process_end_note(id, source, lines));
    }
    out
}

/// Returns a note if a process ended before it finished work on an id: a killed
/// process logs nothing, so its request would appear never to end.
fn process_end_note(id: &str, source: &str, lines: &[LogLine]) -> String {
    let mut of_source: Vec<&LogLine> = lines.iter().filter(|l| l.source == source).collect();
    of_source.sort_by_key(|l| l.at);
    let Some(last) = of_source.iter().rposition(|l| l.mentions(id)) else {
        return String::new();
    };
    let is_request = of_source[last].text("request") == id;
    if !is_request || FINAL_EVENTS.contains(&of_source[last].text("event")) {
        return String::new();
    }
    let after = &of_source[last..];
    let started = after.iter().position(|l| l.text("event") == "started");
    let (end, what) = match started {
        Some(at) => (
            after[at - 1],
            "ended without logging a stop and was restarted",
        ),
        None => (after[after.len() - 1], "logged nothing more"),
    };
    if started.is_none() && end.at > of_source[last].at + ALIVE_AFTER {
        return String::new();
    }
    let at = humantime::format_rfc3339_millis(end.at).to_string();
    let time = at.get(11..23).unwrap_or(&at);
    format!("=> {source} {what}; its last line before that is from {time}\n")
}
