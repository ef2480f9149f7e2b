//! Runs keepers as processes and calls them over HTTP.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected condition.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A VM with a disk, and the keeper that runs on it.
pub struct KeeperVm {
    pub settings: PathBuf,
    pub data: PathBuf,
    calls: SocketAddr,
    log: PathBuf,
    child: Option<Child>,
    // Dropping the value at the end of the test deletes the folder and its files.
    _folder: tempfile::TempDir,
}

impl KeeperVm {
    /// Creates a VM whose keeper has `grace_s` seconds to stop. The keeper is not started.
    pub fn new(grace_s: u32) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let data = folder.path().join("data");
        std::fs::create_dir(&data).expect("a new folder");
        let calls = free_loopback_address();
        let vm = Self {
            settings: folder.path().join("keeper.toml"),
            log: folder.path().join("log"),
            data,
            calls,
            child: None,
            _folder: folder,
        };
        std::fs::write(&vm.settings, vm.text(grace_s)).expect("written");
        vm
    }

    /// The text of the keeper's settings file.
    pub fn text(&self, grace_s: u32) -> String {
        format!(
            "[vm]\nname = \"keeper-1\"\naddress = \"{}\"\ndata_centre = \"hall\"\n\
             [listen]\ncalls_port = {}\n[data]\nfolder = \"{}\"\n[stop]\ngrace_s = {grace_s}\n",
            self.calls.ip(),
            self.calls.port(),
            self.data.display()
        )
    }

    /// Starts the keeper process without waiting until it listens.
    pub fn spawn(&mut self) {
        self.spawn_as("keeper");
    }

    /// Starts a process with the same settings file but another subcommand of the program.
    pub fn spawn_as(&mut self, command: &str) {
        let log = File::create(&self.log).expect("a new file");
        let _alone = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(env!("CARGO_BIN_EXE_bluebellreel"))
            .args([command, "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program is there");
        self.child = Some(child);
    }

    /// Starts the keeper and waits until it accepts calls.
    pub fn start(&mut self) {
        self.spawn();
        self.wait_until_logged_or_exited("started");
        assert!(self.is_running(), "not started: {}", self.log());
    }

    /// Waits until the keeper's log contains an event.
    pub fn wait_until_logged(&self, event: &str) {
        let pattern = format!("\"event\":\"{event}\"");
        wait_until(event, || self.log().contains(&pattern));
    }

    /// Waits until the keeper's log contains an event or the process has exited.
    pub fn wait_until_logged_or_exited(&mut self, event: &str) {
        let pattern = format!("\"event\":\"{event}\"");
        wait_until(event, || {
            self.log().contains(&pattern) || !self.is_running()
        });
    }

    /// The keeper's log since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last line of the keeper's log.
    pub fn last_line(&self) -> String {
        self.log().lines().last().unwrap_or_default().to_owned()
    }

    /// Sends a signal to the process, unless it has exited.
    pub fn signal(&mut self, signal: Signal) {
        let child = self.child.as_mut().expect("it was started");
        if child.try_wait().expect("our own process").is_some() {
            return;
        }
        // Only this code reaps the child, so its id cannot have been reused.
        let id = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("our own process");
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut().expect("it was started");
        child.try_wait().expect("our own process").is_none()
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal
    /// killed it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        wait_until("the process ends", || !self.is_running());
        let mut child = self.child.take().expect("it was started");
        child.wait().expect("our own process").code()
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        self.wait_for_exit()
    }

    /// Opens a connection to the keeper.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.calls).expect("it listens");
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("a time-out of its own");
        stream
    }

    /// Reports a job's progress to the keeper and returns the status of the answer.
    pub fn put(&self, job: &str, progress: &[u8]) -> u16 {
        let mut stream = self.connect();
        send_head(&mut stream, job, progress.len());
        stream.write_all(progress).expect("sent");
        answer(&mut stream).0
    }

    /// Reads a job's progress from the keeper, or `None` if the keeper has none.
    pub fn get(&self, job: &str) -> Option<Vec<u8>> {
        let mut stream = self.connect();
        let head = format!("GET /jobs/{job}/progress HTTP/1.1\r\nhost: keeper\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        let (status, body) = answer(&mut stream);
        (status == 200).then_some(body)
    }
}

impl Drop for KeeperVm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Held while a free port is picked and while a process is spawned. Between fork and
/// exec the child holds all sockets of this process open, so the port would not be
/// free.
static PORTS: Mutex<()> = Mutex::new(());

/// Returns a loopback address that no other VM of a test uses, with a free port. On a
/// shared address, an outgoing connection may take the port of a keeper that is down.
fn free_loopback_address() -> SocketAddr {
    static VMS: AtomicU8 = AtomicU8::new(1);
    // These bytes of the process id differ between concurrent test runs.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let vm = VMS.fetch_add(1, Ordering::Relaxed);
    let _alone = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let listener = TcpListener::bind((Ipv4Addr::new(127, high | 0x80, low, vm), 0));
    let address = listener.and_then(|l| l.local_addr());
    address.expect("a free port")
}

/// Sends the HTTP head of a call that reports a job's progress.
pub fn send_head(stream: &mut TcpStream, job: &str, length: usize) {
    let head = format!(
        "PUT /jobs/{job}/progress HTTP/1.1\r\nhost: keeper\r\ncontent-length: {length}\r\n\r\n"
    );
    // The keeper may have closed the connection; reading the answer then returns status 0.
    let _ = stream.write_all(head.as_bytes());
}

/// Reads an answer and returns its status and body. The status is 0 if the connection
/// was closed or timed out before the whole answer arrived.
pub fn answer(stream: &mut TcpStream) -> (u16, Vec<u8>) {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return answer;
        }
        match stream.read(&mut buf) {
            // Closed, reset or timed out.
            Ok(0) | Err(_) => return (0, Vec::new()),
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
        }
    }
}

/// Parses an answer, or returns `None` while its head or body is incomplete.
fn parse_answer(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let content_length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    })?;
    let body = &bytes[end + 4..];
    (body.len() >= content_length).then(|| (status, body[..content_length].to_vec()))
}

/// Polls until `condition` holds.
///
/// Panics with `what` after [`MAX_WAIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let limit = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < limit, "timed out waiting for: {what}");
        sleep(POLL_INTERVAL);
    }
}

/// Replaces a file with a named pipe that has no other end. Opening it blocks, as on a
/// disk that does not respond.
pub fn replace_with_blocking_pipe(path: &Path) {
    // The file may not exist yet.
    let _ = std::fs::remove_file(path);
    let _alone = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.expect("a tool of the system").success());
}
