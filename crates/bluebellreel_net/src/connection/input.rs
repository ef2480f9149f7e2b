//! Bytes of a connection on their way to the HTTP library, which gets heads whole and bodies up to
//! their ends.

use crate::framing::{BodyEnd, HeadScan, WholeHead};
use bytes::{Buf, BytesMut};
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Which part of a request comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// A head.
    Head,
    /// The rest of a whole head, for the HTTP library.
    WholeHead { left: usize },
    /// Nothing until the HTTP library has parsed the head.
    Parsing,
    /// A body.
    Body(BodyEnd),
}

/// Bytes that were read and not yet given to the HTTP library.
pub(super) struct Input {
    pub(super) bytes: BytesMut,
    pub(super) framing: Framing,
    pub(super) scan: HeadScan,
    /// The head that was given last.
    pub(super) head: WholeHead,
    /// When the head began that is incomplete.
    pub(super) head_began: Option<Instant>,
    /// Memory held for bytes that wait, in this buffer or the kernel's.
    pub(super) held: usize,
}

impl Input {
    /// The input of a new connection.
    pub(super) fn new() -> Self {
        Self {
            bytes: BytesMut::new(),
            framing: Framing::Head,
            scan: HeadScan::default(),
            head: WholeHead {
                bytes: 0,
                fields: 0,
            },
            head_began: None,
            held: 0,
        }
    }

    /// Begins to give a whole head to the HTTP library.
    pub(super) fn begin_head(&mut self, head: WholeHead) {
        self.framing = Framing::WholeHead { left: head.bytes };
        self.head = head;
        self.scan = HeadScan::default();
        self.head_began = None;
    }

    /// Gives bytes to the HTTP library.
    pub(super) fn give(&mut self, count: usize, buf: &mut ReadBuf<'_>) -> usize {
        let count = count.min(buf.remaining()).min(self.bytes.len());
        buf.put_slice(&self.bytes[..count]);
        self.bytes.advance(count);
        if self.bytes.is_empty() {
            // Returns the memory of a long head.
            self.bytes = BytesMut::new();
        }
        count
    }

    /// Gives bytes of a body to the HTTP library, up to the body's end.
    pub(super) fn give_body(&mut self, mut end: BodyEnd, buf: &mut ReadBuf<'_>) {
        let count = self.bytes.len().min(buf.remaining());
        let (taken, has_ended) = end.take(&self.bytes[..count]);
        self.give(taken, buf);
        self.framing = if has_ended {
            Framing::Head
        } else {
            Framing::Body(end)
        };
    }
}
