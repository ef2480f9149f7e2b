//! State of a served connection.
//!
//! The HTTP library gets the bytes of a request only once its head is complete, and those of a
//! further request only once the answer to the one before is written. So what a caller may make
//! this process hold, and whether it may close the connection, is known here: a stopping server
//! may close an idle connection, and has to answer one on which part of a request has arrived.

mod input;
mod io;

use crate::account::{Hold, Stage};
use crate::framing::{BodyEnd, ChunkScan, FREE_FIELD_BYTES, HeadError, MAX_FIELDS, max_head_bytes};
use crate::intake::{CallerLimits, Intake, Refused};
use crate::{Body, Broken, NoRoom, RequestBody};
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use input::{Framing, Input};
pub(crate) use io::ConnectionIo;
use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Memory of a connection in bytes: its state and the buffers of the HTTP library.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Number of fields for which the HTTP library has a table at hand. A larger one takes it many
/// times as long as the rest of a request.
const USUAL_FIELDS: usize = 100;
/// Memory of a field of a request's head in bytes, beside its text.
const FIELD_BYTES: usize = 128;
/// Size in bytes of the kernel's buffers of a connection, one for each direction; the kernel
/// takes twice as much.
pub(crate) const KERNEL_BUFFER_BYTES: usize = 128 * 1024;
/// Maximum size in bytes of an answer that is given also where there is no room for it.
const SMALL_ANSWER_BYTES: usize = 16 * 1024;
/// Memory of an answer in the HTTP library's buffer and the kernel's while its caller does not
/// take it, in bytes.
const BLOCKED_BYTES: usize = 256 * 1024 + 2 * KERNEL_BUFFER_BYTES;

/// State of one served connection, shared by the server and the connection's I/O.
pub(crate) struct ConnectionState {
    stream: RefCell<TcpStream>,
    intake: Rc<Intake>,
    hold: Hold,
    input: RefCell<Input>,
    pub(crate) accepted_at: Instant,
    /// Number of fields that the HTTP library takes.
    max_fields: Cell<usize>,
    /// Whether the HTTP library has to begin anew, as a head has more fields than it takes.
    begins_anew: Cell<bool>,
    /// Requests received so far.
    taken: Cell<u64>,
    /// Requests whose responses are not completely written.
    in_progress: Cell<usize>,
    /// Whether a response has announced that the connection closes after it.
    close_announced: Cell<bool>,
    /// Whether the caller does not take what is written.
    is_blocked: Cell<bool>,
    /// Since when the connection has waited for a request.
    silent_since: Cell<Instant>,
    /// Wakes the HTTP library once it may read the next request.
    reader: RefCell<Option<Waker>>,
    /// Memory held for the request in progress, in bytes.
    request_memory: Cell<usize>,
    /// The part of it for a body that may wait in the kernel's buffer.
    unread_memory: Cell<usize>,
    /// Memory held for an answer that is whole until it is written, in bytes.
    answer_memory: Cell<usize>,
    error: Cell<Option<HeadError>>,
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
    /// The state of a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the account has no room for it.
    pub(crate) fn new(stream: TcpStream, intake: &Rc<Intake>) -> Result<Rc<Self>, NoRoom> {
        let hold = intake.account.connect(CONNECTION_BYTES)?;
        let now = Instant::now();
        Ok(Rc::new(Self {
            stream: RefCell::new(stream),
            intake: intake.clone(),
            hold,
            input: RefCell::new(Input::new()),
            accepted_at: now,
            max_fields: Cell::new(USUAL_FIELDS),
            begins_anew: Cell::new(false),
            taken: Cell::new(0),
            in_progress: Cell::new(0),
            close_announced: Cell::new(false),
            is_blocked: Cell::new(false),
            silent_since: Cell::new(now),
            reader: RefCell::default(),
            request_memory: Cell::new(0),
            unread_memory: Cell::new(0),
            answer_memory: Cell::new(0),
            error: Cell::new(None),
        }))
    }

    /// How long a request's head may take.
    pub(crate) fn head_time(&self) -> Duration {
        (self.intake.limits)().head_time
    }

    /// Maximum size in bytes of a whole head within the limits, separators included.
    pub(crate) fn max_head_bytes(&self) -> usize {
        max_head_bytes((self.intake.limits)().head_bytes)
    }

    /// The answer in place of what there is no room for.
    pub(crate) fn no_room(&self, refused: Refused) -> hyper::Response<Body> {
        let mut answer = (self.intake.answer)(refused).map(Body::full);
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
        answer
    }

    /// Number of fields that the HTTP library is to take, if they are more than usual.
    pub(crate) fn max_fields(&self) -> Option<usize> {
        let fields = self.max_fields.get();
        (fields > USUAL_FIELDS).then_some(fields)
    }

    /// Whether the HTTP library has let go of the connection to begin anew on it.
    pub(crate) fn begins_anew(&self) -> bool {
        self.begins_anew.take()
    }

    /// Counts a request, whose head was parsed. It is in progress until the returned guard is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub(crate) fn take(
        self: &Rc<Self>,
        req: &hyper::Request<Incoming>,
    ) -> (RequestGuard, Result<(), NoRoom>) {
        self.taken.set(self.taken.get() + 1);
        self.in_progress.set(self.in_progress.get() + 1);
        let mut input = self.input.borrow_mut();
        let head = input.head;
        let size = req.body().size_hint().exact();
        let size = size.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        input.framing = match size {
            Some(0) => Framing::Head,
            Some(size) => Framing::Body(BodyEnd::After(size)),
            None => Framing::Body(BodyEnd::Chunked(ChunkScan::default())),
        };
        drop(input);
        let has_body = size != Some(0);
        self.hold
            .enter(if has_body { Stage::Body } else { Stage::Busy });
        // The body may arrive before it is read.
        let unread = size.unwrap_or(usize::MAX).min(KERNEL_BUFFER_BYTES);
        let room = self.hold_request(head.bytes + head.fields * FIELD_BYTES + unread);
        if room.is_ok() {
            self.unread_memory.set(unread);
        }
        (RequestGuard(self.clone()), room)
    }

    /// Holds memory until the request's end.
    fn hold_request(&self, bytes: usize) -> Result<(), NoRoom> {
        self.hold.add(bytes)?;
        self.request_memory.update(|all| all + bytes);
        Ok(())
    }

    /// Counts bytes of a body that its reader gets.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them, or if the request was closed for others.
    pub(crate) fn hold_body(&self, bytes: usize) -> Result<(), NoRoom> {
        if self.hold.is_evicted() {
            return Err(NoRoom);
        }
        self.hold_request(bytes)
    }

    /// Gives back memory that was held for a request.
    pub(crate) fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.request_memory.get());
        self.request_memory.update(|all| all - bytes);
        self.hold.give_back(bytes);
    }

    /// Counts a whole answer until it is written. A small one is always taken.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub(crate) fn hold_answer(&self, bytes: usize) -> Result<(), NoRoom> {
        if bytes > SMALL_ANSWER_BYTES {
            self.hold.add(bytes)?;
        } else {
            self.hold.force(bytes);
        }
        self.answer_memory.update(|all| all + bytes);
        Ok(())
    }

    /// Whether the request was closed for others. Wakes the reader of its body then.
    pub(crate) fn is_refused(&self, cx: &mut Context<'_>) -> bool {
        self.hold.set_reader(cx.waker());
        self.hold.is_evicted()
    }

    /// Records that the body of the request in progress is complete.
    pub(crate) fn end_body(&self) {
        self.release(self.unread_memory.take());
        if self.hold.stage() == Stage::Body {
            self.hold.enter(Stage::Busy);
        }
    }

    /// Ends a request whose response is written.
    fn end_request(&self) {
        self.in_progress
            .set(self.in_progress.get().saturating_sub(1));
        self.hold.give_back(self.request_memory.take());
        self.unread_memory.set(0);
        self.hold.enter(if self.is_blocked.get() {
            Stage::Stalled
        } else {
            Stage::Idle
        });
        self.silent_since.set(Instant::now());
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Waits until the account closes the connection.
    pub(crate) async fn closed_for_others(&self) {
        self.hold.closed().await;
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
        if !self.input.borrow().bytes.is_empty() || self.has_unread() {
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

    /// Refuses a head that was not taken, once the HTTP library has let go of the connection.
    pub(crate) async fn refuse_head(self: Rc<Self>) {
        if self.error.take() != Some(HeadError::TooLarge) || !(self.intake.refuses)().await {
            return;
        }
        let answer = (self.intake.answer)(Refused::HeadTooLarge);
        self.announce_close();
        let mut io = ConnectionIo::new(self);
        // The caller may be gone.
        let answer = encoded(&answer);
        if io.write_all(&answer).await.is_ok() {
            let _ = io.shutdown().await;
        }
    }
}

/// The bytes of an answer after which the connection closes.
fn encoded(answer: &http::Response<Bytes>) -> Vec<u8> {
    let status = answer.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let length = answer.body().len();
    let start = format!(
        "HTTP/1.1 {} {reason}\r\nconnection: close\r\ncontent-length: {length}\r\n",
        status.as_u16()
    );
    let mut bytes = start.into_bytes();
    for (name, value) in answer.headers() {
        for part in [name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            bytes.extend_from_slice(part);
        }
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(answer.body());
    bytes
}

/// Number of fields that a head within the limits can have.
fn max_fields(limits: CallerLimits) -> usize {
    let fields = limits.head_bytes / FREE_FIELD_BYTES;
    fields.clamp(USUAL_FIELDS, MAX_FIELDS)
}

/// Marks a request as in progress until dropped.
pub(crate) struct RequestGuard(Rc<ConnectionState>);

impl RequestGuard {
    pub(crate) fn body(&self, incoming: Incoming) -> RequestBody {
        RequestBody::new(incoming, self.0.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
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

impl ConnectionState {
    /// Whether no further request is to be read yet: one is in progress, or the caller does not
    /// take the answer to it.
    fn is_occupied(&self) -> bool {
        self.in_progress.get() > 0 || self.is_blocked.get()
    }

    /// Holds memory for the bytes that wait in the input, and for those that may wait behind
    /// them in the kernel.
    fn force_waiting(&self, input: &mut Input) {
        let waiting = input.bytes.capacity() + 2 * KERNEL_BUFFER_BYTES;
        if waiting > input.held {
            self.hold.force(waiting - input.held);
            input.held = waiting;
        }
    }

    /// Holds memory for the bytes that wait in the input. Returns false if there is no room.
    fn hold_waiting(&self, input: &mut Input) -> bool {
        let waiting = input.bytes.capacity();
        let has_room = if waiting > input.held {
            self.hold.add(waiting - input.held).is_ok()
        } else {
            self.hold.give_back(input.held - waiting);
            true
        };
        if has_room {
            input.held = waiting;
        }
        has_room
    }

    /// Records whether the caller takes what is written.
    fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.replace(is_blocked) == is_blocked {
            return;
        }
        let is_in_progress = self.in_progress.get() > 0;
        if is_blocked {
            self.hold.enter(Stage::Stalled);
            self.hold.force(BLOCKED_BYTES);
        } else {
            self.hold.give_back(BLOCKED_BYTES);
            self.hold.enter(if is_in_progress {
                Stage::Busy
            } else {
                Stage::Idle
            });
            self.wake_reader();
        }
    }
}
