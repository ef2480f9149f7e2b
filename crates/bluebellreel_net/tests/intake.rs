//! What a server takes from its callers: requests in any pieces, and no more than its account
//! has room for.

use bluebellreel_net::{
    Account, AccountLimits, Body, CallerLimits, ConnectionTracker, Intake, RequestBody, Stop,
    listen, read_body, serve,
};
use http::{Request, Response, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::Cell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(30);
const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 8192,
    head_time: Duration::from_secs(20),
    idle_time: Duration::from_secs(20),
};
const MAX_BODY: usize = 1 << 20;
const ROOMY: AccountLimits = AccountLimits {
    memory: 1 << 30,
    connections: 100,
};

/// A server that answers with a request's path and the length of its body; `/held` is answered
/// once it is released.
struct Server {
    address: SocketAddr,
    account: Account,
    release: Rc<Notify>,
    held: Rc<Cell<usize>>,
}

impl Server {
    fn test<T: Future<Output = ()>>(limits: AccountLimits, test: impl FnOnce(Self) -> T) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        LocalSet::new().block_on(&runtime, async { test(Self::start(limits)).await });
    }

    fn start(limits: AccountLimits) -> Self {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            account: Account::new(limits),
            release: Rc::default(),
            held: Rc::default(),
        };
        let (release, held) = (server.release.clone(), server.held.clone());
        spawn_local(serve(
            listener,
            Stop::default(),
            ConnectionTracker::default(),
            Intake::new(server.account.clone(), || LIMITS),
            move |req| answer(req, release.clone(), held.clone()),
        ));
        server
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    async fn until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let until = Instant::now() + TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < until, "never: {what}");
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// Sends a request that is held, and waits until it is being processed.
    async fn hold(&self) -> TcpStream {
        let held = self.held.get();
        let mut stream = self.connect().await;
        write(&mut stream, "GET /held HTTP/1.1\r\n\r\n").await;
        self.until("it is processed", |s| s.held.get() > held).await;
        stream
    }
}

async fn answer(
    req: Request<RequestBody>,
    release: Rc<Notify>,
    held: Rc<Cell<usize>>,
) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if path == "/held" {
        held.set(held.get() + 1);
        release.notified().await;
    }
    let Ok(Some(body)) = read_body(req.into_body(), MAX_BODY, TIMEOUT).await else {
        let mut answer = Response::new(Body::full("not read"));
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return answer;
    };
    let large = path.strip_prefix("/large/");
    if let Some(size) = large.and_then(|size| size.parse().ok()) {
        return Response::new(Body::full(vec![b'x'; size]));
    }
    Response::new(Body::full(format!("{path} {};", body.len())))
}

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("sent");
}

/// Reads until the received text ends with `end`, or to the end of the stream.
async fn read_to(stream: &mut TcpStream, end: &str) -> String {
    let read = async {
        let mut text = String::new();
        let mut bytes = [0; 4096];
        while !text.ends_with(end) {
            match stream.read(&mut bytes).await {
                Ok(count) if count > 0 => text += &String::from_utf8_lossy(&bytes[..count]),
                _ => break,
            }
        }
        text
    };
    timeout(TIMEOUT, read).await.expect("an answer in time")
}

/// Waits until the server has closed a connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 64];
    let read = timeout(TIMEOUT, stream.read(&mut bytes)).await;
    matches!(read.expect("an end"), Ok(0) | Err(_))
}

/// A random request, and the length of its body.
fn random_request(rng: &mut SmallRng, number: usize) -> (Vec<u8>, usize) {
    let lines = "\r\n".repeat(rng.random_range(0..3));
    let end = ["\r\n", "\n"][rng.random_range(0..2)];
    let fields = rng.random_range(0..150) * rng.random_range(0..2);
    let fields = format!("a: b{end}").repeat(fields);
    let start = format!("{lines}POST /{number} HTTP/1.1{end}{fields}");
    let length = rng.random_range(0..3) * rng.random_range(0..9000);
    let body = vec![b'x'; length];
    if rng.random_bool(0.3) {
        let head = format!("{start}Content-Length: {length}\r\n\r\n");
        return ([head.into_bytes(), body].concat(), length);
    }
    let mut bytes = format!("{start}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let mut rest = &body[..];
    while !rest.is_empty() {
        let (chunk, others) = rest.split_at(rng.random_range(1..=rest.len()));
        rest = others;
        let extension = ["", ";a=b", " ;c"][rng.random_range(0..3)];
        let size = if rng.random_bool(0.5) {
            format!("{:X}", chunk.len())
        } else {
            format!("00{:x}", chunk.len())
        };
        bytes.extend_from_slice(format!("{size}{extension}\r\n").as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    let trailers = ["", "t: 1\r\n", "t: 1\r\nu: 2\r\n"][rng.random_range(0..3)];
    bytes.extend_from_slice(format!("0\r\n{trailers}\r\n").as_bytes());
    (bytes, length)
}

/// Guards against heads and bodies whose ends are seen elsewhere than the HTTP library sees
/// them: what follows would be taken for another request.
#[test]
fn requests_in_any_pieces_are_answered_in_turn() {
    for seed in 0..30 {
        Server::test(ROOMY, |server| async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut stream = server.connect().await;
            stream.set_nodelay(true).expect("set");
            let requests: Vec<_> = (0..12).map(|n| random_request(&mut rng, n)).collect();
            let all: Vec<u8> = requests
                .iter()
                .flat_map(|(bytes, _)| bytes.clone())
                .collect();
            let (mut reader, mut writer) = stream.split();
            let send = async {
                let mut rest = &all[..];
                while !rest.is_empty() {
                    let size = rng.random_range(1..=rest.len().min(5000));
                    let (piece, others) = rest.split_at(size);
                    writer.write_all(piece).await.expect("sent");
                    rest = others;
                    tokio::task::yield_now().await;
                }
            };
            let receive = async {
                let mut text = String::new();
                let mut bytes = [0; 4096];
                while text.matches(';').count() < requests.len() {
                    let count = reader.read(&mut bytes).await.expect("read");
                    assert!(count > 0, "seed {seed}: closed after {text}");
                    text += &String::from_utf8_lossy(&bytes[..count]);
                }
                text
            };
            let both = async { tokio::join!(send, receive).1 };
            let text = timeout(TIMEOUT, both).await.expect("all answers");
            let mut rest = &*text;
            for (number, (_, length)) in requests.iter().enumerate() {
                let expected = format!("/{number} {length};");
                let at = rest.find(&expected);
                let at = at.unwrap_or_else(|| panic!("seed {seed}, no {expected} in {rest}"));
                rest = &rest[at + expected.len()..];
            }
        });
    }
}

/// All that is held for callers is given back.
#[test]
fn accounts_are_empty_after_the_last_connection() {
    Server::test(ROOMY, |server| async move {
        let mut streams = Vec::new();
        for text in [
            "",
            "GET / HTT",
            "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /next HTT",
            "GET /held HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n",
            "nonsense\r\n\r\n",
        ] {
            let mut stream = server.connect().await;
            write(&mut stream, text).await;
            streams.push(stream);
        }
        server.until("one is held", |s| s.held.get() > 0).await;
        assert!(server.account.memory() > 0);
        drop(streams);
        // The end of a connection is not seen behind a further request.
        server.release.notify_one();
        server
            .until("the account is empty", |s| s.account.memory() == 0)
            .await;
    });
}

/// A head that is too large is refused, and does not stay in memory.
#[test]
fn large_heads_are_refused() {
    Server::test(ROOMY, |server| async move {
        for field in ["a: b\r\n".repeat(5000), "x".repeat(20_000)] {
            let mut stream = server.connect().await;
            let head = format!("GET / HTTP/1.1\r\n{field}");
            write(&mut stream, &head).await;
            let answer = read_to(&mut stream, "\r\n\r\n").await;
            assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        }
    });
}

const FEW: AccountLimits = AccountLimits {
    memory: 1 << 30,
    connections: 3,
};

/// Silent connections are closed for others before kept ones, the oldest first.
#[test]
fn silent_connections_are_closed_first() {
    Server::test(FEW, |server| async move {
        let mut kept = server.connect().await;
        write(&mut kept, "GET /kept HTTP/1.1\r\n\r\n").await;
        read_to(&mut kept, ";").await;
        let (mut first, mut second) = (server.connect().await, server.connect().await);
        server
            .until("two are silent", |s| s.account.connections() == 3)
            .await;
        let mut third = server.connect().await;
        assert!(is_closed(&mut first).await);
        for stream in [&mut second, &mut third, &mut kept] {
            write(stream, "GET /last HTTP/1.1\r\n\r\n").await;
            assert!(read_to(stream, ";").await.ends_with("/last 0;"));
        }
        assert_eq!(server.account.evicted(), 1);
    });
}

/// A request that is processed is not ended for a newcomer, whose connection is closed unread.
#[test]
fn requests_in_progress_are_not_closed_for_others() {
    Server::test(FEW, |server| async move {
        let mut streams = [
            server.hold().await,
            server.hold().await,
            server.hold().await,
        ];
        let mut newcomer = server.connect().await;
        assert!(is_closed(&mut newcomer).await);
        for stream in &mut streams {
            server.release.notify_one();
            assert!(read_to(stream, ";").await.ends_with("/held 0;"));
        }
    });
}

/// A whole answer was held beside the account if there was no room for it.
#[test]
fn answers_without_room_are_not_held() {
    Server::test(SMALL, |server| async move {
        for (size, status) in [(600_000, 200), (2_000_000, 502), (600_000, 200)] {
            let mut stream = server.connect().await;
            let head = format!("GET /large/{size} HTTP/1.1\r\nConnection: close\r\n\r\n");
            write(&mut stream, &head).await;
            let answer = read_to(&mut stream, "the end of the stream").await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{answer}"
            );
            assert!(server.account.memory() <= SMALL.memory);
        }
        server
            .until("all is given back", |s| s.account.memory() == 0)
            .await;
    });
}

const SMALL: AccountLimits = AccountLimits {
    memory: 1 << 20,
    connections: 100,
};

/// Of two bodies that do not both fit, the one that came first and does not get ahead is refused.
#[test]
fn bodies_that_stall_are_refused_for_others() {
    Server::test(SMALL, |server| async move {
        let head = "POST /body HTTP/1.1\r\nContent-Length: 600000\r\n\r\n";
        let mut stalled = server.connect().await;
        write(&mut stalled, head).await;
        write(&mut stalled, &"x".repeat(590_000)).await;
        server
            .until("most of it has come", |s| s.account.memory() > 590_000)
            .await;
        let mut other = server.connect().await;
        write(&mut other, head).await;
        write(&mut other, &"x".repeat(600_000)).await;
        let answer = read_to(&mut other, ";").await;
        assert!(answer.ends_with("/body 600000;"), "{answer}");
        let refused = read_to(&mut stalled, "not read").await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    });
}
