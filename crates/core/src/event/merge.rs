//! Merges the events of several processes into one timeline.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, SystemTime};

use super::{Record, Stamp};

/// Selects the events of a timeline; the default selects all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Selects only events that concern this request.
    pub request: Option<String>,
    /// Selects only events that concern this group.
    pub group: Option<String>,
    /// Selects only events at or after this wall-clock time, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Selects only events before this wall-clock time, in milliseconds since the Unix epoch.
    pub until_ms: Option<u64>,
}

impl Filter {
    /// Whether an event meets all conditions.
    #[must_use]
    pub fn passes(&self, record: &Record) -> bool {
        let wall_ms = record.stamp.wall_ms;
        let request = self.request.is_none() || record.request == self.request;
        let group = self.group.is_none() || record.group == self.group;
        let after_start = self.from_ms.is_none_or(|from| wall_ms >= from);
        let before_end = self.until_ms.is_none_or(|until| wall_ms < until);
        request && group && after_start && before_end
    }
}

/// Merges the events of several processes, sorted by timestamp and then by host. Duplicates, for
/// instance of a process that was queried twice, are removed.
#[must_use]
pub fn merge(processes: Vec<Vec<Record>>, filter: &Filter) -> Vec<Record> {
    let mut seen: BTreeSet<(Stamp, String, u16, String)> = BTreeSet::new();
    let mut merged: Vec<Record> = Vec::new();
    for record in processes.into_iter().flatten() {
        let identity = (
            record.stamp,
            record.host.clone(),
            record.number,
            record.detail.clone(),
        );
        if filter.passes(&record) && seen.insert(identity) {
            merged.push(record);
        }
    }
    merged.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    merged
}

impl fmt::Display for Record {
    /// Writes one line: time in UTC, counter, host, number, name, request, group, facts and
    /// description.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp { wall_ms, counter } = self.stamp;
        write!(f, "{}.{counter} {}", Utc(wall_ms), self.host)?;
        write!(f, " {} {}", self.number, self.name)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if let Some(group) = &self.group {
            write!(f, " group={group}")?;
        }
        for (name, fact) in &self.facts {
            write!(f, " {name}={fact}")?;
        }
        if !self.detail.is_empty() {
            // The detail may come from outside. Escaping keeps it on one line.
            write!(f, ": {}", self.detail.escape_debug())?;
        }
        Ok(())
    }
}

struct Utc(u64);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(self.0));
        // RFC 3339 can represent times only up to the year 9999.
        match time.filter(|_| self.0 < 253_402_300_800_000) {
            Some(time) => write!(f, "{}", humantime::format_rfc3339_millis(time)),
            None => write!(f, "{} ms", self.0),
        }
    }
}
