//! Exchanges what is known of requests that end upstreams with other hosts and the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bincode::Options;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::quarantine::{Change, FeatureId, Report, Unsaved};
use eelgrasshold_core::gateway::sources;
use eelgrasshold_core::platform::{Call, Condition, KindCall, KindReply, Reply, StoredObject, era};
use eelgrasshold_platform::quarantine::{self as format, Refused};
use tokio::net::UdpSocket;

use super::shared::Shared;

/// First byte of a datagram with reports; no other datagram between hosts begins with it.
const REPORTS_MARK: u8 = 0xff;
/// Largest datagram that is sent, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Interval of looks at what has to be saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of reads of the store by a host that misses some other hosts.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Pages of a list that are read.
const MAX_PAGES: usize = 4;

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(16 << 10)
}

/// Decodes a datagram; `None` if it contains no reports.
pub(super) fn decode(datagram: &[u8]) -> Option<Vec<Report>> {
    let (mark, reports) = datagram.split_first()?;
    if *mark != REPORTS_MARK {
        return None;
    }
    match options().deserialize(reports) {
        Ok(reports) => Some(reports),
        Err(error) => {
            log::debug!("can't decode reports of another host: {error}");
            Some(Vec::new())
        }
    }
}

/// Sends reports to other hosts, in as many datagrams as they need.
pub(super) fn send(socket: &UdpSocket, to: &[SocketAddr], reports: &[Report]) {
    let mut rest = reports;
    while !rest.is_empty() {
        let mut count = rest.len();
        let datagram = loop {
            let bytes = match options().serialize(&rest[..count].to_vec()) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::warn!("can't encode reports for other hosts: {error}");
                    return;
                }
            };
            if bytes.len() < MAX_DATAGRAM_BYTES || count == 1 {
                break [&[REPORTS_MARK], bytes.as_slice()].concat();
            }
            count = count.div_ceil(2);
        };
        for address in to {
            // A datagram is dropped if the send buffer is full; reports are repeated for a while.
            drop(socket.try_send_to(&datagram, *address));
        }
        rest = &rest[count..];
    }
}

/// Sends what all other hosts have to know.
pub(super) fn send_news(shared: &Shared, socket: &UdpSocket) {
    let news = shared.core().quarantine.take_news(shared.now());
    if news.is_empty() {
        return;
    }
    let to: Vec<SocketAddr> = {
        let peers = shared.peers();
        let own = peers.local_record().peers;
        let hosts = peers.live_hosts();
        hosts
            .iter()
            .map(|p| p.peers)
            .filter(|a| *a != own)
            .collect()
    };
    send(socket, &to, &news);
}

/// Applies reports of another host and sends it what it lacks.
pub(super) fn receive(shared: &Shared, socket: &UdpSocket, reports: Vec<Report>, from: SocketAddr) {
    let replies = shared.core().quarantine.receive(shared.now(), reports);
    send(socket, &[from], &replies);
    record_changes(shared);
}

/// Records what is refused or allowed from now on, and tells the tasks that it concerns.
pub(super) fn record_changes(shared: &Shared) {
    let now = shared.now();
    let (changes, has_news) = {
        let quarantine = &mut shared.core().quarantine;
        (quarantine.take_changes(), quarantine.has_news(now))
    };
    if has_news {
        shared.quarantine_news.notify_one();
    }
    if changes.is_empty() {
        return;
    }
    shared.quarantine_changed.notify_waiters();
    for change in changes {
        let (kind, set) = match change {
            Change::Added(set) => (EventKind::QuarantineBegun, set),
            Change::Lifted(set) => (EventKind::QuarantineLifted, set),
        };
        let event = Event::new(kind, "").with("features", feature_list(&set));
        shared.timeline.record(event);
    }
}

/// Features as text, for logs.
pub(super) fn feature_list<'a>(features: impl IntoIterator<Item = &'a FeatureId>) -> String {
    let features: Vec<String> = features.into_iter().map(|f| format!("{f:016x}")).collect();
    features.join(",")
}

/// Reads what is refused from the store, and saves there what is not known to it; never returns.
pub(super) async fn run(shared: Arc<Shared>) {
    while let Err(reason) = restore(&shared).await {
        log::info!("can't read which requests are refused: {reason}");
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    let mut next_read = shared.now() + READ_INTERVAL;
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let unsaved = shared.core().quarantine.unsaved(shared.now());
        if let Some(unsaved) = unsaved {
            // If the store is restored meanwhile, it may lack what it has just acknowledged.
            let era = shared.core().quarantine.era();
            let is_saved = save(&shared, &unsaved).await;
            let now = shared.now();
            let quarantine = &mut shared.core().quarantine;
            quarantine.save_ended(now, &unsaved.features, is_saved.then_some(era));
        }
        if !misses_hosts(&shared) {
            continue;
        }
        let unwritten = shared.core().quarantine.unwritten(shared.now());
        if let Some(reports) = unwritten {
            let value = format::encode_reports(SystemTime::now(), &reports);
            if !put(&shared, format::reports_key(&shared.options.host), value).await {
                shared.core().quarantine.write_failed();
            }
        }
        if shared.now() >= next_read {
            next_read = shared.now() + READ_INTERVAL;
            if let Err(reason) = restore(&shared).await {
                log::info!("can't read which requests are refused: {reason}");
            }
        }
    }
}

/// Whether the host hears no other one, or misses some and is one of those that watch the store.
fn misses_hosts(shared: &Shared) -> bool {
    let peers = shared.peers();
    let live = peers.live_hosts();
    let watchers = sources::watchers(peers.local_record(), &live, sources::WATCHERS);
    let is_watcher = || watchers.iter().any(|w| w.host == peers.local_record().host);
    peers.is_alone() || (peers.count() > live.len() && is_watcher())
}

async fn restore(shared: &Shared) -> Result<(), String> {
    let wall_clock = SystemTime::now();
    for object in list(shared).await? {
        if let Some(host) = format::host_of_reports(&object) {
            if host != shared.options.host {
                receive_stored(shared, &object, wall_clock).await;
            }
            continue;
        }
        let refused = match format::decode(&object) {
            Ok(refused) => refused,
            Err(error) => {
                log::info!(
                    "object `{}` names no requests to refuse: {error}",
                    object.name
                );
                continue;
            }
        };
        if let Ok(left) = refused.until.duration_since(wall_clock) {
            let now = shared.now();
            let ended = wall_clock.duration_since(refused.ended).unwrap_or_default();
            let (ended_at, until) = (now.saturating_sub(ended), now + left);
            let quarantine = &mut shared.core().quarantine;
            quarantine.restore(now, refused.features, ended_at, until, era(object.version));
        } else {
            let key = format::key(&refused.features);
            let version = object.version;
            shared.platform.call(&Call::Delete { key, version }).await;
        }
    }
    Ok(())
}

/// Applies reports that another host wrote to the store, or deletes them if all are too old.
async fn receive_stored(shared: &Shared, object: &StoredObject, wall_clock: SystemTime) {
    match format::decode_reports(object, wall_clock) {
        Ok(reports) if reports.iter().any(Report::is_recent) => {
            let quarantine = &mut shared.core().quarantine;
            quarantine.receive_stored(shared.now(), reports);
        }
        Ok(_) => {
            let key = format!("{}/{}", format::QUARANTINE_KIND, object.name);
            let version = object.version;
            shared.platform.call(&Call::Delete { key, version }).await;
        }
        Err(error) => log::info!("object `{}` contains no reports: {error}", object.name),
    }
}

async fn list(shared: &Shared) -> Result<Vec<StoredObject>, String> {
    let mut objects: Vec<StoredObject> = Vec::new();
    for _ in 0..MAX_PAGES {
        let call = KindCall::List {
            kind: format::QUARANTINE_KIND.to_owned(),
            after: objects.last().map(|o| o.name.clone()),
            stale: false,
        };
        match shared.platform.call_kind(&call).await {
            KindReply::Items { items, more, .. } => {
                let ended = !more || items.is_empty();
                objects.extend(items);
                if ended {
                    break;
                }
            }
            KindReply::Failed { reason } => return Err(reason),
            other => return Err(format!("the reply does not fit the call: {other:?}")),
        }
    }
    Ok(objects)
}

/// Writes features to the store; returns whether the store has them.
async fn save(shared: &Shared, unsaved: &Unsaved) -> bool {
    let wall_clock = SystemTime::now();
    let refused = Refused {
        features: unsaved.features.clone(),
        ended: wall_clock.checked_sub(unsaved.ended).unwrap_or(wall_clock),
        until: wall_clock + unsaved.left,
    };
    let key = format::key(&refused.features);
    put(shared, key, format::encode(&refused)).await
}

/// Writes an object, whether or not there is one; returns whether the store has it.
async fn put(shared: &Shared, key: String, value: Vec<u8>) -> bool {
    let mut condition = Condition::Absent;
    // An earlier one may still be there.
    for _ in 0..2 {
        let call = Call::Put {
            key: key.clone(),
            value: value.clone(),
            condition,
        };
        match shared.platform.call(&call).await {
            Reply::Written { .. } => return true,
            Reply::Conflict { version } => condition = Condition::Version(version),
            other => {
                log::info!("can't save which requests are refused: {other:?}");
                return false;
            }
        }
    }
    false
}
