//! The side process beside a backend server.

use bluebellreel::settings::load_side;
use bluebellreel::side::start_side;
use std::process::ExitCode;

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Runs the side process of a backend server; no other process sends requests to
/// it.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file (TOML)
    #[argh(option)]
    settings: String,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match load_side(&arguments.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.settings);
        return ExitCode::SUCCESS;
    }
    bluebellreel::run_program(&settings.log, || {
        let side = start_side(&settings)?;
        Ok(bluebellreel::Running {
            stop: Box::new(move || side.stop()),
        })
    })
}
