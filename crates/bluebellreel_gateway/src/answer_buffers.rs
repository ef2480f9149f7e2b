//! Answers that are held until they are complete.
//!
//! An answer without events is forwarded only once it is whole, so that another worker may
//! run the request if it breaks off. All answers share a limited amount of memory: beyond it
//! the largest one is given up, so that one that does not end does not take the memory of
//! those that do.

use bluebellreel_net::{Broken, ReplyBody};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum size of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum memory of all answers, in bytes: two of the largest.
const MAX_TOTAL_BYTES: usize = 2 * MAX_ANSWER_BYTES;

/// An answer that is being read.
#[derive(Debug, Default)]
struct Held {
    bytes: usize,
    given_up: Rc<Notify>,
}

/// The memory that answers take while they are read.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffers {
    held: RefCell<BTreeMap<u64, Held>>,
    next_key: Cell<u64>,
}

/// Removes an answer from the count when dropped.
struct HeldGuard<'a> {
    buffers: &'a AnswerBuffers,
    key: u64,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.buffers.held.borrow_mut().remove(&self.key);
    }
}

impl AnswerBuffers {
    /// Reads a whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the body ends early or is too long, or if it is the longest one
    /// while there is no memory for all.
    pub(crate) async fn read(&self, body: &mut ReplyBody) -> Result<Bytes, Broken> {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let given_up = Rc::<Notify>::default();
        let held = Held {
            bytes: 0,
            given_up: given_up.clone(),
        };
        self.held.borrow_mut().insert(key, held);
        let _guard = HeldGuard { buffers: self, key };
        let mut all = BytesMut::new();
        loop {
            let piece = tokio::select! {
                biased;
                () = given_up.notified() => return Err(Broken),
                piece = body.next() => piece?,
            };
            let Some(piece) = piece else {
                return Ok(all.freeze());
            };
            if all.len() + piece.len() > MAX_ANSWER_BYTES {
                return Err(Broken);
            }
            all.extend_from_slice(&piece);
            self.grow(key, all.capacity());
        }
    }

    /// Records the memory that an answer takes, and gives up the largest one if all together are too
    /// large.
    fn grow(&self, key: u64, bytes: usize) {
        let mut held = self.held.borrow_mut();
        if let Some(held) = held.get_mut(&key) {
            held.bytes = bytes;
        }
        let total: usize = held.values().map(|h| h.bytes).sum();
        if total > MAX_TOTAL_BYTES
            && let Some(largest) = held.values().max_by_key(|h| h.bytes)
        {
            largest.given_up.notify_one();
        }
    }
}
