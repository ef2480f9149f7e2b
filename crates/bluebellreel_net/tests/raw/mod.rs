//! A server on the loopback interface, and callers that write raw bytes.

use bluebellreel_net::{
    Body, ConnectionTracker, Intake, RequestBody, Stop, listen, read_body, serve,
};
use bytes::Bytes;
use http::{Request, Response};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Timeout for events that must happen, generous enough for a slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// How long a connection may stay without a request while the server is not
/// stopping.
const IDLE: Duration = Duration::from_mins(2);

/// A server under test.
pub struct Server {
    pub address: SocketAddr,
    pub stop: Stop,
    pub served: ConnectionTracker,
    /// Paths of the requests passed to the handler.
    pub taken: Rc<RefCell<Vec<String>>>,
    /// Completes the responses to `/held`.
    pub release: Rc<Notify>,
    /// Whether a response to `/held` has started.
    pub held: Rc<Cell<bool>>,
}

impl Server {
    /// Runs a test against a new server.
    pub fn test<T: Future<Output = ()>>(test: impl FnOnce(Self) -> T) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        LocalSet::new().block_on(&runtime, async { test(Self::start()).await });
    }

    fn start() -> Self {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            stop: Stop::default(),
            served: ConnectionTracker::default(),
            taken: Rc::default(),
            release: Rc::default(),
            held: Rc::default(),
        };
        let (taken, release, held) = (
            server.taken.clone(),
            server.release.clone(),
            server.held.clone(),
        );
        spawn_local(serve(
            listener,
            server.stop.clone(),
            server.served.clone(),
            Intake::unlimited(IDLE),
            move |req| answer(req, taken.clone(), release.clone(), held.clone()),
        ));
        server
    }

    /// Waits until a condition holds.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "never: {what}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Opens a connection and waits until the server has accepted it.
    pub async fn connect(&self) -> Caller {
        let open = self.served.open();
        let caller = Caller(TcpStream::connect(self.address).await.expect("accepted"));
        self.wait_until("the connection is served", |s| s.served.open() > open)
            .await;
        caller
    }

    /// Opens a connection and completes one request on it.
    pub async fn connect_and_request(&self) -> Caller {
        let mut caller = self.connect().await;
        caller.write("GET /first HTTP/1.1\r\nhost: a\r\n\r\n");
        let answer = caller.read_answer().await;
        assert!(answer.ends_with("/first"), "{answer}");
        caller
    }
}

async fn answer(
    req: Request<RequestBody>,
    taken: Rc<RefCell<Vec<String>>>,
    release: Rc<Notify>,
    held: Rc<Cell<bool>>,
) -> Response<Body> {
    let path = req.uri().path().to_owned();
    taken.borrow_mut().push(path.clone());
    if path == "/refused" {
        // Answers without reading the body.
        return Response::new(Body::full(path));
    }
    let read = read_body(req.into_body(), 1 << 20, TIMEOUT).await;
    let body = read.ok().flatten().unwrap_or_default();
    let text = format!("{path}{}", String::from_utf8_lossy(&body));
    if path != "/held" {
        return Response::new(Body::full(text));
    }
    let end = async move {
        held.set(true);
        release.notified().await;
        Ok(Bytes::from("end"))
    };
    Response::new(Body::stream(futures::stream::once(Box::pin(end))))
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Orderly, by a FIN.
    Closed,
    /// By a RST.
    Reset,
}

/// A caller's connection.
pub struct Caller(pub TcpStream);

impl Caller {
    /// Writes bytes synchronously: the server cannot run before the kernel has
    /// them.
    pub fn write(&self, text: &str) {
        let written = self.0.try_write(text.as_bytes());
        assert_eq!(written.ok(), Some(text.len()));
    }

    /// Reads one response that has a `Content-Length`.
    pub async fn read_answer(&mut self) -> String {
        let mut all = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&all).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|l| l.strip_prefix("content-length: "));
                let length: usize = length.and_then(|l| l.parse().ok()).expect("a length");
                if body.len() == length {
                    return text;
                }
            }
            let mut byte = [0];
            let read = timeout(TIMEOUT, self.0.read_exact(&mut byte));
            read.await.expect("in time").expect("an answer");
            all.push(byte[0]);
        }
    }

    /// Reads until the connection ends.
    pub async fn read_to_end(&mut self) -> (String, End) {
        let mut all = Vec::new();
        let mut buf = [0; 4096];
        loop {
            let read = timeout(TIMEOUT, self.0.read(&mut buf)).await;
            let end = match read.expect("the connection ends") {
                Ok(0) => End::Closed,
                Ok(n) => {
                    all.extend_from_slice(&buf[..n]);
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::ConnectionReset => End::Reset,
                Err(e) => panic!("{e}"),
            };
            return (String::from_utf8_lossy(&all).into_owned(), end);
        }
    }
}
