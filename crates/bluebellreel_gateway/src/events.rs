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

/// Maximum number of bytes without a numbered event.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An answer that has gone on for [`MAX_EVENT_BYTES`] without a numbered event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Oversized;

impl Oversized {
    /// The reason as logged.
    pub(crate) const REASON: &str = "too many bytes without an event";
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
    /// Number of bytes in the buffer that were searched for the end of an event.
    searched: usize,
    /// Start of the line at which the search goes on.
    line_start: usize,
    /// Number of bytes of events without an id since the last one with one.
    unnumbered: usize,
}

impl Events {
    /// Appends received bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns `Oversized` if too many bytes have come without a numbered event.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, Oversized> {
        let Some(end) = self.end_of_event() else {
            let is_oversized = self.unnumbered + self.buf.len() > MAX_EVENT_BYTES;
            return if is_oversized {
                Err(Oversized)
            } else {
                Ok(None)
            };
        };
        if end > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        let event = read_event(self.buf.split_to(end).freeze());
        (self.searched, self.line_start) = (0, 0);
        self.unnumbered = match event.id {
            Some(_) => 0,
            None => self.unnumbered + end,
        };
        Ok(Some(event))
    }

    /// Whether the buffer holds a complete event.
    ///
    /// # Errors
    ///
    /// Returns `Oversized` as [`Self::next`] does.
    pub(crate) fn has_complete_event(&mut self) -> Result<bool, Oversized> {
        let has_end = self.end_of_event().is_some();
        if !has_end && self.unnumbered + self.buf.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        Ok(has_end)
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Number of bytes up to the end of the first event. Bytes that were searched before are
    /// not searched again.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut line_start = self.line_start;
        for at in self.searched..self.buf.len() {
            if self.buf[at] != b'\n' {
                continue;
            }
            let line = &self.buf[line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(at + 1);
            }
            line_start = at + 1;
        }
        (self.searched, self.line_start) = (self.buf.len(), line_start);
        None
    }
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
