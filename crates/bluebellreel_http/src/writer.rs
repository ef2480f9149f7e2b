//! Writing an answer by hand.

use crate::io::Io;
use std::io::{self, Write};
use std::sync::mpsc::Sender;

/// Bytes gathered before they are sent.
const GATHERED: usize = 8 << 10;

/// A connection on which an answer is written. It counts as in progress until
/// this is dropped; the connection is closed then.
pub struct ResponseWriter {
    io: Option<Io>,
    buf: Vec<u8>,
    back: Sender<Io>,
}

impl ResponseWriter {
    pub(crate) fn new(io: Option<Io>, back: Sender<Io>) -> Self {
        Self {
            io,
            buf: Vec::new(),
            back,
        }
    }
}

impl Write for ResponseWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(buf);
        if self.buf.len() >= GATHERED {
            self.flush()?;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let bytes = std::mem::take(&mut self.buf);
        match &mut self.io {
            Some(io) if !bytes.is_empty() => io.write_all(&bytes),
            _ => Ok(()),
        }
    }
}

impl Drop for ResponseWriter {
    fn drop(&mut self) {
        self.flush().ok();
        if let Some(mut io) = self.io.take() {
            io.note_answered();
            self.back.send(io).ok();
        }
    }
}
