//! An entry daemon process that joins a test site and whose log the tests read.

use bluebellreel_site::Site;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Maximum wait for an expected condition; long, because test machines may be loaded.
pub const MAX_WAIT: Duration = Duration::from_mins(1);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until `condition` holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// An entry daemon that runs as a separate process.
pub struct Daemon {
    /// The address at which the daemon listens.
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
    _folder: TempDir,
}

impl Daemon {
    /// Starts an entry daemon of the site and waits until it listens.
    pub fn start(site: &Site, index: usize) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = site
            .entry_settings(index, any_port)
            .replace("[deadlines]\n", "[deadlines]\nnotice_s = 1\n");
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("entry.toml");
        std::fs::write(&file, settings).expect("written");
        let log = folder.path().join("log");
        let child = Command::new(env!("CARGO_BIN_EXE_bluebellreel"))
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stderr(File::create(&log).expect("a log"))
            .spawn()
            .expect("it starts");
        let mut daemon = Self {
            address: any_port,
            child,
            log,
            _folder: folder,
        };
        daemon.wait_for_line("Entry daemon started.");
        daemon.address = daemon.logged_address();
        daemon
    }

    fn logged_address(&self) -> SocketAddr {
        let log = self.log();
        let (_, rest) = log
            .split_once("address=")
            .expect("the daemon logs its address");
        let address = rest.split_whitespace().next().expect("an address");
        address.parse().expect("an address")
    }

    /// The daemon's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log contains `text`.
    pub fn wait_for_line(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }

    /// Waits until `/readyz` succeeds, so that a load balancer would route requests here.
    pub fn wait_until_ready(&self) {
        let url = format!("http://{}/readyz", self.address);
        wait_for("ready", || ureq::get(&url).call().is_ok());
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        kill(Pid::from_raw(id), signal).expect("it is there");
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for("the exit", || self.has_exited());
        self.child.wait().expect("a child")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
