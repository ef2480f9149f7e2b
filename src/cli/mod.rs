//! The command line of `bluebellreel`.

mod client;
mod commands;
mod gateway;
mod output;

pub use commands::{Arguments, run};
