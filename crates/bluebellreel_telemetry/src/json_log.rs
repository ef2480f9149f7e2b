//! Log lines as JSON on standard output, bounded and never blocking.
//!
//! Lines pass through a queue of fixed length to a thread that writes them. A
//! reader that stops reading fills the queue; further lines are dropped and
//! counted, and the count is written once there is room again. Whoever ends the
//! process has the queue written first: its last lines tell why it ended.

use crossbeam_channel::{Receiver, Sender, bounded};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Lines that may wait for the reader: some seconds of a busy daemon's, half a
/// megabyte at the most.
const QUEUE: usize = 2048;
/// Lines written with one call at the most.
const AT_ONCE: usize = 64;

/// Lines dropped so far.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// How many.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What the writing thread is handed.
enum Queued {
    Line(Vec<u8>),
    /// Answered once all before it is written.
    Flush(Sender<()>),
}

/// The log of the process.
#[derive(Clone, Debug)]
pub struct JsonLog {
    /// Lines dropped so far.
    pub dropped: DroppedLines,
    queue: Sender<Queued>,
}

impl JsonLog {
    /// Waits until all lines so far are written, but not past a deadline: a
    /// reader that has stopped reading must not hold up the end of a process.
    /// Whether they are written.
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

/// Gathers one line and hands it to the queue.
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

/// Starts logging of the whole process to `out`; the parts named are logged
/// from `level` on, everything else from warnings on.
///
/// # Errors
///
/// Gives the reason when logging runs already or no thread can be had.
pub fn start_json_logging(
    level: log::LevelFilter,
    parts: &[&'static str],
    out: impl Write + Send + 'static,
) -> eyre::Result<JsonLog> {
    let (tx, rx) = bounded(QUEUE);
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
            // A field that cannot be visited is left out of its line.
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
    let mut told = 0;
    while let Ok(first) = queue.recv() {
        let mut buf = Vec::new();
        let mut flushed = Vec::new();
        for next in std::iter::once(first).chain(queue.try_iter().take(AT_ONCE)) {
            match next {
                Queued::Line(line) => buf.extend_from_slice(&line),
                Queued::Flush(written) => flushed.push(written),
            }
        }
        let lost = dropped.count();
        if lost > told {
            let note = format!(
                "{{\"level\":\"WARN\",\"part\":\"log\",\"event\":\"lines dropped\",\"count\":{}}}\n",
                lost - told
            );
            buf.extend_from_slice(note.as_bytes());
            told = lost;
        }
        // There is nowhere to tell that nothing can be told.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        for written in flushed {
            // Whoever asked may have stopped waiting.
            let _ = written.send(());
        }
    }
}
