//! Export of spans over HTTP to a collector that is a plain socket.

use bluebellreel_telemetry::{Span, TraceSink, Tracer};
use bluebellreel_types::{Moment, TraceContext};
use std::io::{Read, Write};
use std::net::TcpListener;

/// Accepts a connection, reads one complete request and responds to it.
fn collect(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().expect("a collector's connection");
    let mut text = String::new();
    let mut buf = [0; 4_096];
    loop {
        let read = stream.read(&mut buf).expect("readable");
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| {
                line.to_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        if body.len() >= length {
            break;
        }
    }
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    stream.write_all(answer.as_bytes()).expect("written");
    text
}

#[test]
fn spans_reach_an_otlp_collector() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address");
    let url = format!("http://{address}/v1/traces");
    let tracer = Tracer::start("bluebellreel", TraceSink::Http(url));
    let context = TraceContext {
        trace: 0xabc,
        parent: 0,
    };
    let span = Span::begin(context, "entry decision", Moment(1)).with("worker", "w1");
    let id = format!("{:016x}", span.id);
    tracer.finish(span, Moment(2));
    let request = collect(&listener);
    assert!(request.starts_with("POST /v1/traces "), "{request}");
    assert!(
        request.contains(&id) && request.contains("entry decision"),
        "{request}"
    );
    assert_eq!(tracer.dropped(), 0);
}
