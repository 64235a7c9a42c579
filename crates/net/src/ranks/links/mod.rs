//! Calls between the processes beside the ranks of a group.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex as StdMutex};
use std::time::{Duration, Instant};

use eelgrasshold_core::ranks::{Input, OrderResult, RankIndex, RankOrder, ReadScope};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use super::engine::{Engine, Look};
use super::group::{Group, lock};
use crate::rpc;

/// Longest time of a call: the other process's call to its engine and a round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
/// Time for which a process that did not answer is passed over, and its engine called directly:
/// a group may be waiting for what this process finds out.
const SILENT_PAUSE: Duration = Duration::from_secs(1);
/// Time without any answer after which a process counts as silent. Single calls also take too long
/// while a map goes to all ranks over a slow link.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// What to read, on the wire.
pub(super) type WireSight = u8;

const VIEW: WireSight = 0;
const COUNTS: WireSight = 1;
const HELD: WireSight = 2;

#[tarpc::service]
trait Beside {
    /// Reads the rank. `asker` is the rank of the process that asks, if it knows it.
    async fn look(asker: Option<RankIndex>, sight: WireSight) -> Option<Look>;
    /// Gives the rank an order.
    async fn carry(order: RankOrder) -> OrderResult;
}

#[derive(Clone)]
struct Answerer(Arc<Group>);

impl Beside for Answerer {
    async fn look(self, _: Context, asker: Option<RankIndex>, sight: WireSight) -> Option<Look> {
        if let Some(rank) = asker {
            self.0.feed(Input::PolledBy(rank));
        }
        let sight = match sight {
            COUNTS => ReadScope::Counts,
            HELD => ReadScope::HeldExperts,
            _ => ReadScope::View,
        };
        self.0.own().look(sight).await
    }

    async fn carry(self, _: Context, order: RankOrder) -> OrderResult {
        self.0.own().carry(&order).await
    }
}

/// Answers the other processes; never returns.
pub(super) async fn serve(group: Arc<Group>, listener: TcpListener) {
    rpc::accept(listener, |stream| {
        answer(Answerer(Arc::clone(&group)), stream)
    })
    .await;
}

async fn answer(answerer: Answerer, stream: TcpStream) {
    let handled = BaseChannel::with_defaults(rpc::link(stream)).execute(answerer.serve());
    handled.for_each_concurrent(None, |handled| handled).await;
}

/// Another rank of the group: its engine and the process beside it.
#[derive(Debug)]
pub(super) struct Other {
    address: SocketAddr,
    engine: Engine,
    client: Mutex<Option<BesideClient>>,
    heard: StdMutex<Heard>,
}

/// When a process answered last, and until when it is passed over.
#[derive(Debug)]
struct Heard {
    at: Instant,
    silent_until: Option<Instant>,
}

impl Heard {
    fn new(now: Instant) -> Self {
        Self {
            at: now,
            silent_until: None,
        }
    }

    fn note_answer(&mut self, now: Instant) {
        self.at = now;
    }

    fn note_failure(&mut self, now: Instant) {
        if now.duration_since(self.at) >= SILENT_AFTER {
            self.silent_until = Some(now + SILENT_PAUSE);
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }
}

/// What was read of another rank.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) look: Look,
    /// It comes from the engine itself, which tells other hosts an older state.
    pub(super) from_afar: bool,
}

impl Other {
    /// A rank whose engine and process have these addresses.
    pub(super) fn new(engine: SocketAddr, process: SocketAddr, experts: usize) -> Self {
        Self {
            address: process,
            engine: Engine::new(engine, experts),
            client: Mutex::new(None),
            heard: StdMutex::new(Heard::new(Instant::now())),
        }
    }

    /// Reads the rank through its process, or from its engine if the process does not answer; then
    /// without counts, for which the platform charges and the group pauses.
    pub(super) async fn look(&self, asker: Option<RankIndex>, sight: ReadScope) -> Option<Seen> {
        let wire = match sight {
            ReadScope::View => VIEW,
            ReadScope::Counts => COUNTS,
            ReadScope::HeldExperts => HELD,
        };
        if let Some(client) = self.client().await {
            match client
                .look(rpc::context_with_timeout(CALL_TIMEOUT), asker, wire)
                .await
            {
                Ok(look) => {
                    self.note_answer();
                    let from_afar = false;
                    return look.map(|look| Seen { look, from_afar });
                }
                Err(error) => self.drop_client(&error).await,
            }
        }
        let sight = match sight {
            ReadScope::HeldExperts => ReadScope::HeldExperts,
            ReadScope::View | ReadScope::Counts => ReadScope::View,
        };
        let look = self.engine.look(sight).await?;
        let from_afar = true;
        Some(Seen { look, from_afar })
    }

    /// Gives the rank an order through its process, or directly if there is no link to it.
    pub(super) async fn carry(&self, order: &RankOrder) -> OrderResult {
        let Some(client) = self.client().await else {
            return self.engine.carry(order).await;
        };
        match client
            .carry(rpc::context_with_timeout(CALL_TIMEOUT), order.clone())
            .await
        {
            Ok(result) => {
                self.note_answer();
                result
            }
            Err(error) => {
                self.drop_client(&error).await;
                OrderResult::Unknown
            }
        }
    }

    async fn client(&self) -> Option<BesideClient> {
        if self.is_silent() {
            return None;
        }
        let mut kept = self.client.lock().await;
        if kept.is_none() {
            let link = match rpc::open(self.address).await {
                Ok(link) => link,
                Err(error) => {
                    self.note_silent(&error);
                    return None;
                }
            };
            let client = BesideClient::new(tarpc::client::Config::default(), link).spawn();
            *kept = Some(client);
        }
        kept.clone()
    }

    async fn drop_client(&self, error: &tarpc::client::RpcError) {
        self.note_silent(error);
        *self.client.lock().await = None;
    }

    fn is_silent(&self) -> bool {
        lock(&self.heard).is_silent(Instant::now())
    }

    fn note_answer(&self) {
        lock(&self.heard).note_answer(Instant::now());
    }

    fn note_silent(&self, error: &dyn std::error::Error) {
        log::info!("the process at {} did not answer: {error}", self.address);
        lock(&self.heard).note_failure(Instant::now());
    }
}

#[cfg(test)]
mod tests;
