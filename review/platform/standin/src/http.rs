//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or an answer, and its body as far as it has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")
            .and_then(|v| v.trim().parse().ok())
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(bytes.last(), Some(b'\n' | b'\r')) {
        bytes.pop();
    }
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

/// Reads a head; `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let Some(text) = line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let (name, value) = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push((name, value));
        }
    }
}

/// One chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let Some(size) = line(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let size = size.split(';').next().unwrap_or("").trim().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        // The blank line after the last chunk.
        while let Some(text) = line(reader)? {
            if text.is_empty() {
                return Ok(None);
            }
        }
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    line(reader)?;
    Ok(Some(bytes))
}

/// Reads a whole request.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.length() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// What a requester saw of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Zero if no head came.
    pub status: u16,
    pub headers: Message,
    pub body: Vec<u8>,
    /// Whether the answer came to its end in the protocol.
    pub complete: bool,
    /// How the channel ended, if it ended early.
    pub error: String,
    pub took: Duration,
}

/// Makes one call on a new channel and reads the answer to its end.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Seen {
    let began = Instant::now();
    let mut seen = Seen::default();
    if let Err(e) = call_on(to, method, path, headers, body, limit, &mut seen) {
        seen.error = e.to_string();
    }
    seen.took = began.elapsed();
    seen
}

fn call_on(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    seen: &mut Seen,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let Some(answer) = read_head(&mut reader)? else {
        return Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "channel closed without an answer",
        ));
    };
    seen.status = answer.status();
    seen.headers = answer.clone();
    if answer.is_chunked() {
        while let Some(chunk) = read_chunk(&mut reader)? {
            seen.body.extend(chunk);
        }
        seen.complete = true;
    } else if let Some(length) = answer.length() {
        let mut bytes = vec![0; length];
        reader.read_exact(&mut bytes)?;
        seen.body = bytes;
        seen.complete = true;
    } else {
        reader.read_to_end(&mut seen.body)?;
        seen.complete = true;
    }
    Ok(())
}
