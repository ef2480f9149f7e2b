//! Commands run on the VMs of the users' platform: the gateway and the keeper.

use bluebellreel_gateway::{ProcessHooks, run_gateway};
use bluebellreel_keeper::run_keeper;
use bluebellreel_settings::{SettingsError, load_gateway, load_keeper};
use bluebellreel_telemetry::{JsonLog, start_json_logging};
use eyre::WrapErr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Environment variable with the path of the settings file, used if `--settings` is
/// not given.
const SETTINGS_VARIABLE: &str = "BLUEBELLREEL_CONFIG";
/// Exit code for invalid input.
const BAD_INPUT: u8 = 2;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of a stop that interrupted work.
const INTERRUPTED: u8 = 3;
/// How long an exiting process waits for the reader of its log. A gateway exits
/// some 700 ms before it would be killed.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Log targets of a gateway whose lines are written.
const GATEWAY_LOG_TARGETS: [&str; 7] = [
    "gateway", "facts", "members", "online", "jobs", "teams", "http",
];
/// Log targets of a keeper whose lines are written.
const KEEPER_LOG_TARGETS: [&str; 2] = ["keeper", "http"];

/// Returns the path of the settings file: the given one, or else that of the
/// environment.
fn settings_path(given: Option<PathBuf>) -> Option<PathBuf> {
    let path = given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    if path.is_none() {
        eprintln!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
    }
    path
}

/// Loads the settings of a program, and prints the error if that fails.
fn settings<T>(
    given: Option<PathBuf>,
    load: impl Fn(&Path) -> Result<T, SettingsError>,
) -> Option<(PathBuf, T)> {
    let path = settings_path(given)?;
    match load(&path) {
        Ok(settings) => Some((path, settings)),
        Err(e) => {
            eprintln!("{e}");
            None
        }
    }
}

/// Flushes the log. If the process exited while its last lines were still queued
/// for the log thread, they would be lost, and with them which work a stop
/// interrupted.
fn flush_log(log: &JsonLog) {
    if !log.flush(Instant::now() + LOG_FLUSH_TIMEOUT) {
        eprintln!("the last log lines were not written: the reader of the log has stopped");
    }
}

/// Installs the signal handlers, before anything else is done. Returns whether this
/// succeeded.
fn install_signal_handlers() -> bool {
    let installed = bluebellreel_signals::install_handlers();
    if let Err(e) = &installed {
        eprintln!("not started: cannot install signal handlers: {e}");
    }
    installed.is_ok()
}

/// Runs a gateway until a signal stops it.
pub(super) fn gateway(given: Option<PathBuf>) -> ExitCode {
    if !install_signal_handlers() {
        return ExitCode::from(FAILED);
    }
    let Some((path, settings)) = settings(given, load_gateway) else {
        return ExitCode::from(BAD_INPUT);
    };
    let run = start_json_logging(
        log::LevelFilter::Info,
        &GATEWAY_LOG_TARGETS,
        std::io::stdout(),
    )
    .wrap_err("logs")
    .and_then(|log| {
        let dropped = log.dropped.clone();
        let hooks = ProcessHooks {
            lines_dropped: Box::new(move || dropped.count()),
            read_settings: Box::new(move || load_gateway(&path)),
            settings_changed: Rc::default(),
        };
        let run = run_gateway(settings, hooks);
        flush_log(&log);
        run
    });
    match run {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(INTERRUPTED),
        Err(e) => {
            eprintln!("not started: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}

/// Runs a keeper until a signal stops it.
pub(super) fn keeper(given: Option<PathBuf>) -> ExitCode {
    if !install_signal_handlers() {
        return ExitCode::from(FAILED);
    }
    let Some((path, settings)) = settings(given, load_keeper) else {
        return ExitCode::from(BAD_INPUT);
    };
    let run = start_json_logging(
        log::LevelFilter::Info,
        &KEEPER_LOG_TARGETS,
        std::io::stdout(),
    )
    .wrap_err("logs")
    .and_then(|log| {
        let run = run_keeper(settings, Box::new(move || load_keeper(&path)));
        flush_log(&log);
        run
    });
    match run {
        Ok(ended) if ended.is_clean() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(INTERRUPTED),
        Err(e) => {
            eprintln!("not started: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}
