//! What differs between two configurations, one readable line per value.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::Config;

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// JSON path.
    pub path: String,
    /// Value before, as JSON; none if it was added.
    pub before: Option<String>,
    /// Value after, as JSON; none if it was removed.
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

/// Lists what differs, by path; the revision doesn't count.
#[must_use]
pub fn diff(before: &Config, after: &Config) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_all(&mut found, "services", &before.services, &after.services);
    compare_all(&mut found, "teams", &before.teams, &after.teams);
    compare_all(&mut found, "groups", &before.groups, &after.groups);
    found
}

fn compare_all<T: Serialize + PartialEq>(
    found: &mut Vec<Difference>,
    section: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            let path = format!("{section}.{name}");
            compare(found, path, to_value(old).as_ref(), to_value(new).as_ref());
        }
    }
}

fn to_value<T: Serialize>(value: Option<&T>) -> Option<Value> {
    value.map(|v| serde_json::to_value(v).unwrap_or(Value::Null))
}

fn compare(
    found: &mut Vec<Difference>,
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
                found,
                format!("{path}.{field}"),
                old.get(field),
                new.get(field),
            );
        }
        return;
    }
    found.push(Difference {
        path,
        before: before.map(ToString::to_string),
        after: after.map(ToString::to_string),
    });
}
