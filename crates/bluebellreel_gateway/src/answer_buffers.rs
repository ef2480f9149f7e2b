//! Answers that are held until they are complete, and then until their callers have taken them.
//!
//! An answer without events is forwarded only once it is whole, so that another worker may
//! run the request if it breaks off. All answers share a limited amount of memory, which is on
//! the account of callers: beyond it
//! the largest one is given up, so that neither an answer that does not end nor a caller that
//! does not read takes the memory of the others.

use bluebellreel_net::{Account, Broken, Hold, NoRoom, ReplyBody};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::Notify;

/// Maximum size of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum memory of all answers, in bytes: two of the largest.
const MAX_TOTAL_BYTES: usize = 2 * MAX_ANSWER_BYTES;
/// Sizes of the blocks of an answer, in bytes. A block is as large as those before it within
/// these limits, and is never moved, so that growth takes no memory beside it.
const MIN_BLOCK_BYTES: usize = 4 * 1024;
const MAX_BLOCK_BYTES: usize = 128 * 1024;

/// An answer that is held.
struct Held {
    hold: Hold,
    blocks: VecDeque<BytesMut>,
    /// Memory of the blocks, in bytes.
    memory: usize,
    is_given_up: bool,
    /// Wakes the task that reads it from its worker.
    given_up: Rc<Notify>,
}

/// The answers that are held, within the memory that they may take.
pub(crate) struct AnswerBuffers {
    account: Account,
    held: RefCell<BTreeMap<u64, Held>>,
    /// Memory of all blocks, in bytes.
    memory: Cell<usize>,
    next_key: Cell<u64>,
}

/// A held answer, as a stream of its blocks. It is removed when dropped.
pub(crate) struct HeldAnswer {
    buffers: Rc<AnswerBuffers>,
    key: u64,
    len: usize,
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        if let Some(held) = self.buffers.held.borrow_mut().remove(&self.key) {
            self.buffers.memory.update(|all| all - held.memory);
        }
    }
}

impl HeldAnswer {
    /// Size of the answer, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }
}

impl Stream for HeldAnswer {
    type Item = Result<Bytes, Broken>;

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.buffers.take_block(self.key).transpose())
    }
}

impl AnswerBuffers {
    /// Buffers on an account.
    pub(crate) fn new(account: Account) -> Self {
        Self {
            account,
            held: RefCell::default(),
            memory: Cell::default(),
            next_key: Cell::default(),
        }
    }

    /// Reads a whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Broken` if the body ends early or is too long, or if it is the longest one
    /// while there is no memory for all.
    pub(crate) async fn read(self: &Rc<Self>, body: &mut ReplyBody) -> Result<HeldAnswer, Broken> {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let held = Held {
            hold: self.account.reserve(0).map_err(|NoRoom| Broken)?,
            blocks: VecDeque::new(),
            memory: 0,
            is_given_up: false,
            given_up: Rc::default(),
        };
        let given_up = held.given_up.clone();
        self.held.borrow_mut().insert(key, held);
        let mut answer = HeldAnswer {
            buffers: self.clone(),
            key,
            len: 0,
        };
        loop {
            let piece = tokio::select! {
                biased;
                () = given_up.notified() => return Err(Broken),
                piece = body.next() => piece?,
            };
            let Some(piece) = piece else {
                return Ok(answer);
            };
            if answer.len + piece.len() > MAX_ANSWER_BYTES {
                return Err(Broken);
            }
            self.append(key, &piece)?;
            answer.len += piece.len();
        }
    }

    fn append(&self, key: u64, mut piece: &[u8]) -> Result<(), Broken> {
        while !piece.is_empty() {
            let spare = self.spare(key)?;
            let (now, rest) = piece.split_at(spare.min(piece.len()));
            let mut all = self.held.borrow_mut();
            let held = all.get_mut(&key).filter(|held| !held.is_given_up);
            let last = held.and_then(|held| held.blocks.back_mut());
            last.ok_or(Broken)?.extend_from_slice(now);
            piece = rest;
        }
        Ok(())
    }

    /// Room in an answer's last block, or in a new one if that is full.
    fn spare(&self, key: u64) -> Result<usize, Broken> {
        let memory = {
            let all = self.held.borrow();
            let held = all.get(&key).filter(|held| !held.is_given_up);
            let held = held.ok_or(Broken)?;
            let last = held.blocks.back();
            let spare = last.map_or(0, |last| last.capacity() - last.len());
            if spare > 0 {
                return Ok(spare);
            }
            held.memory
        };
        let size = memory.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
        self.make_room(key, size)?;
        let mut all = self.held.borrow_mut();
        let held = all.get_mut(&key).ok_or(Broken)?;
        held.hold.add(size).map_err(|NoRoom| Broken)?;
        held.blocks.push_back(BytesMut::with_capacity(size));
        held.memory += size;
        self.memory.update(|all| all + size);
        Ok(size)
    }

    /// Gives up the largest answers until one may grow, at the most that one itself.
    fn make_room(&self, key: u64, size: usize) -> Result<(), Broken> {
        let mut all = self.held.borrow_mut();
        while self.memory.get() + size > MAX_TOTAL_BYTES {
            let memory = |(k, held): (&u64, &Held)| held.memory + if *k == key { size } else { 0 };
            let largest = all.iter().max_by_key(|(k, held)| memory((k, held)));
            let largest = largest.map(|(k, _)| *k).filter(|k| *k != key);
            let held = largest.and_then(|largest| all.get_mut(&largest));
            let held = held.ok_or(Broken)?;
            self.memory.update(|all| all - held.memory);
            held.blocks.clear();
            held.hold.give_back(held.memory);
            held.memory = 0;
            held.is_given_up = true;
            held.given_up.notify_one();
        }
        Ok(())
    }

    /// Takes the first block of an answer.
    fn take_block(&self, key: u64) -> Result<Option<Bytes>, Broken> {
        let mut all = self.held.borrow_mut();
        let held = all.get_mut(&key).filter(|held| !held.is_given_up);
        let held = held.ok_or(Broken)?;
        let Some(block) = held.blocks.pop_front() else {
            return Ok(None);
        };
        held.memory -= block.capacity();
        held.hold.give_back(block.capacity());
        self.memory.update(|all| all - block.capacity());
        Ok(Some(block.freeze()))
    }
}
