//! Crowds at the listeners of a gateway.

use crate::jobs::job;
use crate::measure::{
    CROWDED, MACHINE, answers, check, check_held, check_on, gateway_withstands, head, head_of_body,
    held, on_machine, on_site, withstand, withstand_on,
};
use bluebellreel_platform_standins::{
    Crowd, ProcessSite, READY_PATH, Refusal, Script, answer_head, events_head,
};
use http::Method;
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

/// Clients of a crowd that sends heads.
pub const HEADS: usize = 250;
/// Clients of a crowd that sends bodies.
pub const BODIES: usize = 40;
/// Bytes that a client sends without end.
const WITHOUT_END: usize = 1024 * 1024;
/// The longest body that the configuration allows.
pub const BODY: usize = 4 * 1024 * 1024;
/// Clients of a crowd that takes descriptors.
const SILENT: usize = 300;
/// Pause of a client that sends a byte now and then.
const TRICKLE: Duration = Duration::from_secs(1);

/// The address for callers.
pub fn requests(site: &ProcessSite) -> SocketAddr {
    site.requests
}

fn head_line() -> Script {
    Script::flood(
        head("POST", "/check/1", "X-Long: "),
        [b'x'; 4096],
        WITHOUT_END,
    )
}

fn empty_lines() -> Script {
    Script::flood("", b"\r\n".repeat(2048), WITHOUT_END)
}

fn target() -> Script {
    Script::flood("GET /", [b'x'; 4096], WITHOUT_END)
}

fn short_fields() -> Script {
    let start = head("POST", "/check/1", "");
    Script::flood(start, b"a: b\r\n".repeat(512), WITHOUT_END)
}

/// A field that began took memory as long as its client sent on.
#[test]
fn heads_without_end() {
    gateway_withstands(requests, HEADS, vec![head_line()]);
}

/// Empty lines before a request took memory, and were read anew with each further one.
#[test]
fn empty_lines_without_end() {
    gateway_withstands(requests, HEADS, vec![empty_lines()]);
}

/// A target took memory as long as its client sent on.
#[test]
fn targets_without_end() {
    gateway_withstands(requests, HEADS, vec![target()]);
}

/// Fields took memory as long as their client sent on.
#[test]
fn fields_without_end() {
    gateway_withstands(requests, HEADS, vec![short_fields()]);
}

/// Clients that are closed for their heads without end come again at once.
#[test]
fn heads_without_end_come_again() {
    let scripts = [head_line(), empty_lines()];
    let scripts = scripts.map(|s| s.again(3)).to_vec();
    gateway_withstands(requests, HEADS / 2, scripts);
}

/// The begin of a head stayed in memory until the idle limit.
#[test]
fn heads_that_stall() {
    let start = head("POST", "/check/1", "X-Long: ") + &"x".repeat(300_000);
    gateway_withstands(requests, HEADS, vec![Script::stall(start)]);
}

/// Whole heads of many fields took memory while their bodies were awaited.
#[test]
fn many_fields_before_a_body() {
    let fields = "a: b\r\n".repeat(2000);
    let start = head("POST", "/check/1", &fields) + "Content-Length: 1000\r\n\r\n";
    gateway_withstands(requests, HEADS, vec![Script::stall(start)]);
}

fn most_of_a_body(path: &str) -> Script {
    let start = head_of_body(path, BODY).into_bytes();
    Script::stall([start, vec![b'x'; BODY - 1]].concat())
}

/// Bodies took memory until their last byte.
#[test]
fn bodies_without_their_last_byte() {
    gateway_withstands(requests, BODIES, vec![most_of_a_body("/check/1")]);
}

/// Memory of bodies that were refused for others stayed with the process beside that of others.
#[test]
fn more_bodies_than_there_is_room_for() {
    on_machine(CROWDED, |site| async move {
        let script = most_of_a_body("/check/1");
        let crowd = Crowd::start(site.requests, 4 * BODIES, vec![script]);
        withstand_on(CROWDED, &site.gateway, crowd).await;
        site.until("an ordinary request is answered", || async {
            site.ask("/check/1", Method::POST).await.is(200)
        })
        .await;
        check_on(CROWDED, &mut site.gateway.borrow_mut());
    });
}

/// Bodies of jobs took memory until their last byte.
#[test]
fn jobs_without_their_last_byte() {
    gateway_withstands(requests, BODIES, vec![most_of_a_body("/book/1")]);
}

/// Bodies in tiny chunks took more memory than they have bytes.
#[test]
fn bodies_in_chunks_of_one_byte() {
    let start = head("POST", "/check/1", "Transfer-Encoding: chunked\r\n\r\n");
    let script = Script::flood(start, b"1\r\nx\r\n".repeat(512), 6 * WITHOUT_END);
    gateway_withstands(requests, HEADS / 2, vec![script]);
}

/// Whole bodies took memory while workers had not answered.
#[test]
fn whole_bodies_at_workers_that_hang() {
    on_site(|site| async move {
        for worker in &site.workers {
            worker.faults.unresponsive.set(true);
        }
        let start = head_of_body("/check/1", BODY).into_bytes();
        let script = Script::stall([start, vec![b'x'; BODY]].concat());
        let crowd = Crowd::start(site.requests, BODIES, vec![script]);
        withstand(&site.gateway, crowd).await;
        for worker in &site.workers {
            worker.faults.unresponsive.set(false);
        }
        answers(&site).await;
    });
}

/// Answers each request on a connection with large events without end.
fn answer_events(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = [0; 4096];
    loop {
        let read = stream.read(&mut head)?;
        let text = String::from_utf8_lossy(&head[..read]).to_lowercase();
        if read == 0 {
            return Ok(());
        }
        stream.write_all(events_head(&text).as_bytes())?;
        let data = "x".repeat(60_000);
        for n in 1.. {
            let event = format!("id: {n}\ndata: {data}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
    }
}

/// Streams took memory while callers did not read their events.
#[test]
fn streams_that_nobody_reads() {
    on_site(|site| async move {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let large = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // Ends with an error once the gateway closes the connection.
                thread::spawn(move || answer_events(stream));
            }
        });
        site.replace_workers(large);
        let request = head("POST", "/check/1", "Content-Length: 0\r\n\r\n");
        let crowd = Crowd::start(site.requests, BODIES, vec![Script::stall(request).unread()]);
        withstand(&site.gateway, crowd).await;
        site.restore_workers();
        answers(&site).await;
    });
}

/// Answers each request on a connection with as many bytes as a body may have.
fn answer_all(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = [0; 4096];
    let body = vec![b'x'; BODY];
    loop {
        let read = stream.read(&mut head)?;
        let text = String::from_utf8_lossy(&head[..read]).to_lowercase();
        if read == 0 {
            return Ok(());
        }
        stream.write_all(answer_head(&text, BODY).as_bytes())?;
        stream.write_all(&body)?;
    }
}

/// Answers took memory beside the account while they waited in the buffers of connections.
#[test]
fn large_answers_that_nobody_reads() {
    on_site(|site| async move {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let large = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // Ends with an error once the gateway closes the connection.
                thread::spawn(move || answer_all(stream));
            }
        });
        site.replace_workers(large);
        site.until("answers are large", || async {
            site.ask("/plain/1", Method::POST).await.body.len() == BODY
        })
        .await;
        let request = head("POST", "/plain/1", "Content-Length: 0\r\n\r\n");
        let crowd = Crowd::start(site.requests, BODIES, vec![Script::stall(request).unread()]);
        withstand(&site.gateway, crowd).await;
        site.restore_workers();
        answers(&site).await;
    });
}

/// Requests without end whose answers are not read.
pub fn pipelined(request: &str) -> Script {
    let requests = request.repeat(100);
    Script::flood("", requests, 4 * WITHOUT_END).unread()
}

/// Answers took memory as long as callers sent further requests and read nothing.
#[test]
fn answers_that_nobody_reads() {
    let request = head("POST", "/check/1", "Content-Length: 0\r\n\r\n");
    gateway_withstands(requests, HEADS, vec![pipelined(&request)]);
}

/// Refusals took memory as long as callers sent further requests and read nothing.
#[test]
fn refusals_that_nobody_reads() {
    let request = head("GET", "/nowhere", "\r\n");
    gateway_withstands(requests, HEADS, vec![pipelined(&request)]);
}

/// Silent clients took the descriptors that the gateway's own calls need.
#[test]
fn silent_connections() {
    gateway_withstands(requests, SILENT, vec![Script::stall("")]);
}

/// Clients that send a byte of a head a second took all descriptors.
#[test]
fn heads_that_trickle() {
    let start = head("POST", "/check/1", "X-Long: ");
    gateway_withstands(requests, SILENT, vec![Script::trickle(start, "x", TRICKLE)]);
}

/// Clients that send an empty line a second took all descriptors.
#[test]
fn empty_lines_that_trickle() {
    gateway_withstands(requests, SILENT, vec![Script::trickle("", "\r\n", TRICKLE)]);
}

/// Clients that send a byte of a body a second took all descriptors.
#[test]
fn bodies_that_trickle() {
    let start = head_of_body("/check/1", 100_000);
    gateway_withstands(requests, SILENT, vec![Script::trickle(start, "x", TRICKLE)]);
}

/// Connections that stay open after an answer took all descriptors.
#[test]
fn connections_kept_after_an_answer() {
    let start = head("GET", "/nowhere", "\r\n");
    gateway_withstands(requests, SILENT, vec![Script::stall(start)]);
}

/// Clients that are closed for their silence come again at once.
#[test]
fn silent_connections_come_again() {
    gateway_withstands(requests, SILENT, vec![Script::stall("").again(3)]);
}

/// Clients of each kind.
fn all_kinds() -> Vec<Script> {
    let request = head("GET", "/nowhere", "\r\n");
    vec![
        head_line(),
        empty_lines(),
        target(),
        short_fields(),
        most_of_a_body("/check/1"),
        most_of_a_body("/book/1"),
        job("{\"items\":[", "0,", "0]}"),
        pipelined(&request),
        Script::stall(""),
        Script::trickle("", "\r\n", TRICKLE),
    ]
}

/// What each kind does alone must hold when they come together.
#[test]
fn all_kinds_at_once() {
    gateway_withstands(requests, HEADS / 10, all_kinds());
}

/// Clients of all kinds must not keep a gateway from stopping.
#[test]
fn a_gateway_stops_beside_all_kinds() {
    on_site(|site| async move {
        let crowd = Crowd::start(site.requests, HEADS / 10, all_kinds());
        site.until("the crowd is there", || async { crowd.has_settled() })
            .await;
        site.gateway.borrow().signal(Signal::SIGTERM);
        site.until("the gateway has ended", || async {
            let mut gateway = site.gateway.borrow_mut();
            if let Some((memory, open)) = held(&gateway) {
                check_held(MACHINE, memory, open);
            }
            !gateway.is_alive()
        })
        .await;
        drop(crowd);
        site.restart_gateway().await;
        answers(&site).await;
    });
}

/// Settings are read again beside clients of all kinds.
#[test]
fn a_gateway_reloads_beside_all_kinds() {
    on_site(|site| async move {
        let crowd = Crowd::start(site.requests, HEADS / 10, all_kinds());
        site.gateway.borrow().signal(Signal::SIGHUP);
        withstand(&site.gateway, crowd).await;
        answers(&site).await;
    });
}

/// All kinds at once, while the store is away.
#[test]
fn all_kinds_at_once_while_the_store_is_away() {
    on_site(|site| async move {
        site.faults.refusal.set(Some(Refusal::Busy));
        let scripts = vec![
            head_line(),
            empty_lines(),
            most_of_a_body("/check/1"),
            most_of_a_body("/book/1"),
            job("{\"items\":[", "0,", "0]}"),
            Script::stall(""),
        ];
        let crowd = Crowd::start(site.requests, BODIES, scripts);
        withstand(&site.gateway, crowd).await;
        site.faults.refusal.set(None);
        answers(&site).await;
    });
}

/// A crowd at each listener that callers are not meant to reach.
fn scripts_for_others() -> Vec<Script> {
    let request = head("GET", READY_PATH, "\r\n");
    vec![
        head_line(),
        empty_lines(),
        most_of_a_body("/sync"),
        pipelined(&request),
        Script::stall(""),
    ]
}

/// Clients of the address for the balancer's checks took memory and descriptors.
#[test]
fn crowd_at_the_readiness_listener() {
    gateway_withstands(|site| site.readiness, HEADS / 4, scripts_for_others());
}

/// Clients of the address for peers took memory and descriptors.
#[test]
fn crowd_at_the_peers_listener() {
    gateway_withstands(|site| site.peers, HEADS / 4, scripts_for_others());
}

/// Clients of the address for metrics took memory and descriptors.
#[test]
fn crowd_at_the_metrics_listener() {
    gateway_withstands(|site| site.metrics, HEADS / 4, scripts_for_others());
}

/// Datagrams that are no reports must leave nothing behind.
#[test]
fn datagrams_without_end() {
    on_site(|site| async move {
        let socket = UdpSocket::bind((site.reports.ip(), 0)).expect("a free port");
        for n in 0..50_000_u32 {
            let bytes = n.to_le_bytes().repeat(1 + n as usize % 300);
            // A full queue of the receiver drops the datagram.
            let _ = socket.send_to(&bytes, site.reports);
            if n % 1000 == 0 {
                check(&mut site.gateway.borrow_mut());
                tokio::task::yield_now().await;
            }
        }
        answers(&site).await;
    });
}
