//! The incoming bytes of a connection, on an account while their message is incomplete.

use bluebellreel_net::{Account, Hold, NoRoom, Stage};
use futures::io::AsyncRead;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Memory of a connection and its buffers, in bytes.
const CONNECTION_BYTES: usize = 32 * 1024;
const WORD_BYTES: u64 = 8;
/// Maximum number of segments of a message; the library refuses more.
const MAX_SEGMENTS: u32 = 512;

/// Which part of a message comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// A number of four bytes: the count of the segments less one, then the words of each, then
    /// padding to a whole word.
    Number {
        index: u32,
        bytes: [u8; 4],
        filled: usize,
    },
    /// The segments, of which this many bytes are left.
    Segments { left: u64 },
}

const FIRST: Part = Part::Number {
    index: 0,
    bytes: [0; 4],
    filled: 0,
};

/// Looks for the ends of messages in a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Messages {
    part: Part,
    /// Segments of the message.
    segments: u32,
    /// Bytes of the segments so far.
    size: u64,
}

impl Default for Messages {
    fn default() -> Self {
        Self {
            part: FIRST,
            segments: 0,
            size: 0,
        }
    }
}

impl Messages {
    /// Takes the next bytes.
    pub(crate) fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let taken = self.take_part(bytes);
            bytes = &bytes[taken..];
        }
    }

    /// Size in bytes of the message that is incomplete, if there is one. The library allocates
    /// it when the message begins.
    pub(crate) fn incomplete(&self) -> Option<u64> {
        (self.part != FIRST).then_some(self.size)
    }

    fn take_part(&mut self, next: &[u8]) -> usize {
        match &mut self.part {
            Part::Segments { left } => {
                let taken = usize::try_from(*left).unwrap_or(usize::MAX).min(next.len());
                *left -= taken as u64;
                if *left == 0 {
                    *self = Self::default();
                }
                taken
            }
            Part::Number {
                index,
                bytes,
                filled,
            } => {
                bytes[*filled] = next[0];
                *filled += 1;
                if *filled == bytes.len() {
                    let (index, number) = (*index, u32::from_le_bytes(*bytes));
                    self.end_number(index, number);
                }
                1
            }
        }
    }

    fn end_number(&mut self, index: u32, number: u32) {
        if index == 0 {
            self.segments = number.min(MAX_SEGMENTS) + 1;
        } else if index <= self.segments {
            self.size += u64::from(number) * WORD_BYTES;
        }
        let index = index + 1;
        // The table is padded to a whole word.
        self.part = if index < (1 + self.segments).next_multiple_of(2) {
            Part::Number {
                index,
                bytes: [0; 4],
                filled: 0,
            }
        } else if self.size > 0 {
            Part::Segments { left: self.size }
        } else {
            FIRST
        };
        if self.part == FIRST {
            *self = Self::default();
        }
    }
}

/// The incoming bytes of a connection.
pub(crate) struct Accounted<R> {
    reader: R,
    messages: Messages,
    hold: Hold,
}

impl<R> Accounted<R> {
    /// Reads from a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the account has no room for it.
    pub(crate) fn new(reader: R, account: &Account) -> Result<Self, NoRoom> {
        Ok(Self {
            reader,
            messages: Messages::default(),
            hold: account.connect(CONNECTION_BYTES)?,
        })
    }

    fn count(&mut self, bytes: &[u8]) -> Result<(), NoRoom> {
        let was_complete = self.messages.incomplete().is_none();
        self.messages.take(bytes);
        let Some(size) = self.messages.incomplete() else {
            self.hold.enter(Stage::Idle);
            return self.hold.set_memory(CONNECTION_BYTES);
        };
        if was_complete {
            self.hold.enter(Stage::Head);
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        self.hold.set_memory(CONNECTION_BYTES.saturating_add(size))
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Accounted<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.hold.set_reader(cx.waker());
        if this.hold.is_evicted() {
            // The connection ends as if the peer had closed it.
            return Poll::Ready(Ok(0));
        }
        let read = ready!(Pin::new(&mut this.reader).poll_read(cx, buf))?;
        if this.count(&buf[..read]).is_err() {
            let reason = "no room for the message";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, reason)));
        }
        Poll::Ready(Ok(read))
    }
}
