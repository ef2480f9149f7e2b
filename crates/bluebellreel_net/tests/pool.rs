//! What servers receive of calls that are dropped, and what is left of dropped probes.

use bluebellreel_net::{Pool, PoolLimits, ProbeResult, Reuse};
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time within which the kernel sends what the receiver has room for.
const SEND_TIME: Duration = Duration::from_millis(300);

/// A call is dropped while its server reads nothing. Bytes that wait in the kernel must not
/// be delivered once the server reads again.
#[test]
fn a_dropped_call_delivers_nothing_more() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let pool = Pool::resetting(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: usize::MAX,
        });
        let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
        let req = http::Request::post("/item").body(body).expect("a request");
        let call = timeout(SEND_TIME, pool.send(to, req, Reuse::Never));
        let (call, accepted) = tokio::join!(call, listener.accept());
        assert!(call.is_err(), "the server has not answered");
        let (mut stream, _) = accepted.expect("a connection");
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received).await;
        let kind = end.expect_err("the connection is reset").kind();
        assert_eq!(kind, ErrorKind::ConnectionReset);
        assert!(received.len() < BODY_BYTES);
    });
}

/// A probe is given up while it connects, and the server ends. The next probe must not get
/// the result of the first one.
#[test]
fn a_probe_that_was_given_up_does_not_answer_for_a_later_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let pool = Pool::resetting(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: usize::MAX,
        });
        assert!(pool.probe(to).now_or_never().is_none());
        let (accepted, _) = listener.accept().await.expect("a connection");
        drop((accepted, listener));
        sleep(SEND_TIME).await;
        assert_eq!(pool.probe(to).await, ProbeResult::Refused);
    });
}

/// Guards that a call takes the late answer of a call that shared its connection.
#[test]
fn a_dedicated_connection_carries_one_call() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let pool = Pool::resetting(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: usize::MAX,
        });
        let answered = async {
            for kept in [true, false] {
                let req = http::Request::get("/").body(Full::default());
                let req = req.expect("a request");
                let sent = if kept {
                    pool.send(to, req, Reuse::Any).await
                } else {
                    let connection = pool.open(to).await.expect("a connection");
                    connection.send(req).await
                };
                let mut body = sent.expect("an answer").body;
                assert_eq!(body.whole(2).await.expect("a body"), "ok");
            }
        };
        let served = async {
            let mut ends = Vec::new();
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut buf = [0; 1024];
                assert!(stream.read(&mut buf).await.expect("a request") > 0);
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer).await.expect("written");
                let end = timeout(SEND_TIME, stream.read(&mut buf)).await;
                ends.push(end.is_ok());
            }
            ends
        };
        let ((), ends) = tokio::join!(answered, served);
        assert_eq!(ends, [false, true]);
    });
}
