//! A model worker: answers each request by a stream of events, from a number of slots.
//!
//! It prints a line when it begins to work on a request, and one when the run ends.

use crate::http::{Message, read_request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a worker answers.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub slots: usize,
    pub events: u64,
    pub interval: Duration,
    /// Answers have neither a length nor chunks and end with their channel.
    pub unframed: bool,
}

#[derive(Default)]
struct Slots {
    running: Mutex<usize>,
    freed: Condvar,
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

/// The data of one event of a request's answer.
pub fn data(request: &str, event: u64) -> String {
    format!("{request}-{event}")
}

fn log(line: &str) {
    let mut out = std::io::stdout().lock();
    // The driver may have ended.
    let _ = writeln!(out, "{} {line}", unix_ms());
    let _ = out.flush();
}

/// Serves until the process ends.
pub fn serve(address: SocketAddr, options: Options) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let slots = Arc::new(Slots::default());
    for stream in listener.incoming() {
        let (slots, options) = (slots.clone(), options.clone());
        if let Ok(stream) = stream {
            thread::spawn(move || {
                let _ = serve_one(&stream, &slots, &options);
            });
        }
    }
    Ok(())
}

fn serve_one(stream: &TcpStream, slots: &Slots, options: &Options) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let mut out: &TcpStream = stream;
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != options.id) {
            out.write_all(
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            )?;
            continue;
        }
        {
            let mut running = slots.running.lock().expect("slots");
            while *running >= options.slots {
                running = slots.freed.wait(running).expect("slots");
            }
            *running += 1;
        }
        let ended = run(out, &request, options);
        *slots.running.lock().expect("slots") -= 1;
        slots.freed.notify_one();
        ended?;
        if options.unframed {
            return Ok(());
        }
    }
    Ok(())
}

fn run(mut out: &TcpStream, request: &Message, options: &Options) -> std::io::Result<()> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let after: u64 = request
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    log(&format!(
        "run worker={} request={id} after={after}",
        options.id
    ));
    let framing = if options.unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Server-Stamp: stamp-{}-{id}\r\n{framing}\r\n\r\n",
        options.id
    );
    let mut has_head = false;
    for event in after + 1..=options.events {
        thread::sleep(options.interval);
        let text = format!("id: {event}\ndata: {}\n\n", data(&id, event));
        let text = if options.unframed {
            text
        } else {
            format!("{:x}\r\n{text}\r\n", text.len())
        };
        // The head comes with the first event, as the run begins with its first token.
        let text = if has_head { text } else { head.clone() + &text };
        has_head = true;
        if let Err(e) = out.write_all(text.as_bytes()) {
            log(&format!(
                "dropped worker={} request={id} event={event}",
                options.id
            ));
            return Err(e);
        }
    }
    if !has_head {
        out.write_all(head.as_bytes())?;
    }
    if !options.unframed {
        out.write_all(b"0\r\n\r\n")?;
    }
    log(&format!("done worker={} request={id}", options.id));
    Ok(())
}
