//! HTTP client for the rank calls of an engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::gateway::load_reports::LoadReport;
use eelgrasshold_core::ranks::{Expert, MapVersion, OrderResult, RankOrder, RankView, ReadScope};
use eelgrasshold_platform::engine;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::connect::connect;
use crate::http::{Sender, collect, handshake};

/// Time limit of a read; an engine normally answers in a millisecond.
const READ_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit of one send of an order. An order without an answer is sent again; orders are
/// idempotent.
const ORDER_TIMEOUT: Duration = Duration::from_millis(45);
/// Sends of an order before its result is [`OrderResult::Unknown`]. The leading sidecar waits for
/// all of them.
const ORDER_ATTEMPTS: usize = 3;
/// Largest answer, in bytes; enough for the counts of tens of thousands of experts.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// State of a rank, with the further data that [`ReadScope`] asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RankReading {
    /// The state that the engine reports.
    pub(super) view: RankView,
    /// How often each expert was chosen, by set.
    pub(super) counts: Option<Vec<Vec<u64>>>,
    /// Version of the map in use and the experts that the rank holds, by set.
    pub(super) held: Option<(MapVersion, Vec<BTreeSet<Expert>>)>,
}

/// Client of one engine, with a persistent connection.
#[derive(Debug)]
pub(super) struct Engine {
    address: SocketAddr,
    experts: usize,
    connection: Mutex<Option<Sender>>,
}

impl Engine {
    /// Creates a client of the engine at `address`, whose sets have `experts` experts each.
    pub(super) fn new(address: SocketAddr, experts: usize) -> Self {
        Self {
            address,
            experts,
            connection: Mutex::new(None),
        }
    }

    /// Reads the rank; `None` if the engine does not answer or is not a rank.
    pub(super) async fn read(&self, scope: ReadScope) -> Option<RankReading> {
        let name = self.address.to_string();
        let report = self.get(engine::report_request(&name).ok()?).await?;
        let view = match engine::rank_view(&report) {
            Ok(view) => view,
            Err(error) => {
                log::debug!("the report of the engine at {name} describes no rank: {error}");
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

    /// Reads the load; `None` if the engine does not answer.
    pub(super) async fn load(&self) -> Option<LoadReport> {
        let request = engine::report_request(&self.address.to_string()).ok()?;
        let report = self.get(request).await?;
        match engine::load_report(self.address, &report) {
            Ok(load) => Some(load),
            Err(error) => {
                let engine = self.address;
                log::debug!("the report of the engine at {engine} describes no load: {error}");
                None
            }
        }
    }

    /// Sends an order to the rank, again if no answer comes. Nothing is sent to an engine that is not this
    /// rank of `group`.
    pub(super) async fn execute(&self, group: &str, order: &RankOrder) -> OrderResult {
        for _ in 0..ORDER_ATTEMPTS {
            if let Some(result) = self.execute_once(group, order).await {
                return result;
            }
        }
        OrderResult::Unknown
    }

    /// Reads the rank and sends the order on the same connection, which ends when the engine restarts: only
    /// then can it join another group. The order names the epoch, which is no different in another group.
    async fn execute_once(&self, group: &str, order: &RankOrder) -> Option<OrderResult> {
        let name = self.address.to_string();
        let requests = (
            engine::report_request(&name),
            engine::order_request(&name, order),
        );
        let (report, request) = match requests {
            (Ok(report), Ok(request)) => (report, request),
            (Err(error), _) | (_, Err(error)) => {
                log::warn!("can't build the request for an order: {error}");
                return Some(OrderResult::Refused);
            }
        };
        let mut idle = self.connection.lock().await;
        let (status, report) = self.call_on(&mut idle, report, ORDER_TIMEOUT).await?;
        let view = match engine::rank_view(&report) {
            Ok(view) if status == StatusCode::OK => view,
            _ => return Some(OrderResult::Unknown),
        };
        if view.group != group || view.rank != order.rank {
            log::info!(
                "the engine at {name} is rank {} of group {} and not rank {} of {group}",
                view.rank,
                view.group,
                order.rank
            );
            return Some(OrderResult::Unknown);
        }
        let sender = idle.take()?;
        let sending = send(sender, request, ORDER_TIMEOUT);
        let (sender, status, _) = tokio::time::timeout(ORDER_TIMEOUT, sending).await.ok()??;
        *idle = Some(sender);
        Some(engine::order_result(status))
    }

    async fn get(&self, request: Request<Bytes>) -> Option<Bytes> {
        let (status, body) = self.call(request, READ_TIMEOUT).await?;
        (status == StatusCode::OK).then_some(body)
    }

    /// Makes a call; `None` without a complete answer, in which case its effect is unknown.
    async fn call(&self, request: Request<Bytes>, limit: Duration) -> Option<(StatusCode, Bytes)> {
        let mut idle = self.connection.lock().await;
        self.call_on(&mut idle, request, limit).await
    }

    async fn call_on(
        &self,
        idle: &mut Option<Sender>,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let calling = async {
            let ready = idle.as_ref().is_some_and(Sender::is_ready);
            let sender = match idle.take().filter(|_| ready) {
                Some(sender) => sender,
                None => self.open().await?,
            };
            send(sender, request, limit).await
        };
        // A call that times out drops its connection, so that its late answer can't be mistaken for
        // the answer to the next call.
        let called = tokio::time::timeout(limit, calling).await;
        let (sender, status, body) = called.ok().flatten()?;
        *idle = Some(sender);
        Some((status, body))
    }

    async fn open(&self) -> Option<Sender> {
        let stream = connect(self.address).await.ok()?;
        handshake(stream).await.ok()
    }
}

/// Makes a call on a connection, once that is ready; `None` without a complete answer.
async fn send(
    mut sender: Sender,
    request: Request<Bytes>,
    limit: Duration,
) -> Option<(Sender, StatusCode, Bytes)> {
    sender.ready().await.ok()?;
    let response = sender.send_request(request.map(Full::new)).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = collect(body, MAX_ANSWER_BYTES, limit).await.ok()?;
    Some((sender, parts.status, body))
}
