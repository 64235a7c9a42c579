//! RPC between the sidecars of a group.

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

/// Time limit of a call: the other sidecar's call to its engine and a round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
/// Time for which an unresponsive sidecar is bypassed and its engine called directly, since the
/// group may be holding a pass until the rank is read.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Time without any answer after which a sidecar counts as unresponsive. Single calls also time out
/// while a map is sent to all ranks over a slow link.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Wire encoding of [`ReadScope`]; unknown values mean `VIEW`.
pub(super) type WireScope = u8;

const VIEW: WireScope = 0;
const COUNTS: WireScope = 1;
const HELD: WireScope = 2;

#[tarpc::service]
trait RankSidecar {
    /// Reads the sidecar's rank. `requester` is the rank of the calling sidecar, if it knows it.
    async fn read(requester: Option<RankIndex>, scope: WireScope) -> Option<RankReading>;
    /// Sends an order to the sidecar's rank.
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

/// Serves the calls of other sidecars; never returns.
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

/// Client of another rank of the group, through its sidecar or directly to its engine.
#[derive(Debug)]
pub(super) struct RemoteRank {
    address: SocketAddr,
    engine: Engine,
    client: Mutex<Option<RankSidecarClient>>,
    responsiveness: StdMutex<Responsiveness>,
}

/// When a sidecar last answered, and until when it is bypassed.
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

/// State of another rank and where it was read.
#[derive(Debug)]
pub(super) struct RemoteReading {
    pub(super) reading: RankReading,
    /// Whether it comes directly from the engine, which reports an older state to other hosts.
    pub(super) from_engine: bool,
}

impl RemoteRank {
    /// A client of the rank with this engine and sidecar; `experts` is the size of an expert set.
    pub(super) fn new(engine: SocketAddr, sidecar: SocketAddr, experts: usize) -> Self {
        Self {
            address: sidecar,
            engine: Engine::new(engine, experts),
            client: Mutex::new(None),
            responsiveness: StdMutex::new(Responsiveness::new(Instant::now())),
        }
    }

    /// Reads the rank through its sidecar, or from its engine if the sidecar does not answer.
    /// Counts are not read from a remote engine: the platform charges for the call, and the group
    /// pauses.
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
                .read(rpc::context_with_timeout(CALL_TIMEOUT), requester, wire)
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

    /// Sends an order through the rank's sidecar, or to the engine if there is no link to the
    /// sidecar.
    pub(super) async fn execute(&self, order: &RankOrder) -> OrderResult {
        let Some(client) = self.client().await else {
            return self.engine.execute(order).await;
        };
        match client
            .execute(rpc::context_with_timeout(CALL_TIMEOUT), order.clone())
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
        log::info!("the sidecar at {} did not answer: {error}", self.address);
        lock(&self.responsiveness).record_failure(Instant::now());
    }
}

#[cfg(test)]
mod tests;
