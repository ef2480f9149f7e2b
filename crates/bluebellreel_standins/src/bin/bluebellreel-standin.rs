//! The stand-ins as programs.

use bluebellreel_standins::program;

fn main() -> eyre::Result<()> {
    program::run(&argh::from_env())
}
