//! Logging as JSON lines on standard output, each with its event number if it has one.

mod output;

use std::fmt;
use std::io::{self, Write};
use std::time::SystemTime;

use fern::FormatCallback;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;
use snafu::{ResultExt, Snafu};

pub use output::{Writer, dropped_lines};

/// Errors of setting up the log.
#[derive(Debug, Snafu)]
pub enum LogError {
    #[snafu(display("can't start the log writer thread: {source}"))]
    Thread { source: io::Error },
    /// The process already has a global logger.
    #[snafu(display("can't set up the log: {source}"))]
    AlreadyInitialized { source: log::SetLoggerError },
}

/// Installs the process's logger. Call [`Writer::close`] at exit, or the last lines are lost.
///
/// # Errors
///
/// Fails if the writer thread can't be started or the process already has a logger.
pub fn init(level: LevelFilter) -> Result<Writer, LogError> {
    let (queue, writer) = output::start(io::stdout()).context(ThreadSnafu)?;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("eelgrasshold_net", level)
        .level_for("eelgrassholdd", level)
        .format(format)
        .chain(Box::new(queue) as Box<dyn Write + Send>)
        .apply()
        .context(AlreadyInitializedSnafu)?;
    Ok(writer)
}

fn format(out: FormatCallback<'_>, message: &fmt::Arguments<'_>, record: &Record<'_>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    out.finish(format_args!(
        "{}",
        format_line(&time, &message.to_string(), record)
    ));
}

/// Formats one log line, without the line break.
pub fn format_line(time: &str, message: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), time.into());
    fields.0.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    // `Fields::visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0.insert("message".into(), message.into());
    serde_json::Value::Object(fields.0).to_string()
}

/// JSON fields of a log line; pairs with an empty value are left out.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        if value != serde_json::Value::String(String::new()) {
            self.0.insert(key.to_string(), value);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
