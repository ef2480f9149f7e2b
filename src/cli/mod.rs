//! The command line of `bluebellreel`.

mod arguments;
mod client;
mod commands;
mod explain;
mod gateway;
mod output;

pub use arguments::Arguments;
pub use commands::run;
pub use explain::{LogLine, explain};
