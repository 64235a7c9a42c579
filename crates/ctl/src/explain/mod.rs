//! What happened to one request, from the log lines of all processes.
//!
//! The lines of the request are shown with what the same processes came to believe, shortly before
//! or meanwhile, about the upstreams that it was sent to: those lines carry another request's id
//! or none, and are often the cause.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

use eelgrasshold_core::event::{EventKind, Fact, Filter, Record, Stamp, merge};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Time before the first line of a request from which beliefs are shown, in milliseconds. An
/// upstream is left out for a few seconds, and an older belief has been replaced.
const BELIEF_SPAN_MS: u64 = 10_000;

/// Decisions and beliefs about an upstream that other requests or the registry brought about.
const BELIEFS: [EventKind; 8] = [
    EventKind::SuspectNoted,
    EventKind::UpstreamEjected,
    EventKind::UpstreamReturned,
    EventKind::UpstreamListed,
    EventKind::UpstreamLeaving,
    EventKind::UpstreamLapsed,
    EventKind::UpstreamRelisted,
    EventKind::UpstreamGone,
];

/// Name of the fact that says which upstream an event is about.
const UPSTREAM: &str = "upstream";

/// A line as daemons write it.
#[derive(Deserialize)]
struct Line {
    event: Option<u16>,
    #[serde(default)]
    name: String,
    #[serde(default)]
    host: String,
    stamp: Option<String>,
    request: Option<String>,
    group: Option<String>,
    #[serde(default)]
    message: String,
    #[serde(default)]
    count: u64,
    #[serde(flatten)]
    rest: BTreeMap<String, serde_json::Value>,
}

/// What is gathered from log lines about a request.
#[derive(Debug, Default)]
pub struct Explanation {
    request: String,
    own: Vec<Record>,
    beliefs: Vec<Record>,
    /// Lines that no daemon wrote, or only a part of.
    pub bad_lines: u64,
    /// Lines that the daemons say they left out.
    pub left_out: u64,
}

impl Explanation {
    /// Begins to look for a request.
    #[must_use]
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            ..Self::default()
        }
    }

    /// Takes the lines of one file.
    ///
    /// # Errors
    ///
    /// If the reader fails. A line that can't be understood is counted.
    pub fn read(&mut self, mut lines: impl BufRead) -> io::Result<()> {
        let mut line = Vec::new();
        while lines.read_until(b'\n', &mut line)? > 0 {
            let text = String::from_utf8_lossy(&line);
            if !text.trim().is_empty() {
                self.take(text.trim());
            }
            line.clear();
        }
        Ok(())
    }

    fn take(&mut self, text: &str) {
        // Collectors of logs put a time or a name before each line.
        let object = text.find('{').and_then(|start| text.get(start..));
        let parsed = object.and_then(|o| serde_json::from_str::<Line>(o).ok());
        let Some(line) = parsed else {
            self.bad_lines += 1;
            return;
        };
        let Some(number) = line.event else {
            // A plain message of a library.
            return;
        };
        if number == EventKind::LinesLeftOut.number() {
            self.left_out += line.count;
            return;
        }
        let Some(stamp) = line.stamp.as_ref().and_then(|s| s.parse::<Stamp>().ok()) else {
            self.bad_lines += 1;
            return;
        };
        let record = Record {
            stamp,
            host: line.host,
            number,
            name: line.name,
            request: line.request,
            group: line.group,
            detail: line.message,
            facts: line.rest.into_iter().filter_map(fact).collect(),
        };
        if record.request.as_deref() == Some(self.request.as_str()) {
            self.own.push(record);
        } else if BELIEFS.iter().any(|kind| kind.number() == number) {
            self.beliefs.push(record);
        }
    }

    /// The events of the request with the beliefs that bear on it, causes first.
    #[must_use]
    pub fn events(self) -> Vec<Record> {
        let upstreams: BTreeSet<String> = self.own.iter().filter_map(upstream).collect();
        let hosts: BTreeSet<String> = self.own.iter().map(|r| r.host.clone()).collect();
        let stamps = self.own.iter().map(|r| r.stamp.wall_ms);
        let (Some(first), Some(last)) = (stamps.clone().min(), stamps.max()) else {
            return Vec::new();
        };
        let span = first.saturating_sub(BELIEF_SPAN_MS)..=last;
        let bears = |r: &Record| {
            span.contains(&r.stamp.wall_ms)
                && hosts.contains(r.host.as_str())
                && upstream(r).is_some_and(|u| upstreams.contains(&u))
        };
        let beliefs = self.beliefs.into_iter().filter(bears).collect();
        merge(vec![self.own, beliefs], &Filter::default())
    }
}

/// Upstream that an event is about.
fn upstream(record: &Record) -> Option<String> {
    record.facts.get(UPSTREAM).map(ToString::to_string)
}

fn fact((name, value): (String, serde_json::Value)) -> Option<(String, Fact)> {
    // Said by the stamp and the event's number.
    if ["time", "level"].contains(&name.as_str()) {
        return None;
    }
    let fact = match value {
        serde_json::Value::Number(n) => n.as_u64().map(Fact::Number)?,
        serde_json::Value::String(text) => Fact::Text(text),
        other => Fact::Text(other.to_string()),
    };
    Some((name, fact))
}

/// Rows of a table: time since the first event of the request in milliseconds, process, event and
/// particulars. Events of other requests are marked with `*`.
#[must_use]
pub fn rows(request: &str, events: &[Record]) -> Vec<Vec<String>> {
    let is_own = |r: &&Record| r.request.as_deref() == Some(request);
    let first = events.iter().find(is_own).map_or(0, |r| r.stamp.wall_ms);
    let row = |r: &Record| {
        let offset = i128::from(r.stamp.wall_ms) - i128::from(first);
        let mark = if is_own(&r) { "" } else { "*" };
        let mut about: Vec<String> = r.facts.iter().map(|(k, v)| format!("{k}={v}")).collect();
        if !r.detail.is_empty() {
            about.push(r.detail.escape_debug().to_string());
        }
        vec![
            format!("{offset:+}"),
            r.host.clone(),
            format!("{}{mark}", r.number),
            r.name.clone(),
            about.join(" "),
        ]
    };
    events.iter().map(row).collect()
}
