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

use super::engine::{Engine, RankReading};
use super::group::{Group, lock};
use crate::rpc;

/// Longest time of a call: the other process's call to its engine and a round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
/// Time for which a process that did not answer is passed over, and its engine called directly:
/// a group may be waiting for what this process finds out.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Time without any answer after which a process counts as silent. Single calls also take too long
/// while a map goes to all ranks over a slow link.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// What to read, on the wire.
pub(super) type WireScope = u8;

const VIEW: WireScope = 0;
const COUNTS: WireScope = 1;
const HELD: WireScope = 2;

#[tarpc::service]
trait RankSidecar {
    /// Reads the rank. `requester` is the rank of the process that asks, if it knows it.
    async fn read(requester: Option<RankIndex>, scope: WireScope) -> Option<RankReading>;
    /// Gives the rank an order.
    async fn execute(order: RankOrder) -> OrderResult;
}

#[derive(Clone)]
struct SidecarServer(Arc<Group>);

impl RankSidecar for SidecarServer {
    async fn read(
        self,
        _: Context,
        requester: Option<RankIndex>,
        scope: WireScope,
    ) -> Option<RankReading> {
        if let Some(rank) = requester {
            self.0.handle_input(Input::PolledBy(rank));
        }
        let scope = match scope {
            COUNTS => ReadScope::Counts,
            HELD => ReadScope::HeldExperts,
            _ => ReadScope::View,
        };
        self.0.local_engine().read(scope).await
    }

    async fn execute(self, _: Context, order: RankOrder) -> OrderResult {
        self.0.local_engine().execute(&order).await
    }
}

/// Answers the other processes; never returns.
pub(super) async fn serve(group: Arc<Group>, listener: TcpListener) {
    rpc::accept(listener, |stream| {
        answer(SidecarServer(Arc::clone(&group)), stream)
    })
    .await;
}

async fn answer(server: SidecarServer, stream: TcpStream) {
    let handled = BaseChannel::with_defaults(rpc::link(stream)).execute(server.serve());
    handled.for_each_concurrent(None, |handled| handled).await;
}

/// Another rank of the group: its engine and the process beside it.
#[derive(Debug)]
pub(super) struct RemoteRank {
    address: SocketAddr,
    engine: Engine,
    client: Mutex<Option<RankSidecarClient>>,
    responsiveness: StdMutex<Responsiveness>,
}

/// When a process answered last, and until when it is passed over.
#[derive(Debug)]
struct Responsiveness {
    last_answer_at: Instant,
    bypassed_until: Option<Instant>,
}

impl Responsiveness {
    fn new(now: Instant) -> Self {
        Self {
            last_answer_at: now,
            bypassed_until: None,
        }
    }

    fn record_answer(&mut self, now: Instant) {
        self.last_answer_at = now;
    }

    fn record_failure(&mut self, now: Instant) {
        if now.duration_since(self.last_answer_at) >= UNRESPONSIVE_AFTER {
            self.bypassed_until = Some(now + BYPASS_TIME);
        }
    }

    fn is_bypassed(&self, now: Instant) -> bool {
        self.bypassed_until.is_some_and(|until| now < until)
    }
}

/// What was read of another rank.
#[derive(Debug)]
pub(super) struct RemoteReading {
    pub(super) reading: RankReading,
    /// It comes from the engine itself, which tells other hosts an older state.
    pub(super) from_engine: bool,
}

impl RemoteRank {
    /// A rank whose engine and process have these addresses.
    pub(super) fn new(engine: SocketAddr, sidecar: SocketAddr, experts: usize) -> Self {
        Self {
            address: sidecar,
            engine: Engine::new(engine, experts),
            client: Mutex::new(None),
            responsiveness: StdMutex::new(Responsiveness::new(Instant::now())),
        }
    }

    /// Reads the rank through its process, or from its engine if the process does not answer; then
    /// without counts, for which the platform charges and the group pauses.
    pub(super) async fn read(
        &self,
        requester: Option<RankIndex>,
        scope: ReadScope,
    ) -> Option<RemoteReading> {
        let wire = match scope {
            ReadScope::View => VIEW,
            ReadScope::Counts => COUNTS,
            ReadScope::HeldExperts => HELD,
        };
        if let Some(client) = self.client().await {
            match client
                .read(rpc::within(CALL_TIMEOUT), requester, wire)
                .await
            {
                Ok(reading) => {
                    self.record_answer();
                    let from_engine = false;
                    return reading.map(|reading| RemoteReading {
                        reading,
                        from_engine,
                    });
                }
                Err(error) => self.drop_client(&error).await,
            }
        }
        let scope = match scope {
            ReadScope::HeldExperts => ReadScope::HeldExperts,
            ReadScope::View | ReadScope::Counts => ReadScope::View,
        };
        let reading = self.engine.read(scope).await?;
        let from_engine = true;
        Some(RemoteReading {
            reading,
            from_engine,
        })
    }

    /// Gives the rank an order through its process, or directly if there is no link to it.
    pub(super) async fn execute(&self, order: &RankOrder) -> OrderResult {
        let Some(client) = self.client().await else {
            return self.engine.execute(order).await;
        };
        match client
            .execute(rpc::within(CALL_TIMEOUT), order.clone())
            .await
        {
            Ok(result) => {
                self.record_answer();
                result
            }
            Err(error) => {
                self.drop_client(&error).await;
                OrderResult::Unknown
            }
        }
    }

    async fn client(&self) -> Option<RankSidecarClient> {
        if self.is_bypassed() {
            return None;
        }
        let mut cached = self.client.lock().await;
        if cached.is_none() {
            let link = match rpc::open(self.address).await {
                Ok(link) => link,
                Err(error) => {
                    self.record_failure(&error);
                    return None;
                }
            };
            let client = RankSidecarClient::new(tarpc::client::Config::default(), link).spawn();
            *cached = Some(client);
        }
        cached.clone()
    }

    async fn drop_client(&self, error: &tarpc::client::RpcError) {
        self.record_failure(error);
        *self.client.lock().await = None;
    }

    fn is_bypassed(&self) -> bool {
        lock(&self.responsiveness).is_bypassed(Instant::now())
    }

    fn record_answer(&self) {
        lock(&self.responsiveness).record_answer(Instant::now());
    }

    fn record_failure(&self, error: &dyn std::error::Error) {
        log::info!("the process at {} did not answer: {error}", self.address);
        lock(&self.responsiveness).record_failure(Instant::now());
    }
}

#[cfg(test)]
mod tests;
