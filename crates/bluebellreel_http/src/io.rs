//! A connection's socket.

use crate::gate::{Counted, Gate, Phase};
use crate::wait::{Ready, wait};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time from a request's first byte to the end of its head.
pub(crate) const HEAD_TIME: Duration = Duration::from_secs(10);
/// Longest silence of a caller whose connection is being closed.
const LINGER_SILENCE: Duration = Duration::from_secs(1);
/// Longest time that a connection takes to be closed.
const LINGER: Duration = Duration::from_secs(10);

/// Reads with a deadline.
struct Source {
    stream: Arc<TcpStream>,
    until: Option<Instant>,
}

impl Read for Source {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        match (&*self.stream).read(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            other => other,
        }
    }
}

/// A connection.
pub(crate) struct Io {
    reader: BufReader<Source>,
    stream: Arc<TcpStream>,
    gate: Arc<Gate>,
    request: Option<Counted>,
    /// Whether another request may follow.
    pub(crate) keep: bool,
    /// Bytes of an answered request that are still to come.
    pub(crate) skip: u64,
}

impl Read for Io {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.reader.read(buf)
    }
}

impl Io {
    pub(crate) fn new(stream: TcpStream, gate: Arc<Gate>) -> Self {
        let stream = Arc::new(stream);
        let source = Source {
            stream: stream.clone(),
            until: None,
        };
        Self {
            reader: BufReader::new(source),
            stream,
            gate,
            request: None,
            keep: true,
            skip: 0,
        }
    }

    /// Reads until then at the longest.
    pub(crate) fn read_until(&mut self, until: Option<Instant>) {
        let source = self.reader.get_mut();
        if source.until.is_some() && until.is_none() {
            source.stream.set_read_timeout(None).ok();
        }
        source.until = until;
    }

    /// Waits for the first byte of a request, and counts the request from then
    /// on. False when the server closes and nothing has come.
    pub(crate) fn wait_for_request(&mut self) -> bool {
        let buffered = !self.reader.buffer().is_empty();
        if !buffered && wait(&*self.stream, &self.gate.woken) == Ready::Woken {
            return false;
        }
        self.request = Some(self.gate.count_request());
        self.read_until(Some(Instant::now() + HEAD_TIME));
        true
    }

    /// Whether connections are kept after an answer.
    pub(crate) fn server_keeps(&self) -> bool {
        self.gate.phase() == Phase::Open
    }

    /// Reads a line to its end or to a number of bytes.
    pub(crate) fn read_line(&mut self, line: &mut Vec<u8>, most: u64) -> io::Result<usize> {
        (&mut self.reader).take(most).read_until(b'\n', line)
    }

    pub(crate) fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes)
    }

    /// The request is answered.
    pub(crate) fn note_answered(&mut self) {
        self.request = None;
    }

    /// Reads what is left of an answered request; false when it does not come.
    pub(crate) fn skip_rest(&mut self) -> bool {
        let left = std::mem::take(&mut self.skip);
        if left == 0 {
            return true;
        }
        self.read_until(Some(Instant::now() + HEAD_TIME));
        let skipped = io::copy(&mut (&mut self.reader).take(left), &mut io::sink());
        skipped.is_ok_and(|skipped| skipped == left)
    }

    /// Closes the connection such that the caller can read all that was sent:
    /// closed with bytes unread, the system would cut the last answer.
    pub(crate) fn close(mut self) {
        self.note_answered();
        self.stream.shutdown(Shutdown::Write).ok();
        let until = Instant::now() + LINGER;
        loop {
            let silent = Instant::now() + LINGER_SILENCE;
            self.read_until(Some(silent.min(until)));
            match self.reader.fill_buf() {
                Ok([]) | Err(_) => return,
                Ok(bytes) => {
                    let count = bytes.len();
                    self.reader.consume(count);
                }
            }
        }
    }
}
