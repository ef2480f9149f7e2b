//! One process of a site.

use eyre::OptionExt;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Environment variable naming a folder in which each process's log is kept.
const LOGS: &str = "BLUEBELLREEL_SITE_LOGS";

/// Where a process's log goes: nowhere unless somebody looks for a fault.
fn log_of(program: &Path, arguments: &[String]) -> eyre::Result<Stdio> {
    let Some(folder) = std::env::var_os(LOGS) else {
        return Ok(Stdio::null());
    };
    let program = program.file_name().and_then(|name| name.to_str());
    let last = arguments.last().map_or("", String::as_str);
    let last = last.rsplit('/').next().unwrap_or(last);
    let me = std::process::id();
    let name = format!("{me}-{}-{last}.log", program.unwrap_or("process"));
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(Path::new(&folder).join(name))?;
    Ok(Stdio::from(file))
}

/// A process that can be started again with the same arguments.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    child: Child,
}

impl Process {
    pub(crate) fn start(program: &Path, arguments: &[String]) -> eyre::Result<Self> {
        let child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(log_of(program, arguments)?)
            .spawn()?;
        Ok(Self {
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            child,
        })
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Freezes it.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills it.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts it again.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn restart(&mut self) -> eyre::Result<()> {
        *self = Self::start(&self.program, &self.arguments)?;
        Ok(())
    }

    /// Asks it to stop gracefully and waits until it has.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn stop(&mut self) -> eyre::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        Ok(self.child.wait()?)
    }

    /// Most memory that it has held so far, in KiB.
    ///
    /// # Errors
    ///
    /// Gives the system's error.
    pub fn peak_memory_kib(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let field = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(field.ok_or_eyre("no peak memory")?.parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
