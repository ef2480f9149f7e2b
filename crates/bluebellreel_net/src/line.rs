//! The bytes of a served connection, and what is known of its requests.
//!
//! A stopping server must tell an idle connection from one on which something
//! of a request has come: the first may be closed, the second has to be
//! answered. The HTTP library closes both, so the server looks itself.

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

/// Longest that a connection is read on after its last answer, for callers that
/// still send its request's body: the time that callers give a new connection.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes thrown away at once.
const DISCARD_BYTES: usize = 8192;

/// One served connection, as those see it that look after it.
pub(crate) struct Line {
    stream: RefCell<TcpStream>,
    pub(crate) accepted_at: Instant,
    /// Requests taken so far.
    taken: Cell<u64>,
    /// Requests whose answers are not out yet.
    busy: Cell<usize>,
    /// Bytes read since the last answer's.
    unanswered: Cell<usize>,
    /// Whether an answer has said that it is the last one.
    said_last: Cell<bool>,
}

/// What a connection without a request in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// Its first request.
    First,
    /// The rest of a request that has begun.
    Rest,
    /// Nothing: it is idle.
    Nothing,
}

impl Line {
    pub(crate) fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(Self {
            stream: RefCell::new(stream),
            accepted_at: Instant::now(),
            taken: Cell::new(0),
            busy: Cell::new(0),
            unanswered: Cell::new(0),
            said_last: Cell::new(false),
        })
    }

    /// A request has been taken; it is in progress until the guard is dropped.
    pub(crate) fn take(self: &Rc<Self>) -> Busy {
        self.taken.set(self.taken.get() + 1);
        self.busy.set(self.busy.get() + 1);
        Busy(self.clone())
    }

    /// An answer has said that it is the last one.
    pub(crate) fn say_last(&self) {
        self.said_last.set(true);
    }

    /// Whether the connection ends by itself, or is in use.
    pub(crate) fn is_looked_after(&self) -> bool {
        self.said_last.get() || self.busy.get() > 0
    }

    /// What the connection waits for, if no request is in progress.
    pub(crate) fn wait(&self) -> Wait {
        if self.unanswered.get() > 0 || self.has_unread() {
            Wait::Rest
        } else if self.taken.get() == 0 {
            Wait::First
        } else {
            Wait::Nothing
        }
    }

    /// Whether bytes wait in the kernel. The runtime knows only of those that
    /// came before its last look.
    fn has_unread(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&*stream).peek(&mut byte);
        peeked.is_ok_and(|n| n > 0)
    }
}

/// A request in progress.
pub(crate) struct Busy(Rc<Line>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get().saturating_sub(1));
    }
}

/// The body of an answer whose request is in progress until it is out.
pub(crate) struct Guarded {
    body: Body,
    _until_out: Busy,
}

impl Guarded {
    pub(crate) fn new(body: Body, until_out: Busy) -> Self {
        Self {
            body,
            _until_out: until_out,
        }
    }
}

impl hyper::body::Body for Guarded {
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

/// A connection's bytes as the HTTP library reads and writes them.
pub(crate) struct Bytewise {
    line: Rc<Line>,
    /// Set once the connection's end has been sent.
    until: Option<Pin<Box<Sleep>>>,
}

impl Bytewise {
    pub(crate) fn new(line: Rc<Line>) -> Self {
        Self { line, until: None }
    }

    /// Throws away what still comes, until the caller ends or the time is over.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let until = self.until.get_or_insert_with(|| Box::pin(sleep(LINGER)));
        let mut stream = self.line.stream.borrow_mut();
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return until.as_mut().poll(cx),
            }
        }
    }
}

impl AsyncRead for Bytewise {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut *self.line.stream.borrow_mut()).poll_read(cx, buf);
        let came = buf.filled().len() - before;
        self.line.unanswered.set(self.line.unanswered.get() + came);
        read
    }
}

impl AsyncWrite for Bytewise {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.line.unanswered.set(0);
        Pin::new(&mut *self.line.stream.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.line.unanswered.set(0);
        Pin::new(&mut *self.line.stream.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.line.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.line.stream.borrow_mut()).poll_flush(cx)
    }

    /// Sends the connection's end, and reads on for a moment if an answer has said
    /// that it is the last: closing a connection with unread bytes resets it, and
    /// an answer on its way is lost with it, as a refusal is while its body comes.
    ///
    /// Without that word the caller may have sent its next request. It stays
    /// unread, so that the caller knows that it has not run.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.until.is_none() {
            ready!(Pin::new(&mut *this.line.stream.borrow_mut()).poll_shutdown(cx))?;
        }
        if this.line.said_last.get() {
            ready!(this.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
