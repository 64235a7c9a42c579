//! Following the platform's store for the configuration and the registry of upstreams.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::gateway::follow::{Follower, News};
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::platform::{Change, StoredObject};
use eelgrasshold_platform::store::{CONFIG_KIND, CONFIG_NAME, SERVERS_KIND};
use eelgrasshold_platform::{route_table, servers};

use super::shared::Shared;

/// Interval at which lapsed upstreams and idle connections are looked at.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the configuration; never returns.
pub(super) async fn configuration(shared: Arc<Shared>) {
    follow(&shared, CONFIG_KIND, |news| match news {
        News::All(objects) => objects.iter().for_each(|o| take_table(&shared, o)),
        News::Changes(changes, _) => {
            for change in &changes {
                if let Change::Set(object) = change {
                    take_table(&shared, object);
                }
            }
        }
        News::Failed { reason } => log::warn!("the configuration can't be followed: {reason}"),
        News::HistoryGone => log::info!("the configuration's history is gone"),
    })
    .await;
}

fn take_table(shared: &Shared, object: &StoredObject) {
    if object.name == CONFIG_NAME {
        set_table(shared, &object.value, "the store");
    }
}

/// Puts a configuration into force, unless a newer one is.
pub(super) fn set_table(shared: &Shared, document: &[u8], source: &str) {
    let table = match route_table::route_table(document) {
        Ok(table) => table,
        Err(error) => {
            log::warn!("a configuration of {source} can't be read: {error}");
            return;
        }
    };
    let version = table.version;
    let mut core = shared.core();
    let was_ready = core.is_ready();
    if core.set_table(Arc::new(table)) {
        shared.keep_document(version, document);
        log::info!("configuration {version} of {source} is in force");
    }
    if core.is_ready() != was_ready {
        shared.standing_changed.notify_one();
    }
}

/// Follows the registry of upstreams; never returns.
pub(super) async fn registry(shared: Arc<Shared>) {
    follow(&shared, SERVERS_KIND, |news| {
        let now = shared.now();
        let mut core = shared.core();
        let was_ready = core.is_ready();
        let changes = match news {
            News::All(objects) => {
                core.registry.store_answered(now);
                let list: Vec<Upstream> = objects.iter().filter_map(read_upstream).collect();
                let revision = objects.iter().map(|o| o.version).max().unwrap_or(1);
                core.registry.replace(now, list, revision)
            }
            News::Changes(changes, revision) => {
                core.registry.store_answered(now);
                let registry = &mut core.registry;
                let apply = |change| match change {
                    Change::Set(object) => match read_upstream(&object) {
                        Some(upstream) => registry.set(upstream),
                        None => registry.remove(now, &object.name, object.version),
                    },
                    Change::Deleted(name) => registry.remove(now, &name, revision),
                };
                changes.into_iter().filter_map(apply).collect()
            }
            News::Failed { reason } => {
                log::warn!("the registry can't be followed: {reason}");
                core.registry.store_failed();
                Vec::new()
            }
            News::HistoryGone => Vec::new(),
        };
        let ready = core.is_ready();
        drop(core);
        for change in changes {
            log::info!("{change:?}");
        }
        if ready != was_ready {
            shared.standing_changed.notify_one();
        }
    })
    .await;
}

fn read_upstream(object: &StoredObject) -> Option<eelgrasshold_core::gateway::registry::Upstream> {
    match servers::upstream(object) {
        Ok(upstream) => Some(upstream),
        Err(error) => {
            log::info!("the entry `{}` names no upstream: {error}", object.name);
            None
        }
    }
}

async fn follow(shared: &Arc<Shared>, kind: &str, mut take: impl FnMut(News)) {
    let mut follower = Follower::new(kind, rand::random());
    loop {
        let (at, call) = follower.next();
        tokio::time::sleep_until(shared.clock.instant(at)).await;
        let reply = shared.platform.call_kind(&call).await;
        if let Some(news) = follower.take(shared.now(), reply) {
            take(news);
        }
    }
}

/// Drops lapsed upstreams and idle connections; never returns.
pub(super) async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = shared.now();
        let mut core = shared.core();
        for change in core.expire(now) {
            log::info!("{change:?}");
        }
        shared.pool.sweep(now, |id| core.registry.get(id).is_some());
    }
}
