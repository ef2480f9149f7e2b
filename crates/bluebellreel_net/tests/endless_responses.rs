//! Calls to servers whose responses have no end: keepers, peers and the store as much as
//! workers.

use bluebellreel_net::{Pool, PoolLimits, call};
use bytes::Bytes;
use http::Method;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;

/// Timeout of a call, which must not be what ends it.
const TIMEOUT: Duration = Duration::from_mins(2);
/// Number of pieces that a server writes at once.
const BLOCK: usize = 1024;

/// Starts a server that answers one request with `start` and then `piece` without end.
fn start_flood(start: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4096]).expect("a request");
        assert!(read > 0);
        let block = piece.repeat(BLOCK);
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() {
            written = stream.write_all(block.as_bytes());
        }
    });
    address
}

fn assert_call_fails(start: &'static str, piece: &'static str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let pool = Pool::new(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: usize::MAX,
        });
        let to = start_flood(start, piece);
        let called = call(&pool, to, Method::GET, "/", Bytes::new(), TIMEOUT).await;
        let reason = called.expect_err("the response has no end");
        assert!(!reason.contains("timeout"), "{reason}");
    });
}

/// Heads that do not end, or that are never the response's own.
#[test]
fn a_call_fails_when_its_head_has_no_end() {
    assert_call_fails("HTTP/1.1 200 OK\r\n", "X-Line: more\r\n");
    assert_call_fails("HTTP/1.1 200 OK\r\nX-Long: ", "more and ");
    assert_call_fails("", "HTTP/1.1 100 Continue\r\n\r\n");
}

/// Bodies that do not end, and chunks whose framing does not.
#[test]
fn a_call_fails_when_its_body_has_no_end() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_call_fails("HTTP/1.1 200 OK\r\n\r\n", "more and ");
    assert_call_fails(CHUNKED, "9\r\nmore and \r\n");
    assert_call_fails(CHUNKED, "1\r\nx\r\n");
    assert_call_fails(CHUNKED, "0");
    assert_call_fails(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "x=y;",
    );
    assert_call_fails(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X: y\r\n",
    );
}
