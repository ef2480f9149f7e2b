//! A child process of a test site.

use eyre::OptionExt;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Environment variable with the folder in which each process's log is stored.
const LOG_FOLDER_VARIABLE: &str = "BLUEBELLREEL_SITE_LOGS";

/// Opens the log of a process. The log is discarded unless the environment variable
/// [`LOG_FOLDER_VARIABLE`] is set.
fn log_output(program: &Path, arguments: &[String]) -> eyre::Result<Stdio> {
    let Some(folder) = std::env::var_os(LOG_FOLDER_VARIABLE) else {
        return Ok(Stdio::null());
    };
    let program = program.file_name().and_then(|name| name.to_str());
    let last = arguments.last().map_or("", String::as_str);
    let last = last.rsplit('/').next().unwrap_or(last);
    let own_id = std::process::id();
    let name = format!("{own_id}-{}-{last}.log", program.unwrap_or("process"));
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(Path::new(&folder).join(name))?;
    Ok(Stdio::from(file))
}

/// A child process that can be restarted with the same arguments. It is killed on drop.
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
            .stderr(log_output(program, arguments)?)
            .spawn()?;
        Ok(Self {
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            child,
        })
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let id = i32::try_from(self.child.id())?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the program again with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn restart(&mut self) -> eyre::Result<()> {
        *self = Self::start(&self.program, &self.arguments)?;
        Ok(())
    }

    /// Stops the process gracefully with SIGTERM and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn stop(&mut self) -> eyre::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        Ok(self.child.wait()?)
    }

    /// Peak resident memory of the process so far, in KiB.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn peak_memory_kib(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let field = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(field
            .ok_or_eyre("no VmHWM in the process status")?
            .parse()?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
