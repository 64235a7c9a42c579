//! Finds out whether an upstream has ended under a request.
//!
//! An answer that breaks off does not tell: an upstream that lives may have cut it. One that has ended
//! refuses connections until it is started again, which takes seconds. It may also end right after its answer,
//! or when the attempt was given up: then its idle connections close, or it refuses the next one.
//!
//! The answers of all requests at an upstream break off when it ends, so they share its check.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::Gateway;
use eelgrasshold_core::gateway::quarantine::FeatureId;
use eelgrasshold_core::gateway::registry::{Born, Upstream, UpstreamId};
use eelgrasshold_core::types::Now;

use super::pool::Pool;
use super::quarantine;
use super::shared::Shared;
use crate::http::Sender;

/// Attempts to connect after which an upstream that does not respond counts as not checked.
const MAX_ATTEMPTS: u32 = 2;
/// Time after which an upstream lives that has not closed a connection. The system still accepts connections
/// for a process while it ends, and resets them then.
const PROBE_TIME: Duration = Duration::from_millis(150);

/// A request whose answer broke off, or none if an upstream closed idle connections.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) upstream: Upstream,
    pub(super) request: String,
    /// When the answer broke off, or the connections were found closed.
    pub(super) at: Now,
    /// Whether the upstream had just begun to answer.
    pub(super) at_begin: bool,
    pub(super) features: Vec<FeatureId>,
}

/// Incarnation of an upstream, and its address.
type Target = (UpstreamId, Option<Born>, SocketAddr);

#[derive(Debug)]
struct Waiting {
    ended: Ended,
    /// Attempts to connect that did not tell.
    attempts: u32,
}

/// Requests that wait for a check of their upstreams, of which each has one at most.
#[derive(Debug, Default)]
pub(super) struct EndChecks {
    waiting: Mutex<BTreeMap<Target, Vec<Waiting>>>,
}

impl EndChecks {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Target, Vec<Waiting>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; returns whether its upstream has no check yet.
    fn add(&self, target: &Target, ended: Ended) -> bool {
        let mut waiting = self.lock();
        let is_new = !waiting.contains_key(target);
        let list = waiting.entry(target.clone()).or_default();
        list.push(Waiting { ended, attempts: 0 });
        is_new
    }

    /// Takes the requests of an upstream, which ends its check.
    fn take(&self, target: &Target) -> Vec<Waiting> {
        self.lock().remove(target).unwrap_or_default()
    }

    /// Drops the requests before an index, as their upstream lives.
    fn drop_before(&self, target: &Target, count: usize) {
        if let Some(list) = self.lock().get_mut(target) {
            list.drain(..count);
        }
    }

    /// Counts an attempt that did not tell for the requests before an index, and takes those that had
    /// enough.
    fn give_up_before(&self, target: &Target, count: usize) -> Vec<Waiting> {
        let mut waiting = self.lock();
        let Some(list) = waiting.get_mut(target) else {
            return Vec::new();
        };
        for waiting in &mut list[..count] {
            waiting.attempts += 1;
        }
        // The earlier a request was added, the more attempts it had.
        let enough = list.partition_point(|w| w.attempts >= MAX_ATTEMPTS);
        list.drain(..enough).collect()
    }

    /// Number of requests of an upstream. Its check ends with the last of them.
    fn count_or_end(&self, target: &Target) -> usize {
        let mut waiting = self.lock();
        let count = waiting.get(target).map_or(0, Vec::len);
        if count == 0 {
            waiting.remove(target);
        }
        count
    }
}

impl Ended {
    /// Checks whether the upstream has ended, and records that if so.
    pub(super) fn check(self, shared: &Arc<Shared>) {
        let upstream = self.upstream.clone();
        let target = (upstream.id.clone(), upstream.born, upstream.address);
        if shared.end_checks.add(&target, self) {
            tokio::spawn(run(Arc::clone(shared), upstream, target));
        }
    }

    fn record(&self, shared: &Shared) {
        let (now, upstream) = (shared.now(), &self.upstream.id);
        let event = Event::new(EventKind::SuspectNoted, "")
            .about_request(self.request.as_str())
            .with("upstream", self.upstream.id.as_str())
            .with("at_begin", u32::from(self.at_begin))
            .with("features", quarantine::feature_list(&self.features));
        if !self.features.is_empty() {
            shared.timeline.record(event);
        }
        let quarantine = &mut shared.core().quarantine;
        quarantine.record_upstream_end(now, self.at, upstream);
        quarantine.record_end(now, self.at, upstream, self.at_begin, &self.features);
    }

    fn record_unchecked(&self, shared: &Shared, error: &io::Error) {
        let event = Event::new(EventKind::SuspectUnchecked, error.to_string())
            .about_request(self.request.as_str())
            .with("upstream", self.upstream.id.as_str())
            .with("features", quarantine::feature_list(&self.features));
        shared.timeline.record(event);
    }
}

/// Connects to an upstream until that tells whether it has ended under each waiting request.
async fn run(shared: Arc<Shared>, upstream: Upstream, target: Target) {
    let checks = &shared.end_checks;
    loop {
        // The upstream may end after it accepted a connection: later requests need another one.
        let count = checks.count_or_end(&target);
        if count == 0 {
            return;
        }
        match probe(upstream.address).await {
            Ok(sender) => {
                shared.keep_connection(&upstream, sender, None);
                checks.drop_before(&target, count);
            }
            Err(error) if is_refusal(&error) => {
                for waiting in checks.take(&target) {
                    waiting.ended.record(&shared);
                }
                quarantine::record_changes(&shared);
                return;
            }
            // Without an answer, the upstream may just be cut off.
            Err(error) => {
                for waiting in checks.give_up_before(&target, count) {
                    waiting.ended.record_unchecked(&shared, &error);
                }
            }
        }
    }
}

/// Opens a connection and waits until it shows that the upstream lives.
///
/// # Errors
///
/// If no connection can be opened, or it is closed meanwhile.
async fn probe(address: SocketAddr) -> io::Result<Sender> {
    let sender = Pool::open(address).await?;
    tokio::time::sleep(PROBE_TIME).await;
    if sender.is_closed() {
        return Err(io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "the connection was closed at once",
        ));
    }
    Ok(sender)
}

/// Checks an upstream that has closed idle connections, if requests have just left it.
pub(super) fn check_closed(shared: &Arc<Shared>, upstream: Upstream) {
    let now = shared.now();
    let is_due = {
        let core = shared.core();
        is_listed(&core, &upstream) && core.quarantine.has_left_recently(now, &upstream.id)
    };
    if is_due {
        let ended = Ended {
            upstream,
            request: String::new(),
            at: now,
            at_begin: false,
            features: Vec::new(),
        };
        ended.check(shared);
    }
}

/// Records that an upstream has ended if it refused a connection.
pub(super) fn record_refusal(shared: &Shared, upstream: &Upstream, error: &io::Error) {
    if error.kind() != io::ErrorKind::ConnectionRefused {
        return;
    }
    let now = shared.now();
    let mut core = shared.core();
    if is_listed(&core, upstream) {
        let quarantine = &mut core.quarantine;
        quarantine.record_upstream_end(now, now, &upstream.id);
    }
}

/// Whether an upstream is listed and does not leave.
fn is_listed(core: &Gateway, upstream: &Upstream) -> bool {
    let listed = core.registry.get(&upstream.id);
    listed.is_some_and(|l| !l.leaving && l.born == upstream.born)
}

fn is_refusal(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::ConnectionRefused || kind == io::ErrorKind::ConnectionReset
}
