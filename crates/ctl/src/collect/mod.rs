//! Collects configuration files and merges them into one configuration.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use eelgrasshold_core::config::{Config, Fragment, validate};
use snafu::{ResultExt, Snafu};

#[cfg(test)]
mod tests;

/// Suffix of the file names that are collected from folders.
const FILE_SUFFIX: &str = "eelgrasshold.json";
/// Maximum depth of the folder search, so that a cycle of symbolic links does not make it endless.
const MAX_DEPTH: usize = 32;

/// Errors of collecting configuration files.
#[derive(Debug, Snafu)]
pub enum CollectError {
    /// Also returned for folders that can't be listed.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file is malformed, or has an unknown key or a wrong type.
    #[snafu(display("{}: at `{at}`: {reason}", path.display()))]
    Parse {
        path: PathBuf,
        /// JSON path of the value, `.` for the document.
        at: String,
        reason: String,
    },
    /// Two files define the same name.
    #[snafu(display("{name} is defined in {} and in {}; keep one", first.display(), second.display()))]
    Duplicate {
        /// Section and name, such as `teams.classers`.
        name: String,
        first: PathBuf,
        second: PathBuf,
    },
    #[snafu(display("no file whose name ends in {FILE_SUFFIX} was found"))]
    NoFiles,
    /// The merged configuration failed validation.
    #[snafu(display("the configuration is invalid:\n{}", problems.join("\n")))]
    Invalid {
        /// All problems, each prefixed with the file that defines the value.
        problems: Vec<String>,
    },
}

/// Merged configuration and the files that it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Collected {
    /// Merged configuration; its revision is not set.
    pub config: Config,
    /// Files read, sorted and without duplicates.
    pub files: Vec<PathBuf>,
}

/// Reads the given files and all matching files below the given folders, merges them and validates
/// the result.
///
/// # Errors
///
/// Fails if there is no file, a file can't be read or is malformed, two files define the same name,
/// or the merged configuration is invalid.
pub fn collect(paths: &[PathBuf]) -> Result<Collected, CollectError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            find_files(path, 0, &mut files)?;
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    files.dedup();
    if files.is_empty() {
        return NoFilesSnafu.fail();
    }
    let mut config = Config::default();
    let mut origins = BTreeMap::new();
    for file in &files {
        let fragment = read(file)?;
        merge(
            &mut config.services,
            fragment.services,
            "services",
            file,
            &mut origins,
        )?;
        merge(
            &mut config.teams,
            fragment.teams,
            "teams",
            file,
            &mut origins,
        )?;
        merge(
            &mut config.groups,
            fragment.groups,
            "groups",
            file,
            &mut origins,
        )?;
    }
    let problems = problems(&config, &origins);
    if problems.is_empty() {
        return Ok(Collected { config, files });
    }
    InvalidSnafu { problems }.fail()
}

/// File that defines each name, by section and name.
type Origins = BTreeMap<String, PathBuf>;

fn find_files(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<(), CollectError> {
    if depth > MAX_DEPTH {
        return Ok(());
    }
    for entry in std::fs::read_dir(folder).context(ReadSnafu { path: folder })? {
        let path = entry.context(ReadSnafu { path: folder })?.path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            if !name.starts_with('.') {
                find_files(&path, depth + 1, files)?;
            }
        } else if name.ends_with(FILE_SUFFIX) {
            files.push(path);
        }
    }
    Ok(())
}

fn read(path: &Path) -> Result<Fragment, CollectError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let parsed: Result<Fragment, _> = serde_path_to_error::deserialize(&mut deserializer);
    let fragment = parsed.map_err(|error| CollectError::Parse {
        path: path.to_owned(),
        at: error.path().to_string(),
        reason: error.inner().to_string(),
    })?;
    deserializer.end().map_err(|error| CollectError::Parse {
        path: path.to_owned(),
        at: ".".to_owned(),
        reason: error.to_string(),
    })?;
    Ok(fragment)
}

fn merge<T>(
    into: &mut BTreeMap<String, T>,
    from: BTreeMap<String, T>,
    section: &str,
    file: &Path,
    origins: &mut Origins,
) -> Result<(), CollectError> {
    for (key, value) in from {
        let name = format!("{section}.{key}");
        if let Some(first) = origins.insert(name.clone(), file.to_owned()) {
            return DuplicateSnafu {
                name,
                first,
                second: file,
            }
            .fail();
        }
        into.insert(key, value);
    }
    Ok(())
}

fn problems(config: &Config, origins: &Origins) -> Vec<String> {
    let origin = |path: &str| {
        let name: Vec<_> = path.splitn(3, '.').take(2).collect();
        origins
            .get(&name.join("."))
            .map(|file| format!("{}: ", file.display()))
            .unwrap_or_default()
    };
    validate(config)
        .iter()
        .map(|p| format!("{}{p}", origin(&p.path)))
        .collect()
}
