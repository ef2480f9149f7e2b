//! Crowds at a keeper.

use crate::measure::{MACHINE, alone, head, head_of_body, program, withstand};
use bluebellreel_platform_standins::{Caller, Crowd, HOST, Script, SystemProcess};
use http::Method;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// Clients of a crowd for each of its scripts.
const CLIENTS: usize = 80;
/// Clients of a crowd that takes descriptors.
const SILENT: usize = 300;
/// Bytes that a client sends without end.
const WITHOUT_END: usize = 1024 * 1024;
/// The longest body that a keeper takes.
const BODY: usize = 4 * 1024 * 1024;

async fn answers(calls: SocketAddr) {
    let caller = Caller::new(HOST);
    let until = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let put = caller.call(calls, Method::PUT, "/jobs/kept/progress", &[], "so far");
        if put.await.is(200) {
            break;
        }
        assert!(Instant::now() < until, "an ordinary call is not answered");
        sleep(Duration::from_millis(20)).await;
    }
    let got = caller.call(calls, Method::GET, "/jobs/kept/progress", &[], "");
    assert_eq!(got.await.body, "so far");
}

/// Lets a crowd loose on a keeper; afterwards a call of a gateway must be answered.
fn keeper_withstands(clients: usize, scripts: Vec<Script>) {
    alone(|| {
        let folder = tempfile::tempdir().expect("a folder");
        let bound = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        let calls = bound.expect("a free port");
        let settings = format!(
            "[vm]\nname = \"keeper-1\"\naddress = \"{}\"\ndata_centre = \"hall\"\n\
             [listen]\ncalls_port = {}\n[data]\nfolder = \"{}\"\n{}",
            calls.ip(),
            calls.port(),
            folder.path().display(),
            MACHINE.settings(),
        );
        let keeper = SystemProcess::start(&program(), Some("keeper"), &settings, folder.path());
        let keeper = RefCell::new(keeper.expect("a keeper"));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime can be built");
        LocalSet::new().block_on(&runtime, async {
            answers(calls).await;
            let crowd = Crowd::start(calls, clients, scripts);
            withstand(&keeper, crowd).await;
            answers(calls).await;
        });
    });
}

/// Heads without end took the memory of a keeper.
#[test]
fn heads_without_end_at_a_keeper() {
    let start = head("PUT", "/jobs/a/progress", "X-Long: ");
    let scripts = vec![
        Script::flood(start, [b'x'; 4096], WITHOUT_END),
        Script::flood("", b"\r\n".repeat(2048), WITHOUT_END),
        Script::flood("GET /", [b'x'; 4096], WITHOUT_END),
    ];
    keeper_withstands(CLIENTS, scripts);
}

/// Bodies without their last byte took the memory of a keeper.
#[test]
fn bodies_without_their_last_byte_at_a_keeper() {
    let start = head_of_body("/jobs/a/progress", BODY).replacen("POST", "PUT", 1);
    let script = Script::stall([start.into_bytes(), vec![b'x'; BODY - 1]].concat());
    keeper_withstands(CLIENTS / 2, vec![script]);
}

/// Copies of the progress of jobs that nobody knows took the memory of a keeper.
#[test]
fn backups_without_end_at_a_keeper() {
    let body = "x".repeat(BODY / 4);
    let backups: Vec<Script> = (0..CLIENTS)
        .map(|n| {
            let path = format!("/jobs/unknown-{n}/progress");
            let head = head_of_body(&path, body.len()).replacen("POST", "PUT", 1);
            Script::stall(head + &body)
        })
        .collect();
    keeper_withstands(1, backups);
}

/// Silent clients took all descriptors of a keeper.
#[test]
fn silent_connections_at_a_keeper() {
    keeper_withstands(SILENT, vec![Script::stall("")]);
}

/// Answers that nobody reads took the memory of a keeper.
#[test]
fn answers_that_nobody_reads_at_a_keeper() {
    let request = head("GET", "/nowhere", "\r\n").repeat(100);
    let script = Script::flood("", request, 4 * WITHOUT_END).unread();
    keeper_withstands(2 * CLIENTS, vec![script]);
}
