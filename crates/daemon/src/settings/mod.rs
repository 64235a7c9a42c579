//! Reads the settings of a process from JSON and validates them.

mod check;
mod model;
mod number;

#[cfg(test)]
mod tests;

use std::path::Path;

use snafu::{ResultExt, Snafu};

pub use model::{EngineSettings, GatewaySettings, RankSettings, Role, Settings};

/// Errors of reading and validating settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("can't read {path}: {source}"))]
    Read {
        path: String,
        source: std::io::Error,
    },
    /// The JSON is malformed, or has an unknown key or a wrong type.
    #[snafu(display("{path}: at `{at}`: {reason}"))]
    Parse {
        path: String,
        /// JSON path of the value, `.` for the document.
        at: String,
        reason: String,
    },
    /// Well-formed settings failed validation.
    #[snafu(display("{path}: {}", problems.join("\n")))]
    Invalid {
        path: String,
        /// All problems, each with its JSON path.
        problems: Vec<String>,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, is malformed or fails validation.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
    parse(&name, &text)
}

/// Parses and validates settings; errors refer to the file as `name`.
///
/// # Errors
///
/// Fails if the settings are malformed or fail validation.
pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let mut track = serde_path_to_error::Track::new();
    let mut unknown = Vec::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut deserializer, &mut track);
    let parsed: Result<Settings, _> =
        // `serde_ignored` adds a `?` to the path for each optional section.
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
        settings.notes = check::notes(&settings);
        return Ok(settings);
    }
    InvalidSnafu {
        path: name,
        problems,
    }
    .fail()
}
