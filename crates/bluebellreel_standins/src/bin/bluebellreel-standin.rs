//! Runs one stand-in, chosen by its subcommand.

use bluebellreel_standins::program;

fn main() -> eyre::Result<()> {
    program::run(&argh::from_env())
}
