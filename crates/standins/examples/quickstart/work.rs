//! Requests of the run: drafts of several teams, reservations with repeats, and status calls.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_standins::caller::{Caller, CompletionCall, Outcome, PlainCall, Report};
use eelgrasshold_standins::engine::length_marker;
use eelgrasshold_standins::fleet::{DRAFTS, Fleet, RESERVATIONS};
use eelgrasshold_standins::plain::Echo;
use futures::stream::{FuturesUnordered, StreamExt};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Mutex;

/// Period over which the requests are sent.
const ARRIVAL_PERIOD_MS: u64 = 12_000;
const DRAFT_COUNT: usize = 240;
const RESERVATION_COUNT: usize = 60;
const STATUS_COUNT: usize = 60;
/// Tokens of 19 in 20 drafts.
const SHORT_TOKENS: std::ops::Range<u32> = 8..64;
/// Tokens of one in 20 drafts.
const LONG_TOKENS: std::ops::Range<u32> = 200..400;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Streamed draft of a model engine.
    Draft,
    /// Non-idempotent call to the plain service, with an idempotency key.
    Reservation,
    /// Idempotent call to the plain service.
    Status,
}

/// A request with the time at which it is sent.
#[derive(Clone, Debug)]
struct PlannedRequest {
    kind: Kind,
    number: usize,
    at: Duration,
    tokens: u32,
    team: String,
    /// Whether the reservation is sent again by another caller.
    is_repeated: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    requests: Vec<PlannedRequest>,
    seed: u64,
}

impl Plan {
    /// Draws the requests from a seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let counts = [
            (Kind::Draft, DRAFT_COUNT),
            (Kind::Reservation, RESERVATION_COUNT),
            (Kind::Status, STATUS_COUNT),
        ];
        let mut requests = Vec::new();
        for (kind, count) in counts {
            for number in 0..count {
                let long = rng.random_ratio(1, 20);
                requests.push(PlannedRequest {
                    kind,
                    number,
                    at: Duration::from_millis(rng.random_range(0..ARRIVAL_PERIOD_MS)),
                    tokens: rng.random_range(if long { LONG_TOKENS } else { SHORT_TOKENS }),
                    team: team(&mut rng),
                    is_repeated: kind == Kind::Reservation && rng.random_ratio(1, 2),
                });
            }
        }
        Self { requests, seed }
    }
}

/// Draws a team: 7 in 10 requests are from three large teams, the rest from seven small ones.
fn team(rng: &mut SmallRng) -> String {
    match rng.random_range(0..10) {
        0..3 => "classers".to_owned(),
        3..5 => "shearers".to_owned(),
        5..7 => "mill-buyers".to_owned(),
        _ => format!("studio-{}", rng.random_range(1..=7)),
    }
}

/// Sends all requests at their times and returns a report of each one, including repeats.
pub async fn send(fleet: &Arc<Mutex<Fleet>>, plan: &Plan) -> Vec<(Kind, Report)> {
    let entries = fleet.lock().await.entry_urls();
    let running: FuturesUnordered<_> = plan
        .requests
        .iter()
        .map(|request| send_request(request, plan.seed, &entries))
        .collect();
    running
        .collect::<Vec<_>>()
        .await
        .into_iter()
        .flatten()
        .collect()
}

async fn send_request(
    request: &PlannedRequest,
    seed: u64,
    entries: &[String],
) -> Vec<(Kind, Report)> {
    tokio::time::sleep(request.at).await;
    let first = caller(request, seed, "a", entries);
    let id = format!("{:?}-{}", request.kind, request.number).to_lowercase();
    let report = match request.kind {
        Kind::Draft => first.complete(&id, &draft(request)).await,
        Kind::Status => {
            let body = format!("{{\"lot\":{}}}", request.number);
            let call = PlainCall::new(RESERVATIONS, Method::POST, "/status", &body);
            first.call(&id, &call).await
        }
        Kind::Reservation => first.call(&id, &reservation(request)).await,
    };
    let mut reports = vec![(request.kind, report)];
    if request.is_repeated {
        // Sends the same key through another entry host, like a caller that did not get its answer.
        let again = caller(request, seed, "b", entries);
        let mut call = reservation(request);
        // A stored answer contains the request id of the first call.
        call.checks_echo = false;
        let mut report = again.call(&format!("{id}-again"), &call).await;
        if report.outcome == Outcome::Whole && !echoes(&report, &call) {
            report.outcome = Outcome::Wrong("the answer belongs to another key".to_owned());
        }
        reports.push((request.kind, report));
    }
    reports
}

fn echoes(report: &Report, call: &PlainCall) -> bool {
    let echo: Option<Echo> = serde_json::from_slice(&report.body).ok();
    echo.is_some_and(|echo| Some(echo.idempotency_key) == call.idempotency_key)
}

fn caller(request: &PlannedRequest, seed: u64, suffix: &str, entries: &[String]) -> Caller {
    let seed = seed
        .wrapping_mul(1_000_003)
        .wrapping_add(request.number as u64);
    let mut entries = entries.to_vec();
    let start = if suffix == "a" {
        request.number
    } else {
        request.number + 1
    } % entries.len();
    entries.rotate_left(start);
    Caller::builder(entries)
        .name(&format!("{:?}-{}-{suffix}", request.kind, request.number).to_lowercase())
        .team(&request.team)
        .deadline(Duration::from_secs(40))
        .seed(seed)
        .build()
}

fn draft(request: &PlannedRequest) -> CompletionCall {
    CompletionCall {
        service: DRAFTS.to_owned(),
        prompt: format!(
            "Describe lot {} {}",
            request.number,
            length_marker(request.tokens)
        ),
        max_tokens: 512,
    }
}

fn reservation(request: &PlannedRequest) -> PlainCall {
    let body = format!("{{\"reserve\":{}}}", request.number);
    PlainCall::new(RESERVATIONS, Method::POST, "/reserve", &body).key(&key(request.number))
}

fn key(number: usize) -> String {
    format!("reserve-{number}")
}

/// Idempotency keys of all reservations.
pub fn keys() -> impl Iterator<Item = String> {
    (0..RESERVATION_COUNT).map(key)
}
