//! Settings of a process: read from JSON and checked as a whole.

mod check;
mod model;

#[cfg(test)]
mod tests;

use std::path::Path;

use snafu::{ResultExt, Snafu};

pub use model::{EngineSettings, GatewaySettings, Role, Settings};

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("can't read {path}: {source}"))]
    Read {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The JSON is malformed, or has an unknown key or a wrong type.
    #[snafu(display("{path}: at `{at}`: {reason}"))]
    Parse {
        /// File.
        path: String,
        /// JSON path.
        at: String,
        /// Reason.
        reason: String,
    },
    /// A value is not allowed.
    #[snafu(display("{path}: {}", problems.join("\n")))]
    Invalid {
        /// File.
        path: String,
        /// All problems, each with its JSON path.
        problems: Vec<String>,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// If it can't be read, is malformed or has values that are not allowed.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
    parse(&name, &text)
}

/// Parses and checks settings; `name` is named in errors.
///
/// # Errors
///
/// If they are malformed or have values that are not allowed.
pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let mut track = serde_path_to_error::Track::new();
    let mut unknown = Vec::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut deserializer, &mut track);
    let parsed: Result<Settings, _> =
        // An optional section has a `?` in its path.
        serde_ignored::deserialize(tracked, |p| unknown.push(p.to_string().replace(".?", "")));
    let mut settings = parsed.map_err(|error| SettingsError::Parse {
        path: name.to_owned(),
        at: track.path().to_string(),
        reason: error.to_string(),
    })?;
    settings.unknown = unknown;
    deserializer.end().map_err(|error| SettingsError::Parse {
        path: name.to_owned(),
        at: ".".to_owned(),
        reason: error.to_string(),
    })?;
    let problems = check::problems(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    InvalidSnafu {
        path: name,
        problems,
    }
    .fail()
}
