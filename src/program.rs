//! Runs a program: logging, start, signals and graceful shutdown.

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
/// Exit code of a stop that interrupted work.
const INTERRUPTED: u8 = 3;

/// Stops a program's components and returns whether no work was interrupted.
pub type StopFn = Box<dyn FnOnce() -> bool + Send>;

/// A running program.
pub struct Running {
    /// Stops the program gracefully and waits until it has stopped.
    pub stop: StopFn,
}

/// Action taken on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    /// Begin the graceful stop.
    Stop,
    /// Exit at once and interrupt the work in progress.
    ExitNow,
    /// Ignore the signal.
    Ignore,
}

/// Signals received so far.
///
/// Guards against a platform that repeats SIGTERM during a stop, and against a
/// SIGHUP that is not meant to end the process: either would interrupt requests
/// whose callers could then not know whether they ran. Only a user at a terminal
/// who presses Ctrl-C a second time may do that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SignalState {
    stopping: bool,
    interrupted: bool,
}

impl SignalState {
    /// Records a signal and returns the action to take.
    fn handle(&mut self, signal: i32) -> SignalAction {
        let again = signal == SIGINT && self.interrupted;
        self.interrupted |= signal == SIGINT;
        if again {
            return SignalAction::ExitNow;
        }
        if signal == SIGHUP || self.stopping {
            return SignalAction::Ignore;
        }
        self.stopping = true;
        SignalAction::Stop
    }
}

/// Runs a program until SIGTERM or SIGINT stops it. A second SIGINT ends it at
/// once; a repeated SIGTERM, and SIGHUP, are ignored.
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
    // Install the signal handlers first: before that, SIGHUP would kill the
    // process.
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

/// Events handled while a program runs.
enum Event {
    Signal(i32),
    Stopped { clean: bool },
}

fn wait_and_stop(mut signals: Signals, running: Running) -> ExitCode {
    let (tx, rx) = mpsc::channel();
    let signal_tx = tx.clone();
    thread::spawn(move || {
        for signal in signals.forever() {
            signal_tx.send(Event::Signal(signal)).ok();
        }
    });
    let mut state = SignalState::default();
    let mut stop = Some(running.stop);
    loop {
        match rx.recv() {
            Ok(Event::Signal(signal)) => match state.handle(signal) {
                SignalAction::Stop => begin_stop(stop.take(), tx.clone()),
                SignalAction::Ignore => {
                    log::warn!(target: "program", signal; "signal ignored");
                }
                SignalAction::ExitNow => {
                    eprintln!(
                        "stopped at once by a second SIGINT: requests in progress were cut off"
                    );
                    return ExitCode::from(INTERRUPTED);
                }
            },
            Ok(Event::Stopped { clean: true }) => return ExitCode::SUCCESS,
            Ok(Event::Stopped { clean: false }) | Err(_) => return ExitCode::from(INTERRUPTED),
        }
    }
}

fn begin_stop(stop: Option<StopFn>, tx: Sender<Event>) {
    let Some(stop) = stop else {
        return;
    };
    thread::spawn(move || {
        // If the stop panicked unnoticed, the process would keep running without
        // its components.
        let clean = panic::catch_unwind(AssertUnwindSafe(stop)).unwrap_or(false);
        tx.send(Event::Stopped { clean }).ok();
    });
}
