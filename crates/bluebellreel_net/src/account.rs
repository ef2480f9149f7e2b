//! Accounts of what callers make a process hold: memory and connections.
//!
//! Each connection has a [`Hold`] on the account of its listener. When the account is short, it
//! closes connections that hold much and get least ahead. A request that is being processed is
//! never ended for another one: if nothing else can be closed, the one that asks is refused.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a caller may take nothing of its answer before its connection may be closed for
/// others.
const STALL_TIME: Duration = Duration::from_secs(1);
/// What those that were asked to let go may still hold beyond the limits, as a fraction of these.
const CLOSING_FRACTION: usize = 8;

/// What callers may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Memory in bytes, kernel buffers included.
    pub memory: usize,
    /// Connections.
    pub connections: usize,
}

impl AccountLimits {
    /// No limits.
    pub const NONE: Self = Self {
        memory: usize::MAX,
        connections: usize::MAX,
    };
}

/// The account has no room, also not by closing others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// What a holder does, in the order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// A request's head is incomplete, or none has begun on a new connection.
    Head,
    /// The connection is kept for a further request.
    Idle,
    /// A request's body is incomplete.
    Body,
    /// The caller does not take its answer.
    Stalled,
    /// A request is being processed.
    Busy,
}

/// Whether a holder was asked to let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Stays,
    /// Its request is to be refused.
    Refused,
    /// Its connection is to be closed.
    Closed,
}

struct Holder {
    stage: Cell<Stage>,
    /// When the stage began.
    since: Cell<Instant>,
    memory: Cell<usize>,
    is_connection: bool,
    verdict: Cell<Verdict>,
    closed: Notify,
    /// Wakes what reads for the holder.
    reader: RefCell<Option<Waker>>,
}

impl Holder {
    /// Whether it may be closed for others.
    fn is_evictable(&self, now: Instant) -> bool {
        let stays = self.verdict.get() == Verdict::Stays;
        stays
            && match self.stage.get() {
                Stage::Head | Stage::Idle | Stage::Body => true,
                Stage::Stalled => now >= self.since.get() + STALL_TIME,
                Stage::Busy => false,
            }
    }
}

/// A limit, together with what those that were asked to let go may still hold.
fn with_closing(limit: usize) -> usize {
    limit.saturating_add(limit / CLOSING_FRACTION)
}

struct Inner {
    limits: AccountLimits,
    holders: RefCell<BTreeMap<u64, Rc<Holder>>>,
    next_key: Cell<u64>,
    /// Memory, without what is held by those that were asked to let go.
    memory: Cell<usize>,
    /// Memory of those that were asked to let go.
    closing: Cell<usize>,
    /// Connections, without those that were asked to let go.
    connections: Cell<usize>,
    evicted: Cell<u64>,
    refused: Cell<u64>,
}

/// An account of memory and connections.
#[derive(Clone)]
pub struct Account(Rc<Inner>);

impl Account {
    /// An account with nothing on it.
    #[must_use]
    pub fn new(limits: AccountLimits) -> Self {
        Self(Rc::new(Inner {
            limits,
            holders: RefCell::default(),
            next_key: Cell::default(),
            memory: Cell::default(),
            closing: Cell::default(),
            connections: Cell::default(),
            evicted: Cell::default(),
            refused: Cell::default(),
        }))
    }

    /// Memory on the account, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.0.memory.get()
    }

    /// Number of connections, without those that were asked to let go.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    /// Memory that the account may have, in bytes.
    #[must_use]
    pub fn memory_limit(&self) -> usize {
        self.0.limits.memory
    }

    /// Number of connections and requests that were closed for others.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.0.evicted.get()
    }

    /// Number of requests for room that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    /// A hold of memory for a request that is being processed.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for `memory` bytes.
    pub fn reserve(&self, memory: usize) -> Result<Hold, NoRoom> {
        let hold = self.hold(Stage::Busy, false);
        hold.set_memory(memory)?;
        Ok(hold)
    }

    /// A hold of memory that is taken also where there is no room for it.
    #[must_use]
    pub fn take(&self, memory: usize) -> Hold {
        let hold = self.hold(Stage::Busy, false);
        hold.count(memory);
        hold
    }

    /// A hold of a new connection, which may be closed for others.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn connect(&self, memory: usize) -> Result<Hold, NoRoom> {
        let inner = &self.0;
        let limit = inner.limits.connections;
        if inner.connections.get() >= limit {
            let now = Instant::now();
            let holders = inner.holders.borrow();
            let connections = holders.values().filter(|h| h.is_connection);
            if connections.clone().count() > with_closing(limit) {
                return Err(inner.refuse());
            }
            let victim = connections
                .filter(|h| h.is_evictable(now))
                .min_by_key(|h| (h.stage.get(), h.since.get()));
            let victim = victim.cloned();
            drop(holders);
            let victim = victim.ok_or_else(|| inner.refuse())?;
            inner.evict(&victim);
        }
        let hold = self.hold(Stage::Head, true);
        hold.set_memory(memory)?;
        Ok(hold)
    }

    fn hold(&self, stage: Stage, is_connection: bool) -> Hold {
        let inner = &self.0;
        let holder = Rc::new(Holder {
            stage: Cell::new(stage),
            since: Cell::new(Instant::now()),
            memory: Cell::new(0),
            is_connection,
            verdict: Cell::new(Verdict::Stays),
            closed: Notify::new(),
            reader: RefCell::default(),
        });
        let key = inner.next_key.replace(inner.next_key.get() + 1);
        inner.holders.borrow_mut().insert(key, holder.clone());
        if is_connection {
            inner.connections.update(|n| n + 1);
        }
        Hold {
            account: self.clone(),
            key,
            holder,
        }
    }
}

impl Inner {
    fn refuse(&self) -> NoRoom {
        self.refused.update(|n| n + 1);
        NoRoom
    }

    /// Asks a holder to let go.
    fn evict(&self, holder: &Holder) {
        self.evicted.update(|n| n + 1);
        self.memory.update(|all| all - holder.memory.get());
        self.closing.update(|all| all + holder.memory.get());
        if holder.is_connection {
            self.connections.update(|n| n - 1);
        }
        let is_body = holder.stage.get() == Stage::Body;
        holder.verdict.set(if is_body {
            Verdict::Refused
        } else {
            Verdict::Closed
        });
        holder.closed.notify_one();
        if let Some(reader) = holder.reader.take() {
            reader.wake();
        }
    }

    /// Makes room for `more` bytes of a holder, which may be evicted itself.
    fn make_room(&self, asking: &Rc<Holder>, more: usize) -> Result<(), NoRoom> {
        let now = Instant::now();
        while self.memory.get().saturating_add(more) > self.limits.memory {
            let victim = self.largest(asking, more, now);
            let victim = victim.ok_or_else(|| self.refuse())?;
            if Rc::ptr_eq(&victim, asking) {
                return Err(self.refuse());
            }
            self.evict(&victim);
        }
        let all = self.memory.get() + self.closing.get();
        if all.saturating_add(more) > with_closing(self.limits.memory) {
            return Err(self.refuse());
        }
        Ok(())
    }

    /// Of the holders with at least half as much as the largest one, that whose stage has lasted
    /// longest.
    fn largest(&self, asking: &Rc<Holder>, more: usize, now: Instant) -> Option<Rc<Holder>> {
        let holders = self.holders.borrow();
        let memory = |holder: &Rc<Holder>| {
            let more = if Rc::ptr_eq(holder, asking) { more } else { 0 };
            holder.memory.get() + more
        };
        let evictable = || holders.values().filter(|h| h.is_evictable(now));
        let most = evictable().map(memory).max()?;
        let large = evictable().filter(|h| memory(h) >= most / 2);
        large.min_by_key(|h| h.since.get()).cloned()
    }
}

/// What one holder has on an account, until dropped.
pub struct Hold {
    account: Account,
    key: u64,
    holder: Rc<Holder>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.give_back(usize::MAX);
        let inner = &self.account.0;
        inner.holders.borrow_mut().remove(&self.key);
        if self.holder.is_connection && !self.is_evicted() {
            inner.connections.update(|n| n - 1);
        }
    }
}

impl Hold {
    /// Changes how much memory is held, in bytes.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if there is no room.
    pub fn set_memory(&self, memory: usize) -> Result<(), NoRoom> {
        let held = self.holder.memory.get();
        if memory > held {
            if self.is_evicted() {
                return Err(NoRoom);
            }
            self.account.0.make_room(&self.holder, memory - held)?;
        }
        self.count(memory);
        Ok(())
    }

    /// Changes how much memory is held by some bytes.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if there is no room.
    pub fn add(&self, memory: usize) -> Result<(), NoRoom> {
        self.set_memory(self.holder.memory.get().saturating_add(memory))
    }

    /// Holds more memory, in bytes, also where there is no room for it.
    pub fn force(&self, memory: usize) {
        if self.add(memory).is_err() {
            self.count(self.holder.memory.get() + memory);
        }
    }

    /// Counts what is held from now on.
    fn count(&self, memory: usize) {
        let held = self.holder.memory.replace(memory);
        let inner = &self.account.0;
        let all = if self.is_evicted() {
            &inner.closing
        } else {
            &inner.memory
        };
        all.update(|all| all - held + memory);
    }

    /// Gives memory back, in bytes.
    pub fn give_back(&self, memory: usize) {
        let held = self.holder.memory.get();
        // Holding less needs no room.
        let _ = self.set_memory(held.saturating_sub(memory));
    }

    pub(crate) fn stage(&self) -> Stage {
        self.holder.stage.get()
    }

    /// Begins a stage, unless it is in that stage.
    pub fn enter(&self, stage: Stage) {
        if self.holder.stage.replace(stage) != stage {
            self.holder.since.set(Instant::now());
        }
    }

    /// Whether it was asked to let go.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.holder.verdict.get() != Verdict::Stays
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        while self.holder.verdict.get() != Verdict::Closed {
            self.holder.closed.notified().await;
        }
    }

    /// Sets what is woken when the holder is asked to let go.
    pub fn set_reader(&self, reader: &Waker) {
        let mut known = self.holder.reader.borrow_mut();
        if !known.as_ref().is_some_and(|known| known.will_wake(reader)) {
            *known = Some(reader.clone());
        }
    }
}
