//! Reconstructs what happened to one request from the log lines of all processes.
//!
//! Besides the events of the request itself, the result has the state changes of the upstreams that
//! it was sent to, as recorded by the same processes shortly before or during the request. Those
//! lines have the id of another request or none, and are often the cause.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

use eelgrasshold_core::event::{EventKind, Fact, Filter, Record, Stamp, merge};
use serde::Deserialize;

#[cfg(test)]
mod tests;

/// Time before the first event of a request from which upstream events are included. Ejections last
/// a few seconds, so older events no longer apply.
const LOOKBACK_MS: u64 = 10_000;

/// State changes of an upstream that other requests or the registry caused.
const UPSTREAM_EVENTS: [EventKind; 11] = [
    EventKind::SuspectNoted,
    EventKind::UpstreamEjected,
    EventKind::UpstreamReturned,
    EventKind::UpstreamListed,
    EventKind::UpstreamLeaving,
    EventKind::UpstreamLapsed,
    EventKind::UpstreamRelisted,
    EventKind::UpstreamGone,
    EventKind::UpstreamLimited,
    EventKind::UpstreamPaused,
    EventKind::UpstreamCold,
];

/// Name of the fact that identifies the upstream of an event.
const UPSTREAM_FACT: &str = "upstream";

/// A log line of a daemon.
#[derive(Deserialize)]
struct LogLine {
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

/// Collects the events that explain one request from log lines.
#[derive(Debug, Default)]
pub struct Explanation {
    request: String,
    request_events: Vec<Record>,
    upstream_events: Vec<Record>,
    /// Lines skipped because they are truncated or not log lines of a daemon.
    pub bad_lines: u64,
    /// Lines that the daemons report to have left out of their logs.
    pub left_out: u64,
}

impl Explanation {
    /// Creates an empty explanation of the request with this id.
    #[must_use]
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            ..Self::default()
        }
    }

    /// Reads the lines of one log. Lines that can't be parsed are counted in `bad_lines`.
    ///
    /// # Errors
    ///
    /// Fails if the reader fails.
    pub fn read(&mut self, mut lines: impl BufRead) -> io::Result<()> {
        let mut line = Vec::new();
        while lines.read_until(b'\n', &mut line)? > 0 {
            let text = String::from_utf8_lossy(&line);
            if !text.trim().is_empty() {
                self.add_line(text.trim());
            }
            line.clear();
        }
        Ok(())
    }

    fn add_line(&mut self, text: &str) {
        // Log collectors may prefix each line with a time or a host name.
        let object = text.find('{').and_then(|start| text.get(start..));
        let parsed = object.and_then(|o| serde_json::from_str::<LogLine>(o).ok());
        let Some(line) = parsed else {
            self.bad_lines += 1;
            return;
        };
        let Some(number) = line.event else {
            // Messages of libraries have no event number.
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
            facts: line.rest.into_iter().filter_map(to_fact).collect(),
        };
        if record.request.as_deref() == Some(self.request.as_str()) {
            self.request_events.push(record);
        } else if UPSTREAM_EVENTS.iter().any(|kind| kind.number() == number) {
            self.upstream_events.push(record);
        }
    }

    /// Returns the events of the request and the relevant upstream events, in causal order.
    #[must_use]
    pub fn events(self) -> Vec<Record> {
        let upstreams: BTreeSet<String> = self.request_events.iter().filter_map(upstream).collect();
        let hosts: BTreeSet<String> = self.request_events.iter().map(|r| r.host.clone()).collect();
        let stamps = self.request_events.iter().map(|r| r.stamp.wall_ms);
        let (Some(first), Some(last)) = (stamps.clone().min(), stamps.max()) else {
            return Vec::new();
        };
        let span = first.saturating_sub(LOOKBACK_MS)..=last;
        let is_relevant = |r: &Record| {
            span.contains(&r.stamp.wall_ms)
                && hosts.contains(r.host.as_str())
                && upstream(r).is_some_and(|u| upstreams.contains(&u))
        };
        let relevant = self
            .upstream_events
            .into_iter()
            .filter(is_relevant)
            .collect();
        merge(vec![self.request_events, relevant], &Filter::default())
    }
}

fn upstream(record: &Record) -> Option<String> {
    record.facts.get(UPSTREAM_FACT).map(ToString::to_string)
}

fn to_fact((name, value): (String, serde_json::Value)) -> Option<(String, Fact)> {
    // The record's stamp and event number already hold these.
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

/// Formats events as table rows: milliseconds since the first event of the request, process, event
/// number, event name and details. Numbers of events that are not of the request are marked with `*`.
#[must_use]
pub fn rows(request: &str, events: &[Record]) -> Vec<Vec<String>> {
    let is_own = |r: &&Record| r.request.as_deref() == Some(request);
    let first = events.iter().find(is_own).map_or(0, |r| r.stamp.wall_ms);
    let row = |r: &Record| {
        let offset = i128::from(r.stamp.wall_ms) - i128::from(first);
        let mark = if is_own(&r) { "" } else { "*" };
        let mut details: Vec<String> = r.facts.iter().map(|(k, v)| format!("{k}={v}")).collect();
        if !r.detail.is_empty() {
            details.push(r.detail.escape_debug().to_string());
        }
        vec![
            format!("{offset:+}"),
            r.host.clone(),
            format!("{}{mark}", r.number),
            r.name.clone(),
            details.join(" "),
        ]
    };
    events.iter().map(row).collect()
}
