//! The side process beside a backend server.

use bluebellreel::settings::load_side;
use bluebellreel::side::start_side;
use std::process::ExitCode;

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

/// The process beside a backend server; the only one that sends to it.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file (TOML)
    #[argh(option)]
    settings: String,
    /// only check the settings
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
