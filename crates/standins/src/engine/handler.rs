//! HTTP side of the engine.

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use super::completions;
use super::state::Shared;
use crate::http_util::{Body, Outcome, empty, json};
use crate::server::Handler;

const COMPLETIONS: &str = "/v1/completions";

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

async fn handle(shared: &Arc<Shared>, req: Request<Incoming>) -> Outcome {
    let path = req.uri().path().to_owned();
    let id = path
        .strip_prefix(COMPLETIONS)
        .and_then(|rest| rest.strip_prefix('/'));
    match (req.method(), path.as_str(), id) {
        (&Method::POST, COMPLETIONS, _) => completions::post(shared, req).await,
        (&Method::PATCH, _, Some(id)) => completions::patch(shared, id, req.into_body()).await,
        (&Method::DELETE, _, Some(id)) => Ok(completions::delete(shared, id)),
        (&Method::GET, "/v1/load", _) => Ok(load(shared)),
        _ => Ok(empty(StatusCode::NOT_FOUND)),
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
