//! The byte stream of a connection, as the HTTP library reads and writes it.

use super::input::{Framing, Input};
use super::{ConnectionState, max_fields};
use crate::account::Stage;
use crate::framing::HeadError;
use bytes::Buf;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// How long the server keeps reading from a connection after its last response, for
/// callers that are still sending the body of the request. Callers allow the same
/// time for opening a new connection.
const LINGER: Duration = Duration::from_secs(1);
/// Size of the buffer into which bytes are read.
const READ_BYTES: usize = 8192;
/// The byte stream of a connection, as the HTTP library reads and writes it.
pub(crate) struct ConnectionIo {
    state: Rc<ConnectionState>,
    /// When the caller has been silent for too long.
    due: Pin<Box<Sleep>>,
    /// When discarding ends; set once the write side is shut down.
    discard_end: Option<Pin<Box<Sleep>>>,
}

impl ConnectionIo {
    pub(crate) fn new(state: Rc<ConnectionState>) -> Self {
        Self {
            due: Box::pin(sleep_until(state.accepted_at)),
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
        let mut bytes = [0; READ_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    if discard_end.as_mut().poll(cx).is_ready() {
                        return Poll::Ready(());
                    }
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return discard_end.as_mut().poll(cx),
            }
        }
    }

    /// Reads more bytes into the input; returns false at the end of the stream.
    fn poll_fill(&self, input: &mut Input, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        let mut stream = self.state.stream.borrow_mut();
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf))?;
        input.bytes.extend_from_slice(buf.filled());
        Poll::Ready(Ok(!buf.filled().is_empty()))
    }

    /// Waits for a request's head. Returns false if the connection is to be closed.
    fn poll_head(&mut self, input: &mut Input, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let state = self.state.clone();
        if state.hold.is_evicted() {
            return Poll::Ready(Ok(false));
        }
        loop {
            let limits = (state.intake.limits)();
            let scanned = input.scan.advance(&input.bytes, limits.head_bytes);
            input.bytes.advance(input.scan.take_empty_lines());
            let scanned = match scanned {
                Ok(Some(head)) if head.fields > max_fields(limits) => Err(HeadError::TooLarge),
                scanned => scanned,
            };
            match scanned {
                Ok(Some(head)) => {
                    input.begin_head(head);
                    state.hold_waiting(input);
                    if head.fields > state.max_fields.get() {
                        state.max_fields.set(head.fields);
                        state.begins_anew.set(true);
                        return Poll::Ready(Ok(false));
                    }
                    return Poll::Ready(Ok(true));
                }
                Ok(None) => {}
                Err(e) => {
                    state.error.set(Some(e));
                    let reason = "the request's head is not taken";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
                }
            }
            if input.scan.has_begun() {
                input.head_began.get_or_insert_with(Instant::now);
                state.hold.enter(Stage::Head);
            }
            if !state.hold_waiting(input) {
                return Poll::Ready(Ok(false));
            }
            match self.poll_fill(input, cx) {
                Poll::Ready(Ok(true)) => {}
                Poll::Ready(other) => return Poll::Ready(other),
                Poll::Pending => {
                    let until = match input.head_began {
                        Some(began) => began + limits.head_time,
                        None => state.silent_since.get() + limits.idle_time,
                    };
                    if self.due.deadline() != until {
                        self.due.as_mut().reset(until);
                    }
                    ready!(self.due.as_mut().poll(cx));
                    return Poll::Ready(Ok(false));
                }
            }
        }
    }

    /// Reads ahead of a request in progress, so that the end of the stream is seen. Returns
    /// false at that end.
    fn poll_ahead(&self, input: &mut Input, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let state = &self.state;
        if input.bytes.is_empty() && !ready!(self.poll_fill(input, cx))? {
            return Poll::Ready(Ok(false));
        }
        // A request in progress is not ended for what comes behind it.
        state.force_waiting(input);
        state.reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let state = this.state.clone();
        let mut input = state.input.borrow_mut();
        loop {
            match input.framing {
                Framing::Head if state.is_occupied() => {
                    ready!(this.poll_ahead(&mut input, cx))?;
                    return Poll::Ready(Ok(()));
                }
                Framing::Head => {
                    // What was to be written is written.
                    state.hold.give_back(state.answer_memory.take());
                    // The end of the stream closes the connection.
                    if !ready!(this.poll_head(&mut input, cx))? {
                        return Poll::Ready(Ok(()));
                    }
                }
                Framing::WholeHead { left } => {
                    let left = left - input.give(left, buf);
                    input.framing = if left == 0 {
                        Framing::Parsing
                    } else {
                        Framing::WholeHead { left }
                    };
                    state.hold_waiting(&mut input);
                    return Poll::Ready(Ok(()));
                }
                // The HTTP library finds no end of the head.
                Framing::Parsing => return Poll::Ready(Ok(())),
                Framing::Body(end) => {
                    if input.bytes.is_empty() && !ready!(this.poll_fill(&mut input, cx))? {
                        return Poll::Ready(Ok(()));
                    }
                    input.give_body(end, buf);
                    state.hold_waiting(&mut input);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl ConnectionIo {
    /// Notes if the caller does not take what is written. That it takes some of it is not
    /// enough: a caller could hold its connection by reading a little now and then.
    fn written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if result.is_pending() {
            self.state.set_blocked(true);
        }
        result
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.state.stream.borrow_mut()).poll_write(cx, buf);
        self.written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.state.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.state.stream.borrow().is_write_vectored()
    }

    /// Called once all that was to be written is written.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.set_blocked(false);
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
        if this.state.begins_anew.get() || this.state.error.get().is_some() {
            // The server goes on with the connection.
            return Poll::Ready(Ok(()));
        }
        if this.discard_end.is_none() {
            ready!(Pin::new(&mut *this.state.stream.borrow_mut()).poll_shutdown(cx))?;
        }
        if this.state.close_announced.get() {
            ready!(this.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
