//! Follows the configuration, the registry of upstreams and evacuations of data centres, at the
//! platform's store or at a host that watches it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::evacuations::EvacuationChange;
use eelgrasshold_core::gateway::follow::{FollowUpdate, Follower, watch_wait};
use eelgrasshold_core::gateway::registry::{EXPIRY_INTERVAL, Registry, Upstream, lapse_limit};
use eelgrasshold_core::gateway::sources::{Source, Sources, WatchPlan};
use eelgrasshold_core::platform::{Change, KindCall, KindReply, StoredObject, Version, era};
use eelgrasshold_core::types::Now;
use eelgrasshold_platform::store::{CONFIG_KIND, CONFIG_NAME, EVACUATIONS_KIND, SERVERS_KIND};
use eelgrasshold_platform::{route_table, servers};

use super::copies::CopyLink;
use super::shared::Shared;
use super::{ends, quarantine, turns};

/// Longest time until a host without a source looks for one again.
const SOURCE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the time limit of an evacuation within which its follower must be up to date after a fault.
/// The rest is for a change right before the fault is noticed.
const SETTLE_SHARE_OF_EVACUATION: f64 = 0.8;

/// A kind of objects, and how it is followed.
#[derive(Clone, Debug)]
struct Followed {
    kind: &'static str,
    plan: WatchPlan,
    /// Time after a fault within which it must be up to date again.
    settle_time: Duration,
}

impl Followed {
    fn new(shared: &Shared, kind: &'static str) -> Self {
        Self {
            kind,
            plan: WatchPlan::default(),
            settle_time: shared.options.settle_time,
        }
    }
}

/// Watches the configuration and applies new versions; never returns.
pub(super) async fn configuration(shared: Arc<Shared>) {
    let followed = Followed::new(&shared, CONFIG_KIND);
    follow(&shared, followed, |update, _| match update {
        FollowUpdate::All(objects, as_of) => {
            observe_era(&shared, as_of);
            for object in &objects {
                apply_object(&shared, object);
            }
            shared.confirm_table();
        }
        FollowUpdate::Changes(changes, as_of) => {
            observe_era(&shared, as_of);
            for change in &changes {
                if let Change::Set(object) = change {
                    apply_object(&shared, object);
                }
            }
            shared.confirm_table();
        }
        FollowUpdate::Failed { .. } | FollowUpdate::HistoryGone => {}
    })
    .await;
}

/// Records the era that the store is in.
fn observe_era(shared: &Shared, as_of: Version) {
    let (now, era) = (shared.now(), era(as_of));
    let before = {
        let quarantine = &mut shared.core().quarantine;
        let before = quarantine.era();
        quarantine.observe_era(now, era);
        before
    };
    if era > before && before > 0 {
        let event = Event::new(EventKind::StoreRestored, "");
        let event = event.with("era", era).with("before", before);
        shared.timeline.record(event);
    }
}

fn apply_object(shared: &Shared, object: &StoredObject) {
    if object.name == CONFIG_NAME {
        apply_table(shared, &object.value, "the store");
    }
}

/// Puts a configuration into force unless the current one is as new. `source` goes to the event
/// timeline.
pub(super) fn apply_table(shared: &Shared, document: &[u8], source: &str) {
    let table = match route_table::route_table(document) {
        Ok(table) => table,
        Err(error) => {
            let event = Event::new(EventKind::ConfigRefused, error.to_string());
            shared.timeline.record(event.with("source", source));
            return;
        }
    };
    let version = table.version;
    let routes = table.routes().count();
    let before = shared.core().table_version();
    let was_ready = shared.core().is_ready();
    if !shared.core().set_table(shared.now(), Arc::new(table)) {
        return;
    }
    shared.store_document(document);
    shared.versions_changed.notify_one();
    let unconfirmed = shared.now().saturating_sub(shared.table_confirmed_at());
    let event = Event::new(EventKind::ConfigApplied, "")
        .with("table", version)
        .with("before", before)
        .with("routes", routes)
        .with("unconfirmed_ms", unconfirmed)
        .with("source", source);
    shared.timeline.record(event);
    shared.record_readiness(was_ready);
}

/// Watches the registry of upstreams and applies its changes; never returns.
pub(super) async fn registry(shared: Arc<Shared>) {
    let followed = Followed::new(&shared, SERVERS_KIND);
    follow(&shared, followed, |update, asked| {
        let now = shared.now();
        let answered = |registry: &mut Registry| match asked {
            Asked::Store { .. } => registry.store_answered(now),
            Asked::Hosts => registry.host_answered(now),
        };
        let mut core = shared.core();
        let was_ready = core.is_ready();
        let changes = match update {
            // Another host's copy may already hold later changes.
            FollowUpdate::All(_, as_of) | FollowUpdate::Changes(_, as_of)
                if as_of < core.registry.as_of() =>
            {
                answered(&mut core.registry);
                Vec::new()
            }
            FollowUpdate::All(objects, as_of) => {
                answered(&mut core.registry);
                core.registry.set_as_of(now, as_of);
                let list: Vec<Upstream> = objects
                    .iter()
                    .filter_map(|o| read_upstream(&shared, o))
                    .collect();
                let revision = objects.iter().map(|o| o.version).max().unwrap_or(1);
                core.registry.replace(now, list, revision)
            }
            FollowUpdate::Changes(changes, revision) => {
                answered(&mut core.registry);
                core.registry.set_as_of(now, revision);
                let registry = &mut core.registry;
                let apply = |change| match change {
                    Change::Set(object) => match read_upstream(&shared, &object) {
                        Some(upstream) => registry.set(upstream),
                        None => registry.remove(now, &object.name, object.version),
                    },
                    Change::Deleted(name) => registry.remove(now, &name, revision),
                };
                changes.into_iter().filter_map(apply).collect()
            }
            FollowUpdate::Failed { .. } => {
                let limit = match asked {
                    Asked::Store { fault_ended_after } => {
                        Some(lapse_limit(fault_ended_after, shared.options.settle_time))
                    }
                    Asked::Hosts => None,
                };
                core.registry.store_failed(limit);
                Vec::new()
            }
            FollowUpdate::HistoryGone => Vec::new(),
        };
        drop(core);
        shared.record_registry_changes(changes);
        shared.record_readiness(was_ready);
    })
    .await;
}

fn read_upstream(shared: &Shared, object: &StoredObject) -> Option<Upstream> {
    match servers::upstream(object) {
        Ok(upstream) => Some(upstream),
        Err(error) => {
            let event = Event::new(EventKind::EntryUnreadable, error.to_string())
                .with("entry", object.name.as_str())
                .with("version", object.version);
            shared.timeline.record(event);
            None
        }
    }
}

/// Watches evacuations of data centres and applies their changes. Returns at once without the setting
/// for it, and never otherwise.
pub(super) async fn evacuations(shared: Arc<Shared>) {
    let Some(limit) = shared.options.evacuate_within else {
        return;
    };
    let limit = limit.mul_f64(SETTLE_SHARE_OF_EVACUATION);
    let followed = Followed {
        plan: WatchPlan::of_evacuations(),
        settle_time: shared.options.settle_time.min(limit),
        ..Followed::new(&shared, EVACUATIONS_KIND)
    };
    follow(&shared, followed, |update, _| {
        let now = shared.now();
        let mut core = shared.core();
        let was_ready = core.is_ready();
        let unconfirmed = now.saturating_sub(core.evacuations.confirmed_at());
        let changes = core.apply_evacuations(now, &update);
        drop(core);
        record_evacuations(&shared, changes, unconfirmed);
        shared.record_readiness(was_ready);
    })
    .await;
}

/// Records changes of the evacuated data centres. `unconfirmed` is the time for which the store had not
/// confirmed the set before.
fn record_evacuations(shared: &Shared, changes: Vec<EvacuationChange>, unconfirmed: Duration) {
    for change in changes {
        let (kind, data_centre, version) = match change {
            EvacuationChange::Begun(name, version) => (EventKind::EvacuationBegun, name, version),
            EvacuationChange::Ended(name, version) => (EventKind::EvacuationEnded, name, version),
        };
        let upstreams = {
            let core = shared.core();
            let listed = core.registry.all();
            listed.filter(|u| u.data_centre == data_centre).count()
        };
        let detail = if upstreams == 0 {
            "the registry lists no upstream there; check the name"
        } else {
            ""
        };
        let event = Event::new(kind, detail)
            .with("data_centre", data_centre)
            .with("revision", version)
            .with("upstreams", upstreams)
            .with("unconfirmed_ms", unconfirmed);
        shared.timeline.record(event);
    }
}

/// Who was asked for an update.
#[derive(Clone, Copy, Debug)]
enum Asked {
    /// The store; if it did not answer, the fault ended at this time at the earliest.
    Store {
        fault_ended_after: Now,
    },
    Hosts,
}

/// Passes each update to `apply`, with who was asked for it.
async fn follow(
    shared: &Arc<Shared>,
    subject: Followed,
    mut apply: impl FnMut(FollowUpdate, Asked),
) {
    let Followed {
        kind,
        plan,
        settle_time,
    } = subject;
    let may_doubt = plan.holds_calls_in_doubt;
    let wait = watch_wait(settle_time);
    let mut follower = Follower::new(kind, wait, rand::random());
    let first_start = shared.options.first_start;
    let mut sources = Sources::new(shared.now(), first_start, rand::random())
        .with_settle_time(settle_time)
        .with_plan(plan);
    let mut link = CopyLink::default();
    let mut times_behind = 0;
    let mut failing = false;
    let mut last_source = Source::Store;
    loop {
        let source = {
            let peers = shared.peers();
            sources.choose(shared.now(), peers.local_record(), &peers.live_hosts())
        };
        record_source(shared, kind, &mut last_source, source);
        let mut asked = Asked::Hosts;
        let update = match source {
            Source::Store => {
                // A link that is not in use may fall silent unnoticed.
                link = CopyLink::default();
                let update = ask_store(shared, &mut follower).await;
                asked = Asked::Store {
                    fault_ended_after: follower.fault_ended_after(),
                };
                match &update {
                    Some(FollowUpdate::Failed { .. }) => sources.failed(shared.now(), source),
                    _ => sources.answered(),
                }
                update
            }
            Source::Host(address) => {
                let update = ask_host(shared, &mut follower, &mut link, address).await;
                let behind = shared.copies.times_behind();
                if update.is_none() || behind != times_behind {
                    sources.failed(shared.now(), source);
                } else {
                    sources.answered();
                }
                times_behind = behind;
                update
            }
            Source::NoneUntil(at) => {
                let at = at.min(shared.now() + SOURCE_POLL_INTERVAL);
                tokio::time::sleep_until(shared.clock.instant(at)).await;
                // Hosts that watch the store are alive and can't reach it.
                let unreachable = sources.is_without() && !failing;
                unreachable.then(|| FollowUpdate::Failed {
                    reason: "no host that watches the store could answer".to_owned(),
                })
            }
        };
        let Some(update) = update else { continue };
        let is_direct = source == Source::Store;
        shared.copies.apply(kind, &update, is_direct, may_doubt);
        record_store_state(shared, kind, &update, &mut failing);
        apply(update, asked);
    }
}

/// Makes the next call to the store. Returns no update while further pages of a list are to be read.
async fn ask_store(shared: &Shared, follower: &mut Follower) -> Option<FollowUpdate> {
    let (at, _) = follower.next();
    tokio::time::sleep_until(shared.clock.instant(at)).await;
    let called_at = shared.now();
    follower.record_call(called_at);
    let (_, call) = follower.next();
    let reply = shared.platform.call_kind(&call).await;
    let now = shared.now();
    let (name, result) = (call_name(&call), result_name(&reply));
    let took = now.saturating_sub(called_at);
    shared.metrics.store_call_ended(name, result, took);
    follower.handle_reply(now, reply)
}

/// Makes the next call to another host's copy. `None` if the host could not answer.
async fn ask_host(
    shared: &Shared,
    follower: &mut Follower,
    link: &mut CopyLink,
    address: SocketAddr,
) -> Option<FollowUpdate> {
    let (_, call) = follower.next();
    let reason = match link.call(address, call).await {
        Ok(KindReply::Failed { reason }) | Err(reason) => reason,
        Ok(reply) if follower.is_outdated(&reply) => "its copy is outdated".to_owned(),
        Ok(reply) => return follower.handle_reply(shared.now(), reply),
    };
    log::info!("entry host {address} did not answer for the store: {reason}");
    None
}

/// Records a change of the source, or that there is none. `last` holds the last one between calls.
fn record_source(shared: &Shared, kind: &str, last: &mut Source, source: Source) {
    let name = |source: &Source| match source {
        Source::Store => "store".to_owned(),
        Source::Host(address) => address.to_string(),
        Source::NoneUntil(_) => "none".to_owned(),
    };
    let (before, after) = (name(last), name(&source));
    *last = source;
    if before != after {
        let event = Event::new(EventKind::StoreSourceChanged, "")
            .with("kind", kind)
            .with("before", before)
            .with("source", after);
        shared.timeline.record(event);
    }
}

/// Records when the store becomes unavailable, recovers, or no longer has the history since the
/// last reply. `failing` holds the state between calls.
fn record_store_state(shared: &Shared, kind: &str, update: &FollowUpdate, failing: &mut bool) {
    let event = match update {
        FollowUpdate::Failed { reason } if !*failing => {
            Event::new(EventKind::PlatformUnavailable, reason.as_str())
        }
        FollowUpdate::All(..) | FollowUpdate::Changes(..) if *failing => {
            Event::new(EventKind::PlatformRecovered, "")
        }
        FollowUpdate::HistoryGone => Event::new(EventKind::HistoryGone, ""),
        _ => return,
    };
    *failing = matches!(update, FollowUpdate::Failed { .. });
    shared.timeline.record(event.with("kind", kind));
}

fn call_name(call: &KindCall) -> &'static str {
    match call {
        KindCall::List { .. } => "list",
        KindCall::Watch { .. } => "watch",
    }
}

fn result_name(reply: &KindReply) -> &'static str {
    match reply {
        KindReply::Items { .. } | KindReply::Changes { .. } => "ok",
        KindReply::HistoryGone => "history_gone",
        KindReply::Failed { .. } => "failed",
    }
}

/// Removes lapsed upstreams, decides which requests are refused and closes idle connections; never
/// returns.
pub(super) async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = shared.now();
        let changes = shared.core().expire(now);
        shared.record_registry_changes(changes);
        let cold_changes = shared.core().refresh_cold(now);
        shared.record_cold_changes(cold_changes);
        expire_evacuations(&shared, now);
        quarantine::record_changes(&shared);
        turns::record_changes(&shared);
        let closed = {
            let core = shared.core();
            shared.pool.sweep(now, |id| core.registry.get(id).is_some())
        };
        for upstream in closed.into_values() {
            ends::check_closed(&shared, upstream);
        }
    }
}

/// Ends evacuations that a restored store has lost, and the wait for the first list.
fn expire_evacuations(shared: &Shared, now: Now) {
    let (was_ready, changes, unconfirmed) = {
        let mut core = shared.core();
        let was_ready = core.is_ready();
        let unconfirmed = now.saturating_sub(core.evacuations.confirmed_at());
        (was_ready, core.expire_evacuations(now), unconfirmed)
    };
    record_evacuations(shared, changes, unconfirmed);
    shared.record_readiness(was_ready);
}
