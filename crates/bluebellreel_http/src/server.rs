//! Accepting connections, and the order of a stop.

use crate::Request;
use crate::connection::{Serving, run};
use crate::gate::{Gate, Phase};
use crate::listen::{accept_all, listen};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

/// Stack of a connection's thread.
const STACK: usize = 512 << 10;

/// A running server.
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    gate: Arc<Gate>,
}

impl HttpServer {
    /// Requests in progress: from their first byte to the last of the answer.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.gate.in_progress()
    }

    /// Goes on taking whatever comes, but closes each connection with the next
    /// answer, so that callers go elsewhere.
    pub fn leave(&self) {
        self.gate.advance(Phase::Leaving);
    }

    /// Stops accepting and closes idle connections; requests in progress go on
    /// and are answered.
    pub fn stop(&self) {
        self.gate.advance(Phase::Closed);
    }

    /// Whether nobody can connect any more and all connections are closed.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.gate.open() == 0
    }
}

/// Listens at an address and hands each request to `handle` on the thread of
/// its connection, at most `threads` at one time.
///
/// # Errors
///
/// Gives the system's error when the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    threads: usize,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<HttpServer> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let gate = Arc::new(Gate::new()?);
    let cx = Arc::new(Serving {
        gate: gate.clone(),
        threads,
        handle,
    });
    let open = gate.count_open();
    thread::Builder::new()
        .name("http-accept".into())
        .spawn(move || {
            accept_all(&listener, &cx.gate, |stream| spawn(stream, &cx));
            drop(listener);
            drop(open);
        })?;
    Ok(HttpServer { address, gate })
}

fn spawn<H: Fn(Request) + Send + Sync + 'static>(stream: TcpStream, cx: &Arc<Serving<H>>) {
    let cx = cx.clone();
    // Counted here: between the accept and the thread's first step it is open.
    let open = cx.gate.count_open();
    let spawned = thread::Builder::new()
        .name("http-request".into())
        .stack_size(STACK)
        .spawn(move || {
            run(stream, &cx);
            drop(open);
        });
    if let Err(e) = spawned {
        log::error!(target: "http", error:% = e; "No thread for a connection.");
    }
}
