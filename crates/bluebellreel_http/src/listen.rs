//! The listening socket, from its bind to its close.

use crate::gate::Gate;
use crate::wait::{Ready, has_something, wait};
use socket2::{Domain, Protocol, SockAddr, SockFilter, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 1_024;
/// Silence after which a caller's machine is probed.
const KEEPALIVE: Duration = Duration::from_secs(20);
/// Pause after a connection that could not be accepted, as when the process
/// has too many files open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Quiet after which no connection is under way any more: some round trips
/// within a data centre.
const DRAIN_QUIET: Duration = Duration::from_millis(20);
/// Longest time for the connections under way, should they not end.
const LONGEST_DRAIN: Duration = Duration::from_millis(500);

/// Drops what asks for a new connection and lets all else pass.
const NO_NEW: [SockFilter; 4] = [
    // The flags of the TCP header.
    SockFilter::new(0x30, 0, 0, 13),
    // SYN: drop it, else skip that.
    SockFilter::new(0x45, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    // Accepted connections take this over: a caller's machine that is lost
    // without a word frees its thread after some probes.
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE / 4);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Accepts connections until the server closes, then those under way.
///
/// Guards against connections that the system has made and nobody has accepted
/// when the listener is closed: they would be reset, whatever was sent on them.
/// First nobody can connect any more, then what is there is accepted; whoever
/// tries meanwhile is refused once the listener is closed, and knows that
/// nothing was sent.
pub(crate) fn accept_all(listener: &TcpListener, gate: &Gate, serve: impl Fn(TcpStream)) {
    while wait(listener, &gate.woken) == Ready::Socket {
        accept_one(listener, &serve);
    }
    if let Err(e) = SockRef::from(listener).attach_filter(&NO_NEW) {
        log::warn!(target: "http", error:% = e; "New connections cannot be held off in a stop.");
    }
    let until = Instant::now() + LONGEST_DRAIN;
    while Instant::now() < until && has_something(listener, DRAIN_QUIET) {
        accept_one(listener, &serve);
    }
}

fn accept_one(listener: &TcpListener, serve: &impl Fn(TcpStream)) {
    match listener.accept() {
        Ok((stream, _)) => serve(stream),
        // Whoever was there has gone away again.
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => {
            log::warn!(target: "http", error:% = e; "A connection could not be accepted.");
            thread::sleep(ACCEPT_PAUSE);
        }
    }
}
