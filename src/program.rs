//! The life of a program: logs, start, signals, graceful stop.

use bluebellreel_settings::{LogLevel, LogTarget};
use bluebellreel_telemetry::{LogSettings, start_logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;

/// Exit code of a program that could not start.
const NOT_STARTED: u8 = 1;
/// Exit code of a stop that cut something.
const CUT: u8 = 3;

/// Stops a program's parts; whether nothing was cut.
pub type StopFn = Box<dyn FnOnce() -> bool + Send>;

/// A program that runs.
pub struct Running {
    /// Waits for a graceful stop.
    pub stop: StopFn,
}

/// Runs a program until it is asked to stop by SIGTERM or SIGINT. A second
/// signal ends it at once.
pub fn run_program(log: &LogTarget, start: impl FnOnce() -> eyre::Result<Running>) -> ExitCode {
    let settings = LogSettings {
        level: match log.level {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
        },
        file: log.file.clone(),
    };
    let started = start_logging(&settings)
        .and_then(|()| Ok(Signals::new([SIGTERM, SIGINT])?))
        .and_then(|signals| Ok((signals, start()?)));
    match started {
        Ok((signals, running)) => wait_and_stop(signals, running),
        Err(e) => {
            eprintln!("not started: {e}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn wait_and_stop(mut signals: Signals, running: Running) -> ExitCode {
    if signals.forever().next().is_none() {
        return ExitCode::SUCCESS;
    }
    let (tx, rx) = mpsc::channel();
    let stopped = tx.clone();
    thread::spawn(move || {
        let clean = (running.stop)();
        stopped.send(Some(clean)).ok();
    });
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            tx.send(None).ok();
        }
    });
    match rx.recv() {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(CUT),
        Ok(None) | Err(_) => {
            eprintln!("stopped at once by a second signal: requests in progress were cut");
            ExitCode::from(CUT)
        }
    }
}
