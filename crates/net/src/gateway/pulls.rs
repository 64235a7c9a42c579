//! Pulls the configuration and the registry from another entry host.
//!
//! A host pulls when another one has newer versions, for instance while it can't reach the
//! platform's store itself.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::peers::Pull;
use eelgrasshold_core::gateway::registry::RegistryCopy;
use eelgrasshold_core::platform::KindCall;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use super::follow::apply_table;
use super::shared::Shared;
use crate::rpc;

/// Time limit of a pull; a configuration of a megabyte takes a fraction of it.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest call of another host, in bytes; those that hosts send have some hundred.
const MAX_CALL_BYTES: usize = 64 << 10;

/// A host's copy of the store's contents, served to entry hosts with older versions.
#[tarpc::service]
pub(super) trait StoreCopy {
    /// Answers a call about a kind of objects from the host's copy; see [`super::copies`].
    async fn follow(call: KindCall) -> Vec<u8>;
    /// Document of the configuration in force; empty if there is none.
    async fn table() -> Vec<u8>;
    /// The registry of upstreams; `None` if the host has no complete list.
    async fn registry() -> Option<RegistryCopy>;
}

#[derive(Clone)]
struct PullServer(Arc<Shared>);

impl StoreCopy for PullServer {
    async fn follow(self, _: Context, call: KindCall) -> Vec<u8> {
        self.0.copies.answer(call).await
    }

    async fn table(self, _: Context) -> Vec<u8> {
        let document = &self.0.document;
        let stored = document.lock().unwrap_or_else(PoisonError::into_inner);
        stored.to_vec()
    }

    async fn registry(self, _: Context) -> Option<RegistryCopy> {
        self.0.core().registry.copy()
    }
}

/// Serves pulls of other hosts; never returns.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    rpc::accept(listener, |stream| {
        answer(PullServer(Arc::clone(&shared)), stream)
    })
    .await;
}

async fn answer(server: PullServer, stream: TcpStream) {
    let link = rpc::server_link(stream, MAX_CALL_BYTES);
    let handled = BaseChannel::with_defaults(link).execute(server.serve());
    handled.for_each_concurrent(None, |handled| handled).await;
}

/// Pulls from another host and applies what is newer.
pub(super) async fn pull(shared: Arc<Shared>, pull: Pull) {
    let (what, address) = match pull {
        Pull::Table(address) => ("table", address),
        Pull::Registry(address) => ("registry", address),
    };
    let pulled = request(&shared, pull, address).await;
    let known = shared.store_versions();
    let kind = match pulled {
        Ok(()) => EventKind::PeerAsked,
        Err(_) => EventKind::LinkFailed,
    };
    let event = Event::new(kind, pulled.err().unwrap_or_default())
        .with("what", what)
        .with("peer", address.to_string())
        .with("table", known.table)
        .with("registry", known.registry)
        .with("registry_as_of", shared.core().registry.as_of());
    shared.timeline.record(event);
}

async fn request(shared: &Shared, pull: Pull, address: SocketAddr) -> Result<(), String> {
    let link = rpc::open(address).await.map_err(|e| e.to_string())?;
    let client = StoreCopyClient::new(tarpc::client::Config::default(), link).spawn();
    let cx = rpc::context_with_timeout(PULL_TIMEOUT);
    match pull {
        Pull::Table(_) => {
            let document = client.table(cx).await.map_err(|e| e.to_string())?;
            if !document.is_empty() {
                apply_table(shared, &document, &format!("entry host {address}"));
            }
        }
        Pull::Registry(_) => {
            let copy = client.registry(cx).await.map_err(|e| e.to_string())?;
            if let Some(copy) = copy {
                apply_registry(shared, copy);
            }
        }
    }
    Ok(())
}

fn apply_registry(shared: &Shared, copy: RegistryCopy) {
    let now = shared.now();
    let mut core = shared.core();
    let was_ready = core.is_ready();
    let changes = core.registry.apply_copy(now, copy);
    drop(core);
    shared.record_registry_changes(changes);
    shared.record_readiness(was_ready);
}
