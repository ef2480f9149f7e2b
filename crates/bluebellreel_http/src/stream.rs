//! Streamed answers.

use crate::{Request, ResponseWriter};
use chunked_transfer::Encoder;
use std::io::{self, Write};

/// A chunked answer whose pieces go out at once.
pub struct ChunkedStream {
    encoder: Encoder<Gate>,
}

/// A connection to which nothing more is written once it is shut.
struct Gate {
    writer: ResponseWriter,
    shut: bool,
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.shut {
            return Ok(buf.len());
        }
        self.writer.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

impl Drop for Gate {
    /// The encoder writes its last chunk when it is dropped, just before this;
    /// unflushed, the caller would wait for the end of a whole answer.
    fn drop(&mut self) {
        self.writer.flush().ok();
    }
}

impl ChunkedStream {
    /// Sends the head.
    ///
    /// # Errors
    ///
    /// Gives the connection's error; the caller has gone away.
    pub fn open(req: Request, kind: &str) -> io::Result<Self> {
        let mut writer = req.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self {
            encoder: Encoder::new(Gate {
                writer,
                shut: false,
            }),
        })
    }

    /// Ends the answer without its last chunk, so that the caller sees that it
    /// is not whole.
    pub fn abandon(mut self) {
        // The encoder writes the last chunk when it is dropped: it goes nowhere.
        self.encoder.get_mut().shut = true;
    }

    /// Sends a piece.
    ///
    /// # Errors
    ///
    /// Gives the connection's error; the caller has gone away.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        self.encoder.write_all(piece)?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }
}
