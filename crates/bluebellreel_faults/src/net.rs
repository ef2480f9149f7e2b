//! Messages in flight between entry daemons and side processes.

use bluebellreel_rpc::{EntryCommand, SideCommand};
use bluebellreel_types::{Dispatch, EntryName, Moment};
use std::collections::VecDeque;

/// The connection between an entry daemon and a side process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// Index of the entry daemon.
    pub entry: usize,
    /// Index of the side process.
    pub side: usize,
}

/// The contents of a message.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A command from the entry daemon.
    ToSide(EntryCommand),
    /// Batch items in response to a pull.
    Items(EntryName, Vec<Dispatch>),
    /// A command from the side process.
    ToEntry(SideCommand),
}

/// A message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The connection on which the message was sent.
    pub link: Link,
    /// Time of arrival.
    pub at: Moment,
    /// The contents.
    pub payload: Payload,
    /// Whether the message is delayed by a fault. A delayed message arrives even after
    /// its connection was lost.
    pub delayed: bool,
}

/// All messages in flight.
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
    pub fn take_arrived(&mut self, now: Moment) -> Option<Envelope> {
        let index = self.queue.iter().position(|e| e.at.is_past(now))?;
        self.queue.remove(index)
    }

    /// Puts unread messages back to the front of the queue, so that each connection
    /// keeps its order.
    pub fn put_back(&mut self, unread: Vec<Envelope>) {
        for envelope in unread.into_iter().rev() {
            self.queue.push_front(envelope);
        }
    }

    /// Drops a lost connection's messages, except for delayed ones.
    pub fn drop_link(&mut self, link: Link) {
        self.queue.retain(|e| e.link != link || e.delayed);
    }
}
