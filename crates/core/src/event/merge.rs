//! One time line from the events of several processes.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, SystemTime};

use super::{Record, Stamp};

/// Which events a time line shows. By default all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only events about this request.
    pub request: Option<String>,
    /// Only events about this group.
    pub group: Option<String>,
    /// Only events at or after this wall-clock time, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Only events before this wall-clock time, in milliseconds since the Unix epoch.
    pub until_ms: Option<u64>,
}

impl Filter {
    /// Whether an event passes.
    #[must_use]
    pub fn passes(&self, record: &Record) -> bool {
        let wall_ms = record.stamp.wall_ms;
        let request = self.request.is_none() || record.request == self.request;
        let group = self.group.is_none() || record.group == self.group;
        let late = self.from_ms.is_none_or(|from| wall_ms >= from);
        let early = self.until_ms.is_none_or(|until| wall_ms < until);
        request && group && late && early
    }
}

/// Merges the events of several processes, by stamp and then by host. An event that came twice,
/// for instance from a process that was asked again, is shown once.
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
    /// One line: time in UTC, counter, host, number and name, what it is about, particulars.
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
            // A detail may come from outside; it must not break the line.
            write!(f, ": {}", self.detail.escape_debug())?;
        }
        Ok(())
    }
}

struct Utc(u64);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(self.0));
        // The format ends with the year 9999.
        match time.filter(|_| self.0 < 253_402_300_800_000) {
            Some(time) => write!(f, "{}", humantime::format_rfc3339_millis(time)),
            None => write!(f, "{} ms", self.0),
        }
    }
}
