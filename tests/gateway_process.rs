//! Start, signals and exit of a gateway process.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of the next gateway that this test process starts; part of its loopback address.
static NEXT_GATEWAY: AtomicU8 = AtomicU8::new(2);

/// A gateway process whose store address does not answer.
struct Process {
    child: Child,
    lines: BufReader<ChildStdout>,
    settings: PathBuf,
}

impl Process {
    fn start() -> Self {
        let number = NEXT_GATEWAY.fetch_add(1, Ordering::Relaxed);
        let name = format!("gateway-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_text(number)).expect("a file of ours");
        let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellreel"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program is built");
        let lines = BufReader::new(child.stdout.take().expect("it is piped"));
        Self {
            child,
            lines,
            settings,
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("ids are small");
        kill(Pid::from_raw(id), signal).expect("the process runs");
    }

    /// Reads the log up to an event and returns the line of that event.
    fn read_until(&mut self, event: &str) -> Value {
        let mut seen = Vec::new();
        loop {
            let mut line = String::new();
            let read = self.lines.read_line(&mut line).expect("UTF-8");
            assert!(
                read > 0,
                "the log ended without {event:?}; events: {seen:?}"
            );
            let line: Value = serde_json::from_str(&line).expect("JSON");
            if line["event"] == event {
                return line;
            }
            seen.push(line["event"].to_string());
        }
    }

    /// Waits for the process to exit and returns its exit code and the remaining log events.
    fn wait_for_exit(mut self) -> (Option<i32>, Vec<String>) {
        let rest = (&mut self.lines).lines().map_while(Result::ok);
        let events = rest
            .filter_map(|l| serde_json::from_str::<Value>(&l).ok())
            .filter_map(|l| l["event"].as_str().map(str::to_owned))
            .collect();
        let status = self.child.wait().expect("it ends");
        std::fs::remove_file(&self.settings).expect("the file is ours");
        (status.code(), events)
    }
}

fn settings_text(number: u8) -> String {
    // Each gateway has its own loopback address, as it would have on its own VM.
    let ip = Ipv4Addr::new(127, 9, 0, number);
    let bound = || TcpListener::bind((ip, 0)).expect("a free port");
    let held = [bound(), bound(), bound(), bound(), bound()];
    let address = |n: usize| held[n].local_addr().expect("it is bound");
    let reports = UdpSocket::bind((ip, 0)).expect("a free port");
    let port = |a: std::io::Result<SocketAddr>| a.expect("it is bound").port();
    format!(
        "[vm]\nname = \"entry-{number}\"\naddress = \"{ip}\"\ndata_centre = \"hall\"\n\
        [listen]\nrequests = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\nreports_port = {}\n\
        metrics_port = {}\n[peers]\nseeds = []\n\
        [store]\naddress = \"{}\"\nvalue_bytes = 1048576\nshortest_lease_ms = 1000\n\
        [stop]\ngrace_s = 8\n",
        address(0),
        address(1),
        address(2),
        port(reports.local_addr()),
        address(3).port(),
        address(4),
    )
}

/// Guards against losing the last log lines of a stop: they were queued for the logging
/// thread when the process exited, so that an operator could not tell whether a lost
/// request had been cut by the gateway.
#[test]
fn last_log_lines_of_a_stop_are_written() {
    let mut process = Process::start();
    process.read_until("started");
    process.signal(Signal::SIGTERM);
    process.read_until("stopping");
    let (code, events) = process.wait_for_exit();
    assert_eq!(code, Some(0));
    assert_eq!(events.last().map(String::as_str), Some("stopped"));
}
