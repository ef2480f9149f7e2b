//! The life of a program: logs, start, signals, graceful stop.

use bluebellreel_settings::{LogLevel, LogTarget};
use bluebellreel_telemetry::{LogSettings, start_logging};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::mpsc::{self, Sender};
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

/// What a signal leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reaction {
    /// The graceful stop begins.
    Stop,
    /// The process ends now, whatever is in progress.
    EndNow,
    /// Nothing changes.
    GoOn,
}

/// The signals that have come so far.
///
/// Guards against a platform that sends SIGTERM again while a stop goes on, and
/// against a SIGHUP that nobody meant as an end: both cut requests whose
/// callers then do not know what ran. Only a person at a terminal, who presses
/// Ctrl-C a second time, may have that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SignalState {
    stopping: bool,
    interrupted: bool,
}

impl SignalState {
    /// Takes a signal in.
    fn take(&mut self, signal: i32) -> Reaction {
        let again = signal == SIGINT && self.interrupted;
        self.interrupted |= signal == SIGINT;
        if again {
            return Reaction::EndNow;
        }
        if signal == SIGHUP || self.stopping {
            return Reaction::GoOn;
        }
        self.stopping = true;
        Reaction::Stop
    }
}

/// Runs a program until SIGTERM or SIGINT asks it to stop. A second SIGINT ends
/// it at once; a repeated SIGTERM and SIGHUP change nothing.
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
    // Signals first: until then SIGHUP would kill the process.
    let started = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(eyre::Report::from)
        .and_then(|signals| start_logging(&settings).map(|()| signals))
        .and_then(|signals| Ok((signals, start()?)));
    match started {
        Ok((signals, running)) => wait_and_stop(signals, running),
        Err(e) => {
            eprintln!("not started: {e}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

/// What happens while a program runs.
enum News {
    Signal(i32),
    Stopped { clean: bool },
}

fn wait_and_stop(mut signals: Signals, running: Running) -> ExitCode {
    let (tx, rx) = mpsc::channel();
    let told = tx.clone();
    thread::spawn(move || {
        for signal in signals.forever() {
            told.send(News::Signal(signal)).ok();
        }
    });
    let mut state = SignalState::default();
    let mut stop = Some(running.stop);
    loop {
        match rx.recv() {
            Ok(News::Signal(signal)) => match state.take(signal) {
                Reaction::Stop => begin_stop(stop.take(), tx.clone()),
                Reaction::GoOn => {
                    log::warn!(target: "program", signal; "A signal that changes nothing.");
                }
                Reaction::EndNow => {
                    eprintln!("stopped at once by a second SIGINT: requests in progress were cut");
                    return ExitCode::from(CUT);
                }
            },
            Ok(News::Stopped { clean: true }) => return ExitCode::SUCCESS,
            Ok(News::Stopped { clean: false }) | Err(_) => return ExitCode::from(CUT),
        }
    }
}

fn begin_stop(stop: Option<StopFn>, tx: Sender<News>) {
    let Some(stop) = stop else {
        return;
    };
    thread::spawn(move || {
        // A stop that panics would leave the process running without its parts.
        let clean = panic::catch_unwind(AssertUnwindSafe(stop)).unwrap_or(false);
        tx.send(News::Stopped { clean }).ok();
    });
}
