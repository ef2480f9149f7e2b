//! Limits what a server may send without getting ahead with its response.
//!
//! The HTTP library reads a head, informational responses and the framing of a body for as
//! long as they come. A server that sends them without end would keep the event loop busy.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer from which heads and bodies are read, in bytes; a longer head is an
/// error.
pub(crate) const MAX_READ_BUFFER: usize = 64 * 1024;
/// Maximum number of bytes read without a complete head or a piece of a body. The HTTP
/// library may have read a full buffer ahead of the piece that is taken from it.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 4 * MAX_READ_BUFFER;

/// How much a connection may still read before its response gets ahead.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(MAX_BYTES_WITHOUT_PROGRESS)))
    }

    /// Records that a request is sent, or that a part of its response is complete.
    pub(crate) fn renew(&self) {
        self.0.set(MAX_BYTES_WITHOUT_PROGRESS);
    }
}

/// The byte stream of a call's connection.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let left = this.allowance.0.get();
        if left == 0 {
            let reason = "the server sends without getting ahead with its response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        this.allowance.0.set(left.saturating_sub(received));
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
