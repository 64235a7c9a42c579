//! Calls between the processes beside the ranks of a group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::ranks::{Input, OrderResult, RankIndex, RankOrder, Sight};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use super::engine::{Engine, Look};
use super::group::Group;
use crate::rpc;

/// Longest time of a call: the other process's call to its engine and a round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(220);

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
            self.0.feed(Input::AskedBy(rank));
        }
        let sight = match sight {
            COUNTS => Sight::Counts,
            HELD => Sight::Held,
            _ => Sight::View,
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
}

impl Other {
    /// A rank whose engine and process have these addresses.
    pub(super) fn new(engine: SocketAddr, process: SocketAddr, experts: usize) -> Self {
        Self {
            address: process,
            engine: Engine::new(engine, experts),
            client: Mutex::new(None),
        }
    }

    /// Reads the rank through its process, or only its state from its engine if the process does
    /// not answer, since the platform charges for what is read from afar.
    pub(super) async fn look(&self, asker: Option<RankIndex>, sight: Sight) -> Option<Look> {
        let wire = match sight {
            Sight::View => VIEW,
            Sight::Counts => COUNTS,
            Sight::Held => HELD,
        };
        if let Some(client) = self.client().await {
            match client.look(rpc::within(CALL_TIMEOUT), asker, wire).await {
                Ok(look) => return look,
                Err(error) => self.drop_client(&error).await,
            }
        }
        self.engine.look(Sight::View).await
    }

    /// Gives the rank an order through its process, or directly if there is no link to it.
    pub(super) async fn carry(&self, order: &RankOrder) -> OrderResult {
        let Some(client) = self.client().await else {
            return self.engine.carry(order).await;
        };
        match client.carry(rpc::within(CALL_TIMEOUT), order.clone()).await {
            Ok(result) => result,
            Err(error) => {
                self.drop_client(&error).await;
                OrderResult::Unknown
            }
        }
    }

    async fn client(&self) -> Option<BesideClient> {
        let mut kept = self.client.lock().await;
        if kept.is_none() {
            let link = rpc::open(self.address).await.ok()?;
            let client = BesideClient::new(tarpc::client::Config::default(), link).spawn();
            *kept = Some(client);
        }
        kept.clone()
    }

    async fn drop_client(&self, error: &tarpc::client::RpcError) {
        log::info!("the process at {} did not answer: {error}", self.address);
        *self.client.lock().await = None;
    }
}
