//! Raw HTTP over one TCP connection, kept open as by a load balancer, so that tests can
//! send partial requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use bluebellreel_site::TEAM_TOKEN;

use crate::daemon::MAX_WAIT;

/// A TCP connection to an entry daemon.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

/// A complete HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// Whether the answer has `Connection: close`.
    pub fn closes_connection(&self) -> bool {
        self.head.to_lowercase().contains("connection: close")
    }

    /// Whether the answer says that the request did not run and when to retry it.
    pub fn reports_not_run(&self) -> bool {
        self.status == 503 && self.body.contains(r#""ran":"no""#) && self.has_retry_after()
    }

    fn has_retry_after(&self) -> bool {
        self.head.to_lowercase().contains("retry-after:")
    }
}

/// A booking request, which must not run more than once.
pub fn booking_request(key: &str) -> String {
    format!(
        "POST /services/desk/bookings HTTP/1.1\r\nHost: x\r\n\
         Authorization: Bearer {TEAM_TOKEN}\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// A request for the list of models.
pub fn models_request() -> String {
    format!("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM_TOKEN}\r\n\r\n")
}

impl Connection {
    /// Connects to a daemon, with a read time-out.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(MAX_WAIT))?;
        let stream = BufReader::new(stream);
        Ok(Self { stream })
    }

    /// Sends a request or a part of one.
    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// Reads a complete answer.
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

    /// Sends a request and reads the answer.
    pub fn ask(&mut self, text: &str) -> std::io::Result<Answer> {
        // The daemon may have answered before it closed the connection, so a failed send is
        // ignored.
        self.send(text).ok();
        self.answer()
    }
}

fn length_of(head: &str) -> usize {
    let head = head.to_lowercase();
    let (_, rest) = head
        .split_once("content-length:")
        .expect("a content-length header");
    let length = rest.lines().next().unwrap_or_default();
    length.trim().parse().expect("a length")
}
