//! Connections of a server that is asked to stop, as callers see their bytes.

mod raw;

use raw::{Caller, End, Server, TIMEOUT};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

const LATER: &str = "GET /later HTTP/1.1\r\nhost: a\r\n\r\n";
/// A request that says how long its body is, and half of that.
const HALF_BODY: &str = "POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf";

/// Whether these bytes are one whole answer that asks for the connection's end.
fn is_last(answer: &str, body: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ")
        && answer.to_lowercase().contains("\r\nconnection: close\r\n")
        && answer.ends_with(body)
        && answer.matches("HTTP/1.1").count() == 1
}

#[test]
fn an_idle_connection_is_closed_at_once() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_ask().await;
        server.stop.close();
        assert_eq!(caller.read_to_end().await, (String::new(), End::Closed));
        server.until("none is open", |s| s.served.open() == 0).await;
    });
}

/// A caller's kept connection takes its next request just when the server stops:
/// the bytes are there and the server has not looked. It saw its connection reset
/// with no answer, and could not tell whether the request had run. The server
/// took a connection for idle whose bytes it had not read.
#[test]
fn a_request_that_came_before_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_ask().await;
        caller.write(LATER);
        server.stop.close();
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/later"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// The same, and the rest of the request's head comes a moment after the close.
/// The server had read the first half and dropped it.
#[test]
fn a_request_half_read_at_the_close_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect_and_ask().await;
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
        let mut caller = server.connect_and_ask().await;
        caller.write(HALF_BODY);
        server
            .until("it is taken", |s| s.taken.borrow().len() == 2)
            .await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        caller.write("half");
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/bodyhalfhalf"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// A caller connects, and its first request is on its way when the server stops.
/// The connection was closed under it, as nothing had been read from it yet.
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

/// Two requests are written at once while the server goes on; it stops during the
/// first answer, whose head promised that the connection stays. The second had
/// been read by then and was dropped without an answer.
#[test]
fn a_request_behind_another_is_answered() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        caller.write(&format!("GET /held HTTP/1.1\r\nhost: a\r\n\r\n{LATER}"));
        server.until("it has begun", |s| s.held.get()).await;
        server.stop.close();
        sleep(Duration::from_millis(50)).await;
        server.go_on.notify_one();
        let (answers, end) = caller.read_to_end().await;
        let (first, second) = answers
            .split_once("end\r\n0\r\n\r\n")
            .expect("a first answer");
        assert!(first.starts_with("HTTP/1.1 200 "), "{first}");
        assert!(is_last(second, "/later"), "{second:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Once an answer has said that it is the last one, nothing behind it is run: the
/// caller sends it again elsewhere.
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

/// A stopping server refuses a request whose long body is still being sent. The
/// caller saw a reset instead of the refusal, and could not tell that the request
/// had not run: closing a connection with unread bytes resets it.
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
            .until("it is taken", |s| !s.taken.borrow().is_empty())
            .await;
        sleep(Duration::from_millis(50)).await;
        let sent = timeout(TIMEOUT, caller.0.write_all(&vec![b'x'; length])).await;
        assert!(matches!(sent, Ok(Ok(()))), "{sent:?}");
        let (answer, end) = caller.read_to_end().await;
        assert!(is_last(&answer, "/refused"), "{answer:?} {end:?}");
        assert_eq!(end, End::Closed);
    });
}

/// Callers that connect and say nothing, or stop in the middle of a request's
/// head, held the stop until its very end.
#[test]
fn silent_callers_do_not_hold_a_stop() {
    Server::test(|server| async move {
        let silent = server.connect().await;
        let half = server.connect().await;
        half.write(&LATER[..20]);
        let kept = server.connect_and_ask().await;
        kept.write(&LATER[..20]);
        server.stop.close();
        server.until("none is open", |s| s.served.open() == 0).await;
        drop((silent, half, kept));
    });
}

/// The same for callers that connect after the close.
#[test]
fn late_silent_callers_do_not_hold_a_stop() {
    Server::test(|server| async move {
        server.stop.close();
        let silent = server.connect().await;
        let half = server.connect().await;
        half.write(&LATER[..20]);
        server.until("none is open", |s| s.served.open() == 0).await;
        drop((silent, half));
    });
}

/// A caller's connection, with its request, waits to be accepted at the moment in
/// which the listener ends. It was reset, and with it the request.
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
        // The server has no turn between this and the end of its listener.
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
        let wait_closed = timeout(TIMEOUT, server.served.wait_closed()).await;
        assert!(wait_closed.is_ok(), "{:?}", server.served);
        assert!(connect().is_err());
    });
}

/// The end is told only once the last answer is out.
#[test]
fn a_server_is_over_after_its_last_answer() {
    Server::test(|server| async move {
        let mut caller = server.connect().await;
        caller.write("GET /held HTTP/1.1\r\nhost: a\r\n\r\n");
        server.until("it has begun", |s| s.held.get()).await;
        server.stop.finish();
        sleep(Duration::from_millis(50)).await;
        assert!(!server.served.is_over());
        server.go_on.notify_one();
        server.served.wait_closed().await;
        // Nothing of the server runs any more.
        let (answer, end) = caller.read_to_end().await;
        assert!(answer.ends_with("end\r\n0\r\n\r\n"), "{answer}");
        assert_eq!(end, End::Closed);
    });
}
