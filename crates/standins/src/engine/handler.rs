//! HTTP routes of the engine.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use super::completions;
use super::orders::{FencedOrder, OrderAnswer};
use super::state::Shared;
use crate::http_util::{Body, HandlerResult, answer, empty, json, query_value, read_json};
use crate::server::Handler;

const COMPLETIONS_PATH: &str = "/v1/completions";
const KV_PATH: &str = "/v1/kv/";
/// Limit on the body of an order or a KV cache. It admits a map of 58 layers with 256 experts.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Answer of `GET /v1/load`.
#[derive(Serialize)]
struct Load {
    running: usize,
    waiting: usize,
}

pub(super) fn new(shared: &Arc<Shared>) -> Handler {
    let shared = shared.clone();
    Arc::new(move |req| {
        let shared = shared.clone();
        Box::pin(async move { handle(&shared, req).await })
    })
}

async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let id = path
        .strip_prefix(COMPLETIONS_PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    match (req.method(), path.as_str(), id) {
        (&Method::POST, COMPLETIONS_PATH, _) => completions::post(shared, req).await,
        (&Method::PATCH, _, Some(id)) => completions::patch(shared, id, req.into_body()).await,
        (&Method::DELETE, _, Some(id)) => Ok(completions::delete(shared, id)),
        (&Method::POST, "/v1/orders", _) => order(shared, req.into_body()).await,
        (&Method::GET, "/v1/load", _) => Ok(load(shared)),
        (&Method::GET, "/v1/map", _) => Ok(json(StatusCode::OK, &shared.lock().orders.rank)),
        (&Method::GET, "/v1/models", _) => Ok(json(StatusCode::OK, &shared.lock().orders.loaded)),
        (&Method::GET, "/v1/cache-events", _) => Ok(cache_events(shared, req.uri().query())),
        _ => match path.strip_prefix(KV_PATH) {
            Some(id) if !id.is_empty() => kv(shared, id, req).await,
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        },
    }
}

async fn order(shared: &Shared, body: Incoming) -> HandlerResult {
    let order: FencedOrder = match read_json(body, MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(refused) => return Ok(refused),
    };
    let order_time = shared.settings.order_time;
    if !order_time.is_zero() {
        tokio::time::sleep(order_time).await;
    }
    let answer = shared.lock().execute_order(&order);
    shared.changed.notify_waiters();
    let status = match answer {
        OrderAnswer::FenceRefused { .. } => StatusCode::CONFLICT,
        _ => StatusCode::OK,
    };
    Ok(json(status, &answer))
}

async fn kv(shared: &Shared, id: &str, req: Request<Incoming>) -> HandlerResult {
    match *req.method() {
        Method::GET => Ok(match shared.lock().export_kv(id) {
            Some(cache) => json(StatusCode::OK, &cache),
            None => empty(StatusCode::NOT_FOUND),
        }),
        Method::PUT => match read_json(req.into_body(), MAX_BODY_BYTES).await {
            Ok(cache) => {
                shared.lock().kv.insert(id, cache);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            Err(refused) => Ok(refused),
        },
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn cache_events(shared: &Shared, query: Option<&str>) -> Response<Body> {
    match query_value(query, "after").map_or(Ok(0), |after| after.parse()) {
        Ok(after) => {
            let events = shared.lock().cache_log.published_after(shared.now(), after);
            json(StatusCode::OK, &events)
        }
        Err(_) => answer(StatusCode::BAD_REQUEST, "after must be a whole number"),
    }
}

fn load(shared: &Shared) -> Response<Body> {
    let load = shared.lock().model.load(shared.now());
    let load = Load {
        running: load.running,
        waiting: load.waiting,
    };
    json(StatusCode::OK, &load)
}
