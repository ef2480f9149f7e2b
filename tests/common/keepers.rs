//! Keepers as processes, and calls to them.

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

/// Longest that a test waits for something that must happen.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between looks.
const LOOK: Duration = Duration::from_millis(10);

/// A VM with a disk, and the keeper that runs on it.
pub struct KeeperVm {
    pub settings: PathBuf,
    pub data: PathBuf,
    calls: SocketAddr,
    log: PathBuf,
    child: Option<Child>,
    // Removed with everything in it at the end of the test.
    _folder: tempfile::TempDir,
}

impl KeeperVm {
    /// A VM whose keeper has so many seconds to stop, and does not run yet.
    pub fn new(grace_s: u32) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let data = folder.path().join("data");
        std::fs::create_dir(&data).expect("a new folder");
        let calls = free_address();
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

    /// The text of its settings.
    pub fn text(&self, grace_s: u32) -> String {
        format!(
            "[vm]\nname = \"keeper-1\"\naddress = \"{}\"\ndata_centre = \"hall\"\n\
             [listen]\ncalls_port = {}\n[data]\nfolder = \"{}\"\n[stop]\ngrace_s = {grace_s}\n",
            self.calls.ip(),
            self.calls.port(),
            self.data.display()
        )
    }

    /// Starts the process, and does not wait for it.
    pub fn spawn(&mut self) {
        self.spawn_as("keeper");
    }

    /// Starts a process that has the same settings file and obeys another command.
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

    /// Starts the keeper and waits until it takes calls.
    pub fn start(&mut self) {
        self.spawn();
        self.until_logged_or_ended("started");
        assert!(self.runs(), "not started: {}", self.log());
    }

    /// Waits until its log tells an event.
    pub fn until_logged(&self, event: &str) {
        let told = format!("\"event\":\"{event}\"");
        until(event, || self.log().contains(&told));
    }

    /// Waits until its log tells an event, or until the process has ended.
    pub fn until_logged_or_ended(&mut self, event: &str) {
        let told = format!("\"event\":\"{event}\"");
        until(event, || self.log().contains(&told) || !self.runs());
    }

    /// Its log since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The last line of its log.
    pub fn last_line(&self) -> String {
        self.log().lines().last().unwrap_or_default().to_owned()
    }

    /// Signals the process, unless it has ended.
    pub fn signal(&mut self, signal: Signal) {
        let child = self.child.as_mut().expect("it was started");
        if child.try_wait().expect("our own process").is_some() {
            return;
        }
        // Only we wait for it, so the id is still its own.
        let id = i32::try_from(child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("our own process");
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut().expect("it was started");
        child.try_wait().expect("our own process").is_none()
    }

    /// Waits for the process to end; its exit code, if no signal killed it.
    pub fn ended(&mut self) -> Option<i32> {
        until("the process ends", || !self.runs());
        let mut child = self.child.take().expect("it was started");
        child.wait().expect("our own process").code()
    }

    /// Asks the process to stop, and waits for its end.
    pub fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        self.ended()
    }

    /// A connection to it.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.calls).expect("it listens");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a time-out of its own");
        stream
    }

    /// Tells it how far a job is; the status of its answer.
    pub fn put(&self, job: &str, progress: &[u8]) -> u16 {
        let mut stream = self.connect();
        send_head(&mut stream, job, progress.len());
        stream.write_all(progress).expect("sent");
        answer(&mut stream).0
    }

    /// Asks it how far a job is; nothing if it does not know.
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
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Held while a port is looked for, and while a process is started: until its
/// program runs, a new process holds all sockets of this one open, and the port
/// would not be free.
static PORTS: Mutex<()> = Mutex::new(());

/// An address on loopback that no other VM of a test has, with a free port: on a
/// shared one, the port of a keeper that is down may be taken by somebody's
/// connection.
fn free_address() -> SocketAddr {
    static VMS: AtomicU8 = AtomicU8::new(1);
    // These bytes of the process id differ between runs side by side.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let vm = VMS.fetch_add(1, Ordering::Relaxed);
    let _alone = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let listener = TcpListener::bind((Ipv4Addr::new(127, high | 0x80, low, vm), 0));
    let address = listener.and_then(|l| l.local_addr());
    address.expect("a free port")
}

/// Sends the head of a call that tells how far a job is.
pub fn send_head(stream: &mut TcpStream, job: &str, length: usize) {
    let head = format!(
        "PUT /jobs/{job}/progress HTTP/1.1\r\nhost: keeper\r\ncontent-length: {length}\r\n\r\n"
    );
    // The connection may be closed already, which the answer shows.
    let _ = stream.write_all(head.as_bytes());
}

/// Reads an answer: its status and body. The status is 0 if none came.
pub fn answer(stream: &mut TcpStream) -> (u16, Vec<u8>) {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        if let Some(whole) = whole(&bytes) {
            return whole;
        }
        match stream.read(&mut buf) {
            // Closed, reset, or silent for too long.
            Ok(0) | Err(_) => return (0, Vec::new()),
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
        }
    }
}

/// An answer whose body has come to its end.
fn whole(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let stated = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    })?;
    let body = &bytes[end + 4..];
    (body.len() >= stated).then(|| (status, body[..stated].to_vec()))
}

/// Waits until something is so.
pub fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let limit = Instant::now() + TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < limit, "never: {what}");
        sleep(LOOK);
    }
}

/// Puts a pipe that nobody reads or writes in place of a file: whoever opens it
/// hangs, as on a disk that does not answer.
pub fn hang_at(path: &Path) {
    // It may not have been written yet.
    let _ = std::fs::remove_file(path);
    let _alone = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.expect("a tool of the system").success());
}
