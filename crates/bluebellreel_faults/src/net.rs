//! Messages on their way between entry daemons and side processes.

use bluebellreel_rpc::{EntryCommand, SideCommand};
use bluebellreel_types::{Dispatch, EntryName, Moment};
use std::collections::VecDeque;

/// One end of a message's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The entry daemon.
    pub entry: usize,
    /// The side process.
    pub side: usize,
}

/// A message.
#[derive(Clone, Debug)]
pub enum Payload {
    /// From the entry daemon.
    ToSide(EntryCommand),
    /// Batch items handed out to a pull.
    Items(EntryName, Vec<Dispatch>),
    /// From the side process.
    ToEntry(SideCommand),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Between whom.
    pub link: Link,
    /// When it arrives.
    pub at: Moment,
    /// The message.
    pub payload: Payload,
    /// Whether it outlives its connection: a message that was held up.
    pub delayed: bool,
}

/// All messages on their way.
#[derive(Clone, Debug, Default)]
pub struct Net {
    queue: VecDeque<Envelope>,
}

impl Net {
    /// Sends a message.
    pub fn send(&mut self, envelope: Envelope) {
        self.queue.push_back(envelope);
    }

    /// Takes the first message that has arrived.
    pub fn arrived(&mut self, now: Moment) -> Option<Envelope> {
        let index = self.queue.iter().position(|e| e.at.is_past(now))?;
        self.queue.remove(index)
    }

    /// Puts messages back that their receiver has not read yet, before all
    /// others: a connection keeps its order.
    pub fn put_back(&mut self, unread: Vec<Envelope>) {
        for envelope in unread.into_iter().rev() {
            self.queue.push_front(envelope);
        }
    }

    /// A connection is gone, and with it all messages on it but delayed ones.
    pub fn cut(&mut self, link: Link) {
        self.queue.retain(|e| e.link != link || e.delayed);
    }
}
