//! Calls to servers that break a response off at any byte and close the connection.

use bluebellreel_net::{Pool, PoolLimits, Reuse};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Size limit of a body, in bytes.
const MAX_BYTES: usize = 4096;
const LIMITS: PoolLimits = PoolLimits {
    connect: Duration::from_secs(1),
    idle: Duration::from_secs(1),
    idle_per_address: 1,
    memory: usize::MAX,
};
/// A whole response that leaves its connection open.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Responses to break off. Those after the first three end with their connection.
const RESPONSES: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 12\r\n\r\nhello world!",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n11\r\n, and more events\r\n0\r\nX-Sum: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nhello world!",
    "HTTP/1.0 200 OK\r\nX-Id: r1\r\n\r\nhello world!",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello world!",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello world!",
];
const FRAMED: usize = 3;

fn read_request(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        let mut buf = [0; 1024];
        let count = stream.read(&mut buf).expect("a request");
        assert!(count > 0, "the caller has left");
        read.extend_from_slice(&buf[..count]);
    }
}

/// Starts a server that answers one request on a connection, the second one if `kept`, with
/// `bytes`, and then closes the connection in order.
fn start_server(bytes: &'static [u8], kept: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        if kept {
            read_request(&mut stream);
            stream.write_all(WHOLE.as_bytes()).expect("written");
        }
        read_request(&mut stream);
        stream.write_all(bytes).expect("written");
        stream.shutdown(Shutdown::Write).expect("closed");
        // Until the caller has closed its side.
        let _ = stream.read(&mut [0; 16]);
    });
    address
}

/// The response to a call, and whether its end shows that it is complete.
async fn call(pool: &Pool, to: SocketAddr) -> Option<(Response<Bytes>, bool)> {
    let req = Request::builder().uri("/").header("host", "worker");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let mut reply = pool.send(to, req, Reuse::Any).await.ok()?;
    let body = reply.body.whole(MAX_BYTES).await.ok()?;
    let is_framed = !reply.body.is_unframed();
    Some((Response::from_parts(reply.head, body), is_framed))
}

async fn call_broken_off(bytes: &'static [u8], kept: bool) -> Option<(Response<Bytes>, bool)> {
    let pool = Pool::new(LIMITS);
    let to = start_server(bytes, kept);
    let called = async {
        if kept {
            call(&pool, to).await.expect("the first response is whole");
        }
        call(&pool, to).await
    };
    timeout(TIMEOUT, called).await.expect("the call ends")
}

/// Guards that a response of a keeper or peer counts as whole without a length or chunks.
#[test]
fn a_call_without_framing_fails() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        for (n, response) in RESPONSES.into_iter().enumerate() {
            let pool = Pool::new(LIMITS);
            let to = start_server(response.as_bytes(), false);
            let called = bluebellreel_net::call(&pool, to, Method::GET, "/", Bytes::new(), TIMEOUT);
            assert_eq!(called.await.is_ok(), n < FRAMED, "{response:?}");
        }
    });
}

/// Guards that a response whose head, length, chunks or trailers are broken off counts as
/// whole, on a new connection or a kept one.
#[test]
fn a_response_that_is_broken_off_is_not_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        for (n, response) in RESPONSES.into_iter().enumerate() {
            for (length, kept) in (0..=response.len()).flat_map(|l| [(l, false), (l, true)]) {
                let prefix = &response[..length];
                let called = call_broken_off(prefix.as_bytes(), kept).await;
                let has_head = prefix.contains("200") && prefix.contains("\r\n\r\n");
                let is_whole = length == response.len();
                match called {
                    Some((answer, true)) => {
                        assert!(n < FRAMED && is_whole, "{prefix:?} is taken for {answer:?}");
                    }
                    Some((answer, false)) => {
                        assert!(
                            n >= FRAMED && has_head,
                            "{prefix:?} is taken for {answer:?}"
                        );
                        assert_eq!(answer.status(), StatusCode::OK);
                    }
                    None => assert!(!is_whole, "{prefix:?} is whole"),
                }
            }
        }
    });
}
