//! How a stopping server treats its connections, checked on the bytes that callers
//! see.

mod raw;

use raw::{Caller, End, Server, TIMEOUT};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

const LATER: &str = "GET /later HTTP/1.1\r\nhost: a\r\n\r\n";
/// A request with half of the body that its `Content-Length` states.
const HALF_BODY: &str = "POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf";

/// Whether these bytes are exactly one complete response that carries `Connection:
/// close`.
fn is_last(answer: &str, body: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ")
        && answer.to_lowercase().contains("\r\nconnection: close\r\n")
        && answer.ends_with(body)
        && answer.matches("HTTP/1.1").count() == 1
}

#[test]
fn an_idle_connection_is_closed_at_once() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_request().await;
        server.stop.close();
        assert_eq!(caller.read_to_end().await, (String::new(), End::Closed));
        server
            .wait_until("none is open", |s| s.served.open() == 0)
            .await;
    });
}

/// Guards against taking a connection with unread bytes for an idle one. A caller
/// sends the next request on its open connection just as the server stops: the
/// kernel has the bytes, the server has not polled. The connection was reset
/// without a response, and the caller could not tell whether the request had run.
#[test]
fn a_request_that_came_before_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_request().await;
        caller.write(LATER);
        server.stop.close();
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Guards against dropping a half-read request: the rest of the request's head
/// arrives shortly after the close. The server had read the first half and dropped
/// it.
#[test]
fn a_request_half_read_at_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_request().await;
        let (first, rest) = LATER.split_at(20);
        caller.write(first);
        sleep(Duration::from_millis(50)).await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        caller.write(rest);
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

#[test]
fn a_first_request_half_read_at_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        let (first, rest) = LATER.split_at(20);
        caller.write(first);
        sleep(Duration::from_millis(50)).await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        caller.write(rest);
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

#[test]
fn a_request_whose_body_comes_after_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_request().await;
        caller.write(HALF_BODY);
        server
            .wait_until("it is taken", |s| s.taken.borrow().len() == 2)
            .await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        caller.write("half");
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/bodyhalfhalf"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Guards against closing a new connection whose first request is on its way when
/// the server stops. The server closed it because it had not read anything from it
/// yet.
#[test]
fn a_new_connection_is_given_its_first_request() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        server.stop.close();
        sleep(Duration::from_millis(100)).await;
        caller.write(LATER);
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Guards against dropping a pipelined request. A caller writes two requests at
/// once, and the server stops during the first response, whose head did not
/// announce the end of the connection. The second request had been read by then
/// and was dropped without a response.
#[test]
fn a_request_behind_another_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        caller.write(&format!("GET /held HTTP/1.1\r\nhost: a\r\n\r\n{LATER}"));
        server.wait_until("it has begun", |s| s.held.get()).await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        server.release.notify_one();
        let (answers, end) = caller.read_to_end().await;
        let (first, second) = answers
            .split_once("end\r\n0\r\n\r\n")
            .expect("a first answer");
        assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
        assert!(is_last(second, "/later"), "{second:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// After a response with `Connection: close`, no further request on that connection
/// runs: the caller sends it again elsewhere.
#[test]
fn nothing_runs_behind_the_last_answer() {
    Server::test(|server| async move {
        server.stop.close();
        let mut caller = server.connect().await;
        caller.write(&LATER.repeat(3));
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
        assert_eq!(*server.taken.borrow(), ["/later"]);
    });
}

/// Guards against resetting a connection with unread bytes. A stopping server
/// refuses a request whose long body is still being sent. Closing the connection
/// with unread bytes reset it, so that the caller saw no refusal and could not tell
/// that the request had not run.
#[test]
fn a_refusal_outlives_the_body_that_nobody_reads() {
    Server::test(|server| async move {
        server.stop.close();
        let mut caller = server.connect().await;
        let length = 1 << 20;
        caller.write(&format!(
            "POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n"
        ));
        server
            .wait_until("it is taken", |s| !s.taken.borrow().is_empty())
            .await;
        sleep(Duration::from_millis(50)).await;
        let sent = timeout(TIMEOUT, caller.0.write_all(&vec![b'x'; length])).await;
        assert!(matches!(sent, Ok(Ok(()))), "{sent:?}");
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/refused"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Guards against connections that delay a stop: callers that connect and send
/// nothing, or only part of a request's head, delayed it until its deadline.
#[test]
fn silent_callers_do_not_hold_a_stop() {
    Server::test(|server| async move {
        let silent = server.connect().await;
        let half = server.connect().await;
        half.write(&LATER[..20]);
        let kept = server.connect_and_request().await;
        kept.write(&LATER[..20]);
        server.stop.close();
        server
            .wait_until("none is open", |s| s.served.open() == 0)
            .await;
        drop((silent, half, kept));
    });
}

/// Guards against delays of a stop by callers that connect after the close and send
/// nothing, or only part of a request's head.
#[test]
fn late_silent_callers_do_not_hold_a_stop() {
    Server::test(|server| async move {
        server.stop.close();
        let silent = server.connect().await;
        let half = server.connect().await;
        half.write(&LATER[..20]);
        server
            .wait_until("none is open", |s| s.served.open() == 0)
            .await;
        drop((silent, half));
    });
}

/// Guards against losing requests in the accept queue: closing the listener reset
/// connections that had not been accepted yet, together with their requests.
#[test]
fn what_waits_to_be_accepted_is_served() {
    Server::test(|server| async move {
        let address = server.address;
        let connect = move || {
            let stream = std::net::TcpStream::connect(address)?;
            stream.set_nonblocking(true)?;
            tokio::net::TcpStream::from_std(stream)
        };
        let mut caller = Caller(connect().expect("listened on"));
        caller.0.writable().await.expect("connected");
        // The server's task does not run between this connect and the close of its
        // listener.
        let mut other = Caller(connect().expect("listened on"));
        server.stop.finish();
        caller.write(LATER);
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
        other.0.writable().await.expect("connected");
        other.write(LATER);
        let (answer, end) = other.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
        let closed = timeout(TIMEOUT, server.served.wait_closed()).await;
        assert!(closed.is_ok(), "{:?}", server.served);
        assert!(connect().is_err());
    });
}

/// The server reports its end only after the last response is written.
#[test]
fn a_server_is_over_after_its_last_answer() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        caller.write("GET /held HTTP/1.1\r\nhost: a\r\n\r\n");
        server.wait_until("it has begun", |s| s.held.get()).await;
        server.stop.finish();
        sleep(Duration::from_millis(50)).await;
        assert!(!server.served.is_closed());
        server.release.notify_one();
        server.served.wait_closed().await;
        // No task of the server runs any more.
        let (answer, end) = caller.read_to_end().await;
        assert!(answer.ends_with("end\r\n0\r\n\r\n"), "{answer}");
        assert_eq!(end, End::Closed);
    });
}
