//! Log lines as JSON on standard output, bounded and never blocking.
//!
//! Lines pass through a queue of fixed length to a thread that writes them. A
//! reader that stops reading fills the queue; further lines are dropped and
//! counted, and the count is written once there is room again.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

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
struct Queued {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    dropped: DroppedLines,
}

impl Write for Queued {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        match self.queue.try_send(std::mem::take(&mut self.line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.0.fetch_add(1, Ordering::Relaxed);
            }
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
) -> eyre::Result<DroppedLines> {
    let (tx, rx) = sync_channel(QUEUE);
    let dropped = DroppedLines::default();
    let counted = dropped.clone();
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&rx, out, &counted))?;
    let queued = Queued {
        line: Vec::new(),
        queue: tx,
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
    let boxed: Box<dyn Write + Send> = Box::new(queued);
    dispatch.chain(boxed).apply()?;
    Ok(dropped)
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut out: impl Write, dropped: &DroppedLines) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        let mut buf = first;
        for more in lines.try_iter().take(AT_ONCE) {
            buf.extend_from_slice(&more);
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
    }
}
