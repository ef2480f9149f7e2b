//! What is inside the limits is served: heads and bodies of exactly the limit, many fields, empty
//! lines, kept connections.

use crate::measure::{head, head_of_body, on_site};
use bluebellreel_platform_standins::ProcessSite;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Limits of the configuration.
const HEAD: usize = 16384;
const BODY: usize = 4_194_304;
/// Four fifths of the idle limit.
const KEPT_IDLE: Duration = Duration::from_secs(12);
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Ordinary callers at one moment: as many connections as a quarter of the descriptors.
const CALLERS: usize = 50;

/// Sends bytes and reads until the answer's last chunk or the end of its announced body; returns
/// the answer as far as it came.
async fn answer_on(stream: &mut TcpStream, bytes: &[u8]) -> String {
    let answered = async {
        stream.write_all(bytes).await.ok();
        let mut answer = Vec::new();
        let mut part = [0; 4096];
        while !is_whole(&answer) {
            match stream.read(&mut part).await {
                Ok(read) if read > 0 => answer.extend_from_slice(&part[..read]),
                _ => break,
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    };
    timeout(ANSWER_TIMEOUT, answered).await.expect("an answer")
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|l| l.lines().next()?.trim().parse().ok());
    length.map_or(body.ends_with("0\r\n\r\n"), |length: usize| {
        body.len() >= length
    })
}

async fn answer(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    answer_on(&mut stream, bytes).await
}

async fn is_served(site: &ProcessSite, what: &str, bytes: &[u8]) {
    let answer = answer(site.requests, bytes).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
    assert!(is_whole(answer.as_bytes()), "{what}: {answer}");
}

fn filled(start: &str, field: &str) -> String {
    let end = "Content-Length: 0\r\n\r\n";
    let room = HEAD - start.len() - end.len();
    let fields = field.repeat(room / field.len());
    let rest = room - fields.len();
    // The rest is too short for a field of its own, so it lengthens the first field's value.
    let pad = "x".repeat(rest);
    let fields = fields.replacen("\r\n", &format!("{pad}\r\n"), 1);
    format!("{start}{fields}{end}")
}

/// A head of many short fields, inside the limit of bytes, was refused with 431.
#[test]
fn heads_of_exactly_the_limit_are_served_whatever_their_fields() {
    on_site(|site| async move {
        let start = head("POST", "/check/1", "");
        for field in ["a:\r\n", "a: b\r\n", "name: some value of a field\r\n"] {
            let whole = filled(&start, field);
            assert_eq!(whole.len(), HEAD);
            is_served(&site, field, whole.as_bytes()).await;
        }
        for fields in [101, 150, 1000] {
            let fields = "a: b\r\n".repeat(fields) + "Content-Length: 0\r\n\r\n";
            let whole = head("POST", "/check/1", &fields);
            is_served(&site, "many fields", whole.as_bytes()).await;
        }
        let room = HEAD - head("POST", "/check/", "Content-Length: 0\r\n\r\n").len();
        let path = format!("/check/{}", "p".repeat(room));
        let whole = head("POST", &path, "Content-Length: 0\r\n\r\n");
        is_served(&site, "a long target", whole.as_bytes()).await;
        let value = format!("v: {}\r\n", "x".repeat(HEAD - start.len() - 29));
        let whole = filled(&start, &value);
        is_served(&site, "a long value", whole.as_bytes()).await;
    });
}

/// A body of exactly the limit is served, with a length and in chunks; a longer one gets 413.
#[test]
fn bodies_of_exactly_the_limit_are_served() {
    on_site(|site| async move {
        let body = vec![b'x'; BODY];
        let start = head_of_body("/check/1", BODY).into_bytes();
        is_served(&site, "a length", &[start, body.clone()].concat()).await;
        let start = head("POST", "/check/1", "Transfer-Encoding: chunked\r\n\r\n");
        let mut chunked = start.clone().into_bytes();
        for chunk in body.chunks(1 << 16) {
            chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            chunked.extend_from_slice(chunk);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\n\r\n");
        is_served(&site, "large chunks", &chunked).await;
        let small = "3\r\nabc\r\n".repeat(20_000) + "0\r\n\r\n";
        is_served(&site, "small chunks", (start + &small).as_bytes()).await;
        let start = head_of_body("/check/1", BODY + 1).into_bytes();
        let longer = [start, vec![b'x'; BODY + 1]].concat();
        let answer = answer(site.requests, &longer).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

/// A job whose body is of exactly the limit is accepted, also on a small machine.
#[test]
fn a_job_of_exactly_the_limit_is_accepted() {
    on_site(|site| async move {
        let item = |n: usize, body: usize| {
            let body = "A".repeat(body);
            format!("{{\"id\":\"i{n}\",\"path\":\"/book/1\",\"body\":\"{body}\",\"tokens\":1}}")
        };
        let mut items: Vec<String> = (0..199).map(|n| item(n, 20_000)).collect();
        let job = |items: &[String]| format!("{{\"items\":[{}]}}", items.join(","));
        let rest = BODY - job(&items).len() - item(199, 0).len() - 1;
        items.push(item(199, rest / 4 * 4));
        let mut job = job(&items);
        job += &" ".repeat(BODY - job.len());
        assert_eq!(job.len(), BODY);
        site.until("the job is accepted", || async {
            site.submit("largest", &job).await.is(202)
        })
        .await;
    });
}

/// An empty line before a request is no part of it, also on a kept connection.
#[test]
fn an_empty_line_before_a_request_is_passed_over() {
    on_site(|site| async move {
        let request = head("POST", "/check/1", "Content-Length: 0\r\n\r\n");
        let request = format!("\r\n{request}");
        let mut stream = TcpStream::connect(site.requests).await.expect("connected");
        for _ in 0..3 {
            let answer = answer_on(&mut stream, request.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}

/// Requests that are sent before the answers to those before them are answered in turn.
#[test]
fn pipelined_requests_are_answered_in_turn() {
    on_site(|site| async move {
        let first = head("POST", "/check/1", "Content-Length: 3\r\n\r\nabc");
        let last = head("GET", "/nowhere", "Connection: close\r\n\r\n");
        let mut stream = TcpStream::connect(site.requests).await.expect("connected");
        let all = [&*first, &first, &last].concat();
        stream.write_all(all.as_bytes()).await.expect("sent");
        let mut answers = String::new();
        let read = stream.read_to_string(&mut answers);
        timeout(ANSWER_TIMEOUT, read)
            .await
            .expect("an end")
            .expect("text");
        assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
        assert_eq!(answers.matches("HTTP/1.1 404").count(), 1, "{answers}");
        assert!(answers.rfind("HTTP/1.1 404") > answers.rfind("HTTP/1.1 200"));
    });
}

/// A head that comes in parts within its time is served.
#[test]
fn a_head_in_parts_is_served() {
    on_site(|site| async move {
        let request = head("POST", "/check/1", "Content-Length: 3\r\n\r\nabc");
        let mut stream = TcpStream::connect(site.requests).await.expect("connected");
        stream.set_nodelay(true).expect("set");
        for byte in request.as_bytes().chunks(1) {
            stream.write_all(byte).await.expect("sent");
            tokio::task::yield_now().await;
        }
        let answer = answer_on(&mut stream, b"").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

/// A connection that was idle for four fifths of the idle limit takes a further request.
#[test]
fn a_connection_is_kept_to_four_fifths_of_the_idle_limit() {
    on_site(|site| async move {
        let request = head("POST", "/check/1", "Content-Length: 0\r\n\r\n");
        let mut stream = TcpStream::connect(site.requests).await.expect("connected");
        for _ in 0..2 {
            let answer = answer_on(&mut stream, request.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            sleep(KEPT_IDLE).await;
        }
        let answer = answer_on(&mut stream, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

/// Ordinary callers that come at one moment and keep their connections are all served.
#[test]
fn many_ordinary_callers_are_served() {
    on_site(|site| async move {
        let request = head("POST", "/plain/1", "Content-Length: 0\r\n\r\n");
        let mut streams = Vec::new();
        for _ in 0..CALLERS {
            streams.push(TcpStream::connect(site.requests).await.expect("connected"));
        }
        for _ in 0..2 {
            for stream in &mut streams {
                let answer = answer_on(stream, request.as_bytes()).await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            }
        }
    });
}
