//! Non-blocking logging of JSON lines through a bounded queue.
//!
//! A thread takes the lines from a queue of fixed length and writes them. If the
//! reader of the output stops reading, the queue fills up. Further lines are dropped
//! and counted, and the count is logged once there is room again. The code that ends
//! the process flushes the queue first, as the last lines say why the process ended.

use crossbeam_channel::{Receiver, Sender, bounded};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Limit on the queued lines: some seconds of a busy daemon's log, at most half a
/// megabyte.
const MAX_QUEUED_LINES: usize = 2048;
/// Limit on the lines written with one call.
const MAX_LINES_PER_WRITE: usize = 64;

/// A shared counter of dropped lines.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Number of lines dropped so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A message to the thread that writes the lines.
enum Queued {
    Line(Vec<u8>),
    /// The sender is notified once all lines before it are written.
    Flush(Sender<()>),
}

/// Handle to the JSON log of the process.
#[derive(Clone, Debug)]
pub struct JsonLog {
    /// Counts the dropped lines.
    pub dropped: DroppedLines,
    queue: Sender<Queued>,
}

impl JsonLog {
    /// Waits until all lines logged so far are written, or until the deadline: a
    /// reader that has stopped reading must not delay the exit of the process. Returns
    /// whether all lines are written.
    #[must_use = "lines that are not written are lost with the process"]
    pub fn flush(&self, deadline: Instant) -> bool {
        let (written, wait) = bounded(1);
        let asked = self.queue.send_deadline(Queued::Flush(written), deadline);
        asked.is_ok() && wait.recv_deadline(deadline).is_ok()
    }
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(n) = value.to_u64() {
            Json::from(n)
        } else if let Some(n) = value.to_i64() {
            Json::from(n)
        } else if let Some(b) = value.to_bool() {
            Json::from(b)
        } else {
            Json::from(value.to_string())
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Collects the bytes of one line and puts the line into the queue.
struct LineWriter {
    line: Vec<u8>,
    queue: Sender<Queued>,
    dropped: DroppedLines,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let line = Queued::Line(std::mem::take(&mut self.line));
        if self.queue.try_send(line).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Starts logging for the whole process to `out`. Targets in `parts` are logged at
/// `level` and above, all other targets at warning level and above.
///
/// # Errors
///
/// Fails if logging is already started or the thread cannot be spawned.
pub fn start_json_logging(
    level: log::LevelFilter,
    parts: &[&'static str],
    out: impl Write + Send + 'static,
) -> eyre::Result<JsonLog> {
    let (tx, rx) = bounded(MAX_QUEUED_LINES);
    let dropped = DroppedLines::default();
    let counted = dropped.clone();
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&rx, out, &counted))?;
    let writer = LineWriter {
        line: Vec::new(),
        queue: tx.clone(),
        dropped: dropped.clone(),
    };
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let mut fields = Fields(Map::new());
            // A field that cannot be visited is omitted from the line.
            record.key_values().visit(&mut fields).ok();
            let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let mut line = Map::new();
            line.insert("at".into(), Json::from(at.to_string()));
            line.insert("level".into(), Json::from(record.level().as_str()));
            line.insert("part".into(), Json::from(record.target()));
            line.insert("event".into(), Json::from(message.to_string()));
            line.extend(fields.0);
            out.finish(format_args!("{}", Json::Object(line)));
        })
        .level(log::LevelFilter::Warn);
    for part in parts {
        dispatch = dispatch.level_for(*part, level);
    }
    let boxed: Box<dyn Write + Send> = Box::new(writer);
    dispatch.chain(boxed).apply()?;
    Ok(JsonLog { dropped, queue: tx })
}

fn write_lines(queue: &Receiver<Queued>, mut out: impl Write, dropped: &DroppedLines) {
    let mut reported = 0;
    while let Ok(first) = queue.recv() {
        let mut buf = Vec::new();
        let mut flushed = Vec::new();
        for next in std::iter::once(first).chain(queue.try_iter().take(MAX_LINES_PER_WRITE)) {
            match next {
                Queued::Line(line) => buf.extend_from_slice(&line),
                Queued::Flush(written) => flushed.push(written),
            }
        }
        let total = dropped.count();
        if total > reported {
            let note = format!(
                "{{\"level\":\"WARN\",\"part\":\"log\",\"event\":\"lines dropped\",\"count\":{}}}\n",
                total - reported
            );
            buf.extend_from_slice(note.as_bytes());
            reported = total;
        }
        // An error here cannot be reported, as the log itself is the output that
        // fails.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        for written in flushed {
            // The caller of `flush` may have reached its deadline.
            let _ = written.send(());
        }
    }
}
