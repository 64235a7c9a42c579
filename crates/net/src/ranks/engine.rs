//! Calls to an engine about its rank.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::ranks::{Expert, MapVersion, OrderResult, RankOrder, RankView, ReadScope};
use eelgrasshold_platform::engine;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::connect::connect;
use crate::http::collect;

/// Longest time of a call; an engine answers in a millisecond.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for an order. One whose answer got lost is given again,
/// which changes nothing if it has taken effect.
const ORDER_TIMEOUT: Duration = Duration::from_millis(45);
/// Times that an order is given before it is told that its effect is unknown; the process that
/// leads waits for so long.
const ORDER_ATTEMPTS: usize = 3;
/// Largest answer, in bytes: counts of tens of thousands of experts.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// What was read of a rank.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RankReading {
    /// State.
    pub(super) view: RankView,
    /// How often each expert was chosen, by set.
    pub(super) counts: Option<Vec<Vec<u64>>>,
    /// Version of the map in use and the experts that the rank holds, by set.
    pub(super) held: Option<(MapVersion, Vec<BTreeSet<Expert>>)>,
}

/// An engine at one address, with a kept connection.
#[derive(Debug)]
pub(super) struct Engine {
    address: SocketAddr,
    experts: usize,
    connection: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

impl Engine {
    /// An engine whose sets have so many experts.
    pub(super) fn new(address: SocketAddr, experts: usize) -> Self {
        Self {
            address,
            experts,
            connection: Mutex::new(None),
        }
    }

    /// Reads the rank; none if the engine does not answer or is no rank.
    pub(super) async fn read(&self, scope: ReadScope) -> Option<RankReading> {
        let name = self.address.to_string();
        let report = self.get(engine::report_request(&name).ok()?).await?;
        let view = match engine::rank_view(&report) {
            Ok(view) => view,
            Err(error) => {
                log::debug!("the engine at {name} reports no rank: {error}");
                return None;
            }
        };
        let mut reading = RankReading {
            view,
            counts: None,
            held: None,
        };
        match scope {
            ReadScope::View => {}
            ReadScope::Counts => {
                let body = self.get(engine::counts_request(&name).ok()?).await?;
                reading.counts = engine::counts(&body, self.experts).ok();
            }
            ReadScope::HeldExperts => {
                let body = self.get(engine::held_request(&name).ok()?).await?;
                reading.held = engine::held(&body).ok();
            }
        }
        Some(reading)
    }

    /// Gives the rank an order.
    pub(super) async fn execute(&self, order: &RankOrder) -> OrderResult {
        for _ in 0..ORDER_ATTEMPTS {
            let request = match engine::order_request(&self.address.to_string(), order) {
                Ok(request) => request,
                Err(error) => {
                    log::warn!("an order can't be written: {error}");
                    return OrderResult::Refused;
                }
            };
            if let Some((status, _)) = self.call(request, ORDER_TIMEOUT).await {
                return engine::order_result(status);
            }
        }
        OrderResult::Unknown
    }

    async fn get(&self, request: Request<Bytes>) -> Option<Bytes> {
        let (status, body) = self.call(request, CALL_TIMEOUT).await?;
        (status == StatusCode::OK).then_some(body)
    }

    /// Makes a call; none without an answer, whatever became of the call.
    async fn call(&self, request: Request<Bytes>, limit: Duration) -> Option<(StatusCode, Bytes)> {
        let mut idle = self.connection.lock().await;
        let calling = async {
            let ready = idle.as_ref().is_some_and(SendRequest::is_ready);
            let mut sender = match idle.take().filter(|_| ready) {
                Some(sender) => sender,
                None => self.open().await?,
            };
            let response = sender.send_request(request.map(Full::new)).await.ok()?;
            let (parts, body) = response.into_parts();
            let body = collect(body, MAX_ANSWER_BYTES, limit).await.ok()?;
            Some((sender, parts.status, body))
        };
        // A call that takes too long leaves no connection behind, so its answer can't be taken
        // for another's.
        let called = tokio::time::timeout(limit, calling).await;
        let (sender, status, body) = called.ok().flatten()?;
        *idle = Some(sender);
        Some((status, body))
    }

    async fn open(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = connect(self.address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to an engine ended with an error: {error}");
            }
        });
        Some(sender)
    }
}
