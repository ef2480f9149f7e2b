//! HTTP/1.1 over blocking sockets: requests as servers read them, and calls of clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Headers, with names in lower case.
pub type Headers = Vec<(String, String)>;

/// The value of a header; empty if there is none.
pub fn header<'a>(headers: &'a Headers, name: &str) -> &'a str {
    headers
        .iter()
        .find(|(n, _)| n == name)
        .map_or("", |(_, v)| v)
}

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    /// A parameter of the query, decoded; empty if there is none.
    pub fn param(&self, name: &str) -> String {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map_or_else(String::new, |(_, v)| percent_decoded(v))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    match from.read_line(&mut text) {
        Ok(n) if n > 0 && text.ends_with('\n') => Some(text.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(from: &mut impl BufRead) -> Option<Headers> {
    let mut headers = Vec::new();
    loop {
        let text = line(from)?;
        if text.is_empty() {
            return Some(headers);
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads chunks to the end; whether the end has come.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(size) = line(from) else {
            return false;
        };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        let start = body.len();
        body.resize(start + size, 0);
        if let Err(_) = from.read_exact(&mut body[start..]) {
            body.truncate(start);
            return false;
        }
        if line(from).is_none() {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(from: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = line(from)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(from)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding") == "chunked" {
        if !read_chunks(from, &mut body) {
            return None;
        }
    } else {
        let length = header(&headers, "content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        from.read_exact(&mut body).ok()?;
    }
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Writes a response with a length.
pub fn respond(to: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    to.write_all(&all).is_ok()
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Opens a connection and sends a request.
pub fn open(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all).ok()?;
    Some(stream)
}

/// Reads an answer, for at most the given time.
pub fn read_answer(stream: TcpStream, within: Duration) -> Answer {
    let until = Instant::now() + within;
    let mut answer = Answer::default();
    let _ = stream.set_read_timeout(Some(within));
    let mut from = BufReader::new(stream);
    let Some(first) = line(&mut from) else {
        return answer;
    };
    answer.status = first.split(' ').nth(1).unwrap_or("0").parse().unwrap_or(0);
    let Some(headers) = read_headers(&mut from) else {
        answer.status = 0;
        return answer;
    };
    answer.headers = headers;
    if answer.header("transfer-encoding") == "chunked" {
        let mut body = Vec::new();
        answer.complete = read_chunks(&mut from, &mut body);
        answer.body = body;
    } else if let Ok(length) = answer.header("content-length").parse::<usize>() {
        let mut body = vec![0; length];
        answer.complete = from.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        let mut body = Vec::new();
        answer.complete = from.read_to_end(&mut body).is_ok() && Instant::now() < until;
        answer.body = body;
    }
    answer
}

/// Makes a call on a new connection.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Answer {
    match open(to, method, path, headers, body) {
        Some(stream) => read_answer(stream, within),
        None => Answer::default(),
    }
}
