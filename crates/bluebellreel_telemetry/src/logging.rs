//! Logging of text lines with `key=value` fields.

use log::kv::{Error, Key, Value, VisitSource};
use std::fmt::Write;
use std::path::PathBuf;

/// Level and destination of log lines.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The lowest level that is written.
    pub level: log::LevelFilter,
    /// The file to append to. Without one, lines go to standard error.
    pub file: Option<PathBuf>,
}

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if text.contains([' ', '"', '=']) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if the file cannot be opened or logging is already started.
pub fn start_logging(settings: &LogSettings) -> eyre::Result<()> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let mut fields = Fields(String::new());
            record.key_values().visit(&mut fields).ok();
            let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!(
                "{at} {} [{}] {message}{}",
                record.level(),
                record.target(),
                fields.0
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("entry", settings.level)
        .level_for("side", settings.level)
        .level_for("router", settings.level)
        .level_for("jobs", settings.level)
        .level_for("fleet", settings.level)
        .level_for("http", settings.level)
        .level_for("kv", settings.level)
        .level_for("trace", settings.level);
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply()?;
    Ok(())
}
