//! The entry daemon and the operator's command line.

use bluebellreel::cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: cli::Arguments = argh::from_env();
    cli::run(arguments)
}
