//! The command line of `bluebellreel`.

mod client;
mod commands;
mod explain;
mod gateway;
mod output;

pub use commands::{Arguments, run};
pub use explain::{LogLine, explain};
