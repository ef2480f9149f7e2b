//! Calls whose responses are read whole share a limited memory.

use bluebellreel_net::{Pool, PoolLimits, call};
use bytes::Bytes;
use http::Method;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const BODY: usize = 200_000;
/// Timeout of the call that takes the memory and gets no body.
const LONG: Duration = Duration::from_secs(5);
/// How much earlier that call begins.
const HEAD_START: Duration = Duration::from_secs(1);
/// Timeout of the call that waits for the memory.
const SHORT: Duration = Duration::from_secs(2);

/// Starts a server that answers with a head for [`BODY`] bytes, and with as many as `sent`.
fn start_server(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 4096]).expect("a request");
        assert!(read > 0);
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n").into_bytes();
        answer.resize(answer.len() + sent, b'x');
        // The caller may be gone.
        let _ = stream.write_all(&answer);
        let _ = stream.read(&mut [0; 1]);
    });
    address
}

/// A call failed while it waited for memory that another call had, as if its server were away.
#[test]
fn the_wait_for_memory_is_not_a_servers_time() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let pool = Pool::new(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: BODY,
        });
        let (stalled, sound) = (start_server(0), start_server(BODY));
        let first = pool.clone();
        let first = spawn_local(async move {
            call(&first, stalled, Method::GET, "/", Bytes::new(), LONG).await
        });
        // Its head has long come.
        sleep(HEAD_START).await;
        let answered = call(&pool, sound, Method::GET, "/", Bytes::new(), SHORT).await;
        let (_, body) = answered.expect("the server has answered");
        assert_eq!(body.len(), BODY);
        assert!(first.await.expect("it ends").is_err());
    });
}
