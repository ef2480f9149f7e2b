//! How far a server is open, and what is going on in it.
//!
//! A server goes through its phases in one direction: open; leaving, when it
//! takes whatever comes but each answer closes its connection; closed, when
//! nobody can connect any more and idle connections are closed. It is gone once
//! its listener and all connections are.

use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// How far a server is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Connections are kept.
    Open,
    /// Each answer closes its connection.
    Leaving,
    /// No new connections; idle ones are closed.
    Closed,
}

/// Shared by the listener's thread and those of connections.
pub(crate) struct Gate {
    phase: AtomicU8,
    in_progress: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    /// Readable for everybody once its other end is dropped.
    pub(crate) woken: UnixStream,
    waker: Mutex<Option<UnixStream>>,
}

/// Counts something as long as it lives, even if its thread panics.
pub(crate) struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Gate {
    pub(crate) fn new() -> std::io::Result<Self> {
        let (woken, waker) = UnixStream::pair()?;
        Ok(Self {
            phase: AtomicU8::new(Phase::Open as u8),
            in_progress: Arc::default(),
            open: Arc::default(),
            woken,
            waker: Mutex::new(Some(waker)),
        })
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Open,
            1 => Phase::Leaving,
            _ => Phase::Closed,
        }
    }

    /// Goes on to a phase, never back.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
        if phase == Phase::Closed {
            let mut waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner);
            waker.take();
        }
    }

    /// Requests whose first byte has come and whose answer is not yet written.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// The listener and the connections that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    pub(crate) fn count_request(&self) -> Counted {
        Counted::new(&self.in_progress)
    }

    pub(crate) fn count_open(&self) -> Counted {
        Counted::new(&self.open)
    }
}
