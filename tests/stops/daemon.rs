//! A real entry daemon beside a site, whose log is read.

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

/// Longest wait for anything that must happen; generous, as machines are busy.
pub const LONGEST: Duration = Duration::from_mins(1);
/// Between two looks.
const POLL: Duration = Duration::from_millis(5);

/// Waits until it holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LONGEST;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain: {what}");
        thread::sleep(POLL);
    }
}

/// A process of its own.
pub struct Daemon {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
    _folder: TempDir,
}

impl Daemon {
    /// Starts a daemon of the site and waits until it listens.
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
        daemon.address = daemon.told_address();
        daemon
    }

    fn told_address(&self) -> SocketAddr {
        let log = self.log();
        let (_, rest) = log.split_once("address=").expect("it tells its address");
        let address = rest.split_whitespace().next().expect("an address");
        address.parse().expect("an address")
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has logged this.
    pub fn wait_for_line(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }

    /// Waits until the balancer would send people here.
    pub fn wait_until_ready(&self) {
        let url = format!("http://{}/readyz", self.address);
        wait_for("ready", || ureq::get(&url).call().is_ok());
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an id");
        kill(Pid::from_raw(id), signal).expect("it is there");
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Waits for its end.
    pub fn end(&mut self) -> ExitStatus {
        wait_for("the end", || self.has_ended());
        self.child.wait().expect("a child")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
