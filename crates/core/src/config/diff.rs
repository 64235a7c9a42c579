//! Differences between two configurations, with one line of text per changed value.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::Config;

/// A value that was added, removed or changed. [`fmt::Display`] prints it as one line of a diff.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// JSON path of the value, such as `teams.blue.weight`.
    pub path: String,
    /// Old value as JSON; `None` if it was added.
    pub before: Option<String>,
    /// New value as JSON; `None` if it was removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Returns the differences, sorted by path within each section. The revision is not compared.
#[must_use]
pub fn diff(before: &Config, after: &Config) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare_all(
        &mut differences,
        "services",
        &before.services,
        &after.services,
    );
    compare_all(&mut differences, "teams", &before.teams, &after.teams);
    compare_all(&mut differences, "groups", &before.groups, &after.groups);
    differences
}

fn compare_all<T: Serialize + PartialEq>(
    differences: &mut Vec<Difference>,
    section: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            let path = format!("{section}.{name}");
            compare(
                differences,
                path,
                to_value(old).as_ref(),
                to_value(new).as_ref(),
            );
        }
    }
}

fn to_value<T: Serialize>(value: Option<&T>) -> Option<Value> {
    value.map(|v| serde_json::to_value(v).unwrap_or(Value::Null))
}

fn compare(
    differences: &mut Vec<Difference>,
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let fields: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for field in fields {
            compare(
                differences,
                format!("{path}.{field}"),
                old.get(field),
                new.get(field),
            );
        }
        return;
    }
    differences.push(Difference {
        path,
        before: before.map(ToString::to_string),
        after: after.map(ToString::to_string),
    });
}
