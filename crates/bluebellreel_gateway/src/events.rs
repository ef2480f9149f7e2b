//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The event's id, if it has one.
    pub(crate) id: Option<u64>,
    /// The event's data; several data lines are joined by line feeds.
    pub(crate) data: String,
    /// The event's bytes as received, including the blank line at the end.
    pub(crate) bytes: Bytes,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

impl Events {
    /// Appends received bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some(read_event(bytes))
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn read_event(bytes: Bytes) -> Event {
    let text = String::from_utf8_lossy(&bytes);
    let mut id = None;
    let mut data = String::new();
    let mut lines = 0;
    for line in text.lines() {
        let Some((field, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = value.trim().parse().ok(),
            "data" => {
                if lines > 0 {
                    data.push('\n');
                }
                data.push_str(value);
                lines += 1;
            }
            _ => {}
        }
    }
    Event { id, data, bytes }
}
