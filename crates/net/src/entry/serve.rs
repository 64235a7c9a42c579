//! Reads callers' requests and refuses malformed ones.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::types::{Refusal, RefusalKind};
use http::{Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::driver::EntryDriver;
use super::request_task;
use crate::http::{Body, BodyError, Hold, collect_held, full};
use crate::wire::{headers, internal_error, parse_caller_request, problem_response};

const ENTRY_HOSTS: &str = "/v1/entry-hosts";
const MAX_BODY_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_REQUEST_ID_BYTES: usize = 128;

pub(super) async fn serve(driver: Arc<EntryDriver>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == ENTRY_HOSTS {
        return entry_hosts(&driver, request.method());
    }
    let id = match request_id(&request) {
        Ok(id) => id,
        Err(refusal) => return refuse(&driver, &refusal, ""),
    };
    let (incoming, held) = match read_request(&driver, &id, request).await {
        Ok(incoming) => incoming,
        Err(refusal) => return refuse(&driver, &refusal, &id),
    };
    let (tx, rx) = oneshot::channel();
    tokio::spawn(request_task::run(driver, incoming, held, tx));
    rx.await.unwrap_or_else(|_| internal_error(&id).map(full))
}

fn entry_hosts(driver: &EntryDriver, method: &Method) -> Response<Body> {
    if method != Method::GET {
        let detail = format!("{ENTRY_HOSTS} answers GET only");
        return refuse(
            driver,
            &Refusal::not_run(RefusalKind::BadRequest, detail),
            "",
        );
    }
    let mut response = Response::new(full(driver.entry_hosts()));
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, headers::value("application/json"));
    fields.insert(header::CACHE_CONTROL, headers::value("no-store"));
    response
}

fn request_id(request: &Request<Incoming>) -> Result<String, Refusal> {
    let bad_request = |detail: String| Refusal::not_run(RefusalKind::BadRequest, detail);
    let caller_id: Option<String> =
        headers::parsed(request.headers(), &headers::REQUEST_ID).map_err(bad_request)?;
    match caller_id {
        None => Ok(format!("{:032x}", rand::random::<u128>())),
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => Ok(id),
        Some(_) => Err(bad_request(format!(
            "{} must be 1 to {MAX_REQUEST_ID_BYTES} bytes",
            headers::REQUEST_ID
        ))),
    }
}

async fn read_request(
    driver: &EntryDriver,
    id: &str,
    request: Request<Incoming>,
) -> Result<(crate::wire::CallerRequest, Hold), Refusal> {
    let Some(cfg) = driver.config() else {
        let detail = "this host has no configuration yet; ask another entry host";
        let refusal = Refusal::not_run(RefusalKind::NotReady, detail);
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    };
    let (parts, body) = request.into_parts();
    let (body, held) = collect_held(body, MAX_BODY_BYTES, BODY_TIMEOUT, driver.held())
        .await
        .map_err(|error| {
            let kind = match error {
                BodyError::TooLarge { .. } => RefusalKind::TooLarge,
                BodyError::TooSlow { .. } => RefusalKind::TooSlow,
                BodyError::Broken => RefusalKind::BadRequest,
                BodyError::NoRoom | BodyError::Evicted => RefusalKind::Overloaded,
            };
            Refusal::not_run(kind, error.to_string())
        })?;
    Ok((parse_caller_request(&cfg, id, parts, body)?, held))
}

fn refuse(driver: &EntryDriver, refusal: &Refusal, id: &str) -> Response<Body> {
    let detail = format!("{}: {}", refusal.kind.slug(), refusal.detail);
    let event = Event::new(EventKind::BadInput, detail);
    driver.record(if id.is_empty() {
        event
    } else {
        event.about_request(id)
    });
    problem_response(refusal, id).map(full)
}
