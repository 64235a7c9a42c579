//! Whom a sidecar sends the load of its engine to, and when.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::LoadReport;
use crate::types::Now;

/// Time for which a subscription holds: two renewals may be lost.
pub const SUBSCRIPTION_TIME: Duration = Duration::from_secs(3);
/// Subscribers of one sidecar; further ones are ignored.
const MAX_SUBSCRIBERS: usize = 64;
/// Shortest time between two reads of the engine.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of a report with the headers of its datagram.
const REPORT_BYTES: f64 = 64.0;
/// Bytes that reports may take in a second.
const MAX_BYTES_PER_S: f64 = 3_000.0;

/// Subscribers of a sidecar, and what they were last told.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    subscribers: BTreeMap<SocketAddr, Now>,
    sent: Option<(Now, LoadReport)>,
}

impl Publisher {
    /// Records that a host asks for reports. It gets the next one whether the load has changed or not.
    pub fn subscribe(&mut self, now: Now, host: SocketAddr) {
        let is_known = self.subscribers.contains_key(&host);
        if !is_known && self.subscribers.len() >= MAX_SUBSCRIBERS {
            return;
        }
        if !is_known {
            self.sent = None;
        }
        self.subscribers.insert(host, now + SUBSCRIPTION_TIME);
    }

    /// Time until the engine is read again; `None` without subscribers. It grows with their number, so that
    /// reports stay within their share of the link.
    pub fn read_interval(&mut self, now: Now) -> Option<Duration> {
        self.subscribers.retain(|_, until| now < *until);
        if self.subscribers.is_empty() {
            return None;
        }
        let bytes = self.subscribers.len() as f64 * REPORT_BYTES;
        Some(MIN_READ_INTERVAL.max(Duration::from_secs_f64(bytes / MAX_BYTES_PER_S)))
    }

    /// The hosts to which a report is sent: all, if the load has changed or was not reported for a while.
    pub fn recipients(&mut self, now: Now, report: LoadReport) -> Vec<SocketAddr> {
        let is_due = self
            .sent
            .is_none_or(|(at, sent)| sent != report || now >= at + MAX_REPORT_INTERVAL);
        if !is_due {
            return Vec::new();
        }
        self.sent = Some((now, report));
        self.subscribers.keys().copied().collect()
    }
}
