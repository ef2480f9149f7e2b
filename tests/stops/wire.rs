//! A caller that sees each byte: one connection, kept open like a balancer's.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use bluebellreel_site::TEAM_TOKEN;

use crate::daemon::LONGEST;

/// A connection.
pub struct Wire {
    stream: BufReader<TcpStream>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Whether the connection may not be used again.
    pub fn closes(&self) -> bool {
        self.head.to_lowercase().contains("connection: close")
    }

    /// Whether the caller knows that it did not run and when to come back.
    pub fn says_not_run(&self) -> bool {
        self.status == 503 && self.body.contains(r#""ran":"no""#) && self.says_when()
    }

    fn says_when(&self) -> bool {
        self.head.to_lowercase().contains("retry-after:")
    }
}

/// A booking, which may run once only.
pub fn booking(key: &str) -> String {
    format!(
        "POST /services/desk/bookings HTTP/1.1\r\nHost: x\r\n\
         Authorization: Bearer {TEAM_TOKEN}\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// A look at the models.
pub fn models() -> String {
    format!("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM_TOKEN}\r\n\r\n")
}

impl Wire {
    /// Connects.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LONGEST))?;
        let stream = BufReader::new(stream);
        Ok(Self { stream })
    }

    /// Sends text.
    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.stream.read_line(&mut head)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
        let mut body = vec![0; length_of(&head)];
        self.stream.read_exact(&mut body)?;
        Ok(Answer {
            status: status.unwrap_or(0),
            body: String::from_utf8_lossy(&body).into_owned(),
            head,
        })
    }

    /// Asks and reads the answer.
    pub fn ask(&mut self, text: &str) -> std::io::Result<Answer> {
        // What a closing daemon said before may still be read.
        self.send(text).ok();
        self.answer()
    }
}

fn length_of(head: &str) -> usize {
    let head = head.to_lowercase();
    let (_, rest) = head
        .split_once("content-length:")
        .expect("whole answers only");
    let length = rest.lines().next().unwrap_or_default();
    length.trim().parse().expect("a length")
}
