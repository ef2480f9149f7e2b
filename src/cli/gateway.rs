//! Commands of VMs on the users' platform: the gateway and the keeper.

use bluebellreel_gateway::{Surroundings, run_gateway};
use bluebellreel_keeper::run_keeper;
use bluebellreel_settings::{SettingsError, load_gateway, load_keeper};
use bluebellreel_telemetry::{JsonLog, start_json_logging};
use eyre::WrapErr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Variable that names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "BLUEBELLREEL_CONFIG";
/// Exit code for input that cannot be used.
const BAD_INPUT: u8 = 2;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of a stop that cut something.
const CUT: u8 = 3;
/// Longest that the end of a process waits for the reader of its log; a gateway
/// ends some 700 ms before it would be killed.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Parts of a gateway that log their decisions.
const PARTS: [&str; 6] = ["gateway", "facts", "members", "online", "jobs", "http"];
/// Parts of a keeper that do.
const KEEPER_PARTS: [&str; 2] = ["keeper", "http"];

/// The settings file: as given, or as the environment names it.
fn settings_path(given: Option<PathBuf>) -> Option<PathBuf> {
    let path = given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    if path.is_none() {
        eprintln!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
    }
    path
}

/// Reads the settings of a program.
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

/// Has the log written to its end. A process that ends while its last lines
/// wait for their thread takes them with it: what was cut by a stop, and that
/// it was one, would never be known.
fn end_log(log: &JsonLog) {
    if !log.flush(Instant::now() + LAST_LINES) {
        eprintln!("the last log lines were not written: their reader has stopped");
    }
}

/// Handles signals before anything else is done; whether it could.
fn handles_signals() -> bool {
    let taken = bluebellreel_signals::install_handlers();
    if let Err(e) = &taken {
        eprintln!("not started: signals: {e}");
    }
    taken.is_ok()
}

/// Runs a gateway until it is asked to stop.
pub(super) fn gateway(given: Option<PathBuf>) -> ExitCode {
    if !handles_signals() {
        return ExitCode::from(FAILED);
    }
    let Some((path, settings)) = settings(given, load_gateway) else {
        return ExitCode::from(BAD_INPUT);
    };
    let run = start_json_logging(log::LevelFilter::Info, &PARTS, std::io::stdout())
        .wrap_err("logs")
        .and_then(|log| {
            let dropped = log.dropped.clone();
            let around = Surroundings {
                lines_dropped: Box::new(move || dropped.count()),
                read_settings: Box::new(move || load_gateway(&path)),
                settings_changed: Rc::default(),
            };
            let run = run_gateway(settings, around);
            end_log(&log);
            run
        });
    match run {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CUT),
        Err(e) => {
            eprintln!("not started: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}

/// Runs a keeper until it is asked to stop.
pub(super) fn keeper(given: Option<PathBuf>) -> ExitCode {
    if !handles_signals() {
        return ExitCode::from(FAILED);
    }
    let Some((path, settings)) = settings(given, load_keeper) else {
        return ExitCode::from(BAD_INPUT);
    };
    let run = start_json_logging(log::LevelFilter::Info, &KEEPER_PARTS, std::io::stdout())
        .wrap_err("logs")
        .and_then(|log| {
            let run = run_keeper(settings, Box::new(move || load_keeper(&path)));
            end_log(&log);
            run
        });
    match run {
        Ok(ended) if ended.is_clean() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT),
        Err(e) => {
            eprintln!("not started: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}
