//! Commands of VMs on the users' platform: the gateway, and waiting.

use bluebellreel_gateway::{Surroundings, run_gateway};
use bluebellreel_settings::load_gateway;
use bluebellreel_telemetry::start_json_logging;
use eyre::WrapErr;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Variable that names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "BLUEBELLREEL_CONFIG";
/// Exit code for input that cannot be used.
const BAD_INPUT: u8 = 2;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code of a stop that cut something.
const CUT: u8 = 3;
/// Parts of a gateway that log their decisions.
const PARTS: [&str; 6] = ["gateway", "facts", "members", "online", "jobs", "http"];

/// Runs a gateway until it is asked to stop.
pub(super) fn gateway(settings: Option<PathBuf>) -> ExitCode {
    let Some(path) = settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
    else {
        eprintln!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
        return ExitCode::from(BAD_INPUT);
    };
    let settings = match load_gateway(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let stdout = std::io::stdout();
    let run = start_json_logging(log::LevelFilter::Info, &PARTS, stdout)
        .wrap_err("logs")
        .and_then(|dropped| {
            let around = Surroundings {
                lines_dropped: Box::new(move || dropped.count()),
                read_settings: Box::new(move || load_gateway(&path)),
                settings_changed: Rc::default(),
            };
            run_gateway(settings, around)
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

/// Waits until it is asked to stop.
pub(super) fn idle() -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("not started: {e}");
            return ExitCode::from(FAILED);
        }
    };
    println!("{{\"level\":\"INFO\",\"part\":\"idle\",\"event\":\"started\"}}");
    let asked = signals.forever().find(|signal| *signal != SIGHUP);
    println!("{{\"level\":\"INFO\",\"part\":\"idle\",\"event\":\"stopped\"}}");
    match asked {
        Some(_) => ExitCode::SUCCESS,
        None => ExitCode::from(FAILED),
    }
}
