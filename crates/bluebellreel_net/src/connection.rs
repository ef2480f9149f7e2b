//! State and byte stream of a served connection.
//!
//! A stopping server must distinguish an idle connection from one on which part of a
//! request has arrived: it may close the first and has to answer the second. The
//! HTTP library closes both, so this module tracks the bytes of each connection
//! itself.

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::{Body, Broken};

/// How long the server keeps reading from a connection after its last response, for
/// callers that are still sending the body of the request. Callers allow the same
/// time for opening a new connection.
const LINGER: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 8192;

/// State of one served connection, shared by the server and the connection's I/O.
pub(crate) struct ConnectionState {
    stream: RefCell<TcpStream>,
    pub(crate) accepted_at: Instant,
    /// Requests received so far.
    taken: Cell<u64>,
    /// Requests whose responses are not completely written.
    in_progress: Cell<usize>,
    /// Bytes read since the last write of a response.
    unanswered_bytes: Cell<usize>,
    /// Whether a response has announced that the connection closes after it.
    close_announced: Cell<bool>,
}

/// What a connection without a request in progress is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaiting {
    /// Its first request.
    FirstRequest,
    /// The rest of a request of which some bytes have arrived.
    RestOfRequest,
    /// Nothing: the connection is idle.
    Nothing,
}

impl ConnectionState {
    pub(crate) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self {
            stream: RefCell::new(stream),
            accepted_at: Instant::now(),
            taken: Cell::new(0),
            in_progress: Cell::new(0),
            unanswered_bytes: Cell::new(0),
            close_announced: Cell::new(false),
        })
    }

    /// Counts a request. It is in progress until the returned guard is dropped.
    pub(crate) fn take(self: &Rc<Self>) -> RequestGuard {
        self.taken.set(self.taken.get() + 1);
        self.in_progress.set(self.in_progress.get() + 1);
        RequestGuard(self.clone())
    }

    /// Records that a response has announced the end of the connection.
    pub(crate) fn announce_close(&self) {
        self.close_announced.set(true);
    }

    /// Whether a request is in progress or the connection will close without
    /// further action.
    pub(crate) fn is_busy_or_closing(&self) -> bool {
        self.close_announced.get() || self.in_progress.get() > 0
    }

    /// What the connection is waiting for. Valid only while no request is in
    /// progress.
    pub(crate) fn awaiting(&self) -> Awaiting {
        if self.unanswered_bytes.get() > 0 || self.has_unread() {
            Awaiting::RestOfRequest
        } else if self.taken.get() == 0 {
            Awaiting::FirstRequest
        } else {
            Awaiting::Nothing
        }
    }

    /// Whether the kernel holds unread bytes. The runtime only reports bytes that
    /// had arrived when it last polled the socket.
    fn has_unread(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&*stream).peek(&mut byte);
        peeked.is_ok_and(|n| n > 0)
    }
}

/// Marks a request as in progress until dropped.
pub(crate) struct RequestGuard(Rc<ConnectionState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0
            .in_progress
            .set(self.0.in_progress.get().saturating_sub(1));
    }
}

/// A response body that keeps its request in progress until it is written.
pub(crate) struct GuardedBody {
    body: Body,
    _request: RequestGuard,
}

impl GuardedBody {
    pub(crate) fn new(body: Body, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The byte stream of a connection, as the HTTP library reads and writes it.
pub(crate) struct ConnectionIo {
    state: Rc<ConnectionState>,
    /// When discarding ends; set once the write side is shut down.
    discard_end: Option<Pin<Box<Sleep>>>,
}

impl ConnectionIo {
    pub(crate) fn new(state: Rc<ConnectionState>) -> Self {
        Self {
            state,
            discard_end: None,
        }
    }

    /// Discards incoming bytes until the caller closes the connection or [`LINGER`]
    /// has passed.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let discard_end = self
            .discard_end
            .get_or_insert_with(|| Box::pin(sleep(LINGER)));
        let mut stream = self.state.stream.borrow_mut();
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return discard_end.as_mut().poll(cx),
            }
        }
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut *self.state.stream.borrow_mut()).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        self.state
            .unanswered_bytes
            .set(self.state.unanswered_bytes.get() + received);
        read
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.unanswered_bytes.set(0);
        Pin::new(&mut *self.state.stream.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.unanswered_bytes.set(0);
        Pin::new(&mut *self.state.stream.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.state.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.state.stream.borrow_mut()).poll_flush(cx)
    }

    /// Shuts down the write side. If a response has announced the end of the
    /// connection, keeps reading for up to [`LINGER`]: closing a connection with
    /// unread bytes resets it, and the reset destroys a response that is still on
    /// its way, such as a refusal sent while the request's body is arriving.
    ///
    /// Without that announcement the caller may have sent its next request. That
    /// request stays unread, so that the caller can be sure that it has not run.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.discard_end.is_none() {
            ready!(Pin::new(&mut *this.state.stream.borrow_mut()).poll_shutdown(cx))?;
        }
        if this.state.close_announced.get() {
            ready!(this.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
