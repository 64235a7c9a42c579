//! Asking another entry host for what it knows of the platform's store.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::peers::Pull;
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::platform::Version;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use super::follow::set_table;
use super::shared::Shared;
use crate::rpc;

/// Longest time of a pull; a configuration of a megabyte takes a fraction of it.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// What an entry host tells another that can't see the store.
#[tarpc::service]
trait Knowledge {
    /// Document of the configuration in force; empty if there is none.
    async fn table() -> Vec<u8>;
    /// The upstreams and the revision of the last change; none without a list.
    async fn registry() -> Option<(Vec<Upstream>, Version)>;
}

#[derive(Clone)]
struct Answerer(Arc<Shared>);

impl Knowledge for Answerer {
    async fn table(self, _: Context) -> Vec<u8> {
        let document = &self.0.document;
        let kept = document.lock().unwrap_or_else(PoisonError::into_inner);
        kept.to_vec()
    }

    async fn registry(self, _: Context) -> Option<(Vec<Upstream>, Version)> {
        let core = self.0.core();
        let registry = &core.registry;
        let list = registry.all().cloned().collect();
        registry.is_complete().then(|| (list, registry.revision()))
    }
}

/// Answers other hosts; never returns.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    rpc::accept(listener, |stream| {
        answer(Answerer(Arc::clone(&shared)), stream)
    })
    .await;
}

async fn answer(answerer: Answerer, stream: TcpStream) {
    let handled = BaseChannel::with_defaults(rpc::link(stream)).execute(answerer.serve());
    let serving = handled.for_each(|handled| handled);
    // A link carries one question, so one that stays open is of no use.
    if tokio::time::timeout(PULL_TIMEOUT * 2, serving)
        .await
        .is_err()
    {
        log::debug!("a link of another host was closed after its time");
    }
}

/// Asks a host and takes what it says.
pub(super) async fn pull(shared: Arc<Shared>, pull: Pull) {
    let (what, address) = match pull {
        Pull::Table(address) => ("table", address),
        Pull::Registry(address) => ("registry", address),
    };
    let asked = ask(&shared, pull, address).await;
    let known = shared.knowledge();
    let kind = match asked {
        Ok(()) => EventKind::PeerAsked,
        Err(_) => EventKind::LinkFailed,
    };
    let event = Event::new(kind, asked.err().unwrap_or_default())
        .with("what", what)
        .with("peer", address.to_string())
        .with("table", known.table)
        .with("registry", known.registry);
    shared.timeline.record(event);
}

async fn ask(shared: &Shared, pull: Pull, address: SocketAddr) -> Result<(), String> {
    let link = rpc::open(address).await.map_err(|e| e.to_string())?;
    let client = KnowledgeClient::new(tarpc::client::Config::default(), link).spawn();
    let cx = rpc::context_with_timeout(PULL_TIMEOUT);
    match pull {
        Pull::Table(_) => {
            let document = client.table(cx).await.map_err(|e| e.to_string())?;
            if !document.is_empty() {
                set_table(shared, &document, &format!("entry host {address}"));
            }
        }
        Pull::Registry(_) => {
            let listed = client.registry(cx).await.map_err(|e| e.to_string())?;
            if let Some((list, revision)) = listed {
                take_registry(shared, list, revision);
            }
        }
    }
    Ok(())
}

fn take_registry(shared: &Shared, list: Vec<Upstream>, revision: Version) {
    let now = shared.now();
    let mut core = shared.core();
    if revision <= core.registry.revision() {
        return;
    }
    let was_ready = core.is_ready();
    let changes = core.registry.replace(now, list, revision);
    drop(core);
    shared.note_registry(changes);
    shared.note_standing(was_ready);
}
