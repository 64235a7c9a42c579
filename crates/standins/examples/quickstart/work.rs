//! The work: drafts of several teams, reservations with repeats, and status calls.

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

/// Time over which requests are spread.
const SPREAD_MS: u64 = 12_000;
const DRAFT_COUNT: usize = 240;
const RESERVATION_COUNT: usize = 60;
const STATUS_COUNT: usize = 60;
/// Tokens of an ordinary draft.
const SHORT_TOKENS: std::ops::Range<u32> = 8..64;
/// Tokens of one draft in twenty.
const LONG_TOKENS: std::ops::Range<u32> = 200..400;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Draft of a model engine.
    Draft,
    /// Non-idempotent call of the plain service.
    Reservation,
    /// Idempotent call of the plain service.
    Status,
}

/// A request to be sent.
#[derive(Clone, Debug)]
struct Item {
    kind: Kind,
    number: usize,
    at: Duration,
    tokens: u32,
    team: String,
    /// The same reservation is sent again through another caller.
    repeated: bool,
}

/// All requests, as the seed gives them.
#[derive(Clone, Debug)]
pub struct Plan {
    items: Vec<Item>,
    seed: u64,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let counts = [
            (Kind::Draft, DRAFT_COUNT),
            (Kind::Reservation, RESERVATION_COUNT),
            (Kind::Status, STATUS_COUNT),
        ];
        let mut items = Vec::new();
        for (kind, count) in counts {
            for number in 0..count {
                let long = rng.random_ratio(1, 20);
                items.push(Item {
                    kind,
                    number,
                    at: Duration::from_millis(rng.random_range(0..SPREAD_MS)),
                    tokens: rng.random_range(if long { LONG_TOKENS } else { SHORT_TOKENS }),
                    team: team(&mut rng),
                    repeated: kind == Kind::Reservation && rng.random_ratio(1, 2),
                });
            }
        }
        Self { items, seed }
    }
}

/// Large teams send more.
fn team(rng: &mut SmallRng) -> String {
    match rng.random_range(0..10) {
        0..3 => "classers".to_owned(),
        3..5 => "shearers".to_owned(),
        5..7 => "mill-buyers".to_owned(),
        _ => format!("studio-{}", rng.random_range(1..=7)),
    }
}

/// Sends the plan and returns a report for each request.
pub async fn send(fleet: &Arc<Mutex<Fleet>>, plan: &Plan) -> Vec<(Kind, Report)> {
    let entries = fleet.lock().await.entry_urls();
    let running: FuturesUnordered<_> = plan
        .items
        .iter()
        .map(|item| send_item(item, plan.seed, &entries))
        .collect();
    running
        .collect::<Vec<_>>()
        .await
        .into_iter()
        .flatten()
        .collect()
}

async fn send_item(item: &Item, seed: u64, entries: &[String]) -> Vec<(Kind, Report)> {
    tokio::time::sleep(item.at).await;
    let first = caller(item, seed, "a", entries);
    let id = format!("{:?}-{}", item.kind, item.number).to_lowercase();
    let report = match item.kind {
        Kind::Draft => first.complete(&id, &draft(item)).await,
        Kind::Status => {
            let body = format!("{{\"lot\":{}}}", item.number);
            let call = PlainCall::new(RESERVATIONS, Method::POST, "/status", &body);
            first.call(&id, &call).await
        }
        Kind::Reservation => first.call(&id, &reservation(item)).await,
    };
    let mut reports = vec![(item.kind, report)];
    if item.repeated {
        // The same key through another entry host, as a caller does that lost its answer.
        let again = caller(item, seed, "b", entries);
        let mut call = reservation(item);
        // A kept answer echoes the request id of the first call.
        call.checks_echo = false;
        let mut report = again.call(&format!("{id}-again"), &call).await;
        if report.outcome == Outcome::Whole && !echoes(&report, &call) {
            report.outcome = Outcome::Wrong("the answer belongs to another key".to_owned());
        }
        reports.push((item.kind, report));
    }
    reports
}

fn echoes(report: &Report, call: &PlainCall) -> bool {
    let echo: Option<Echo> = serde_json::from_slice(&report.body).ok();
    echo.is_some_and(|echo| Some(echo.idempotency_key) == call.idempotency_key)
}

fn caller(item: &Item, seed: u64, suffix: &str, entries: &[String]) -> Caller {
    let seed = seed
        .wrapping_mul(1_000_003)
        .wrapping_add(item.number as u64);
    let mut entries = entries.to_vec();
    let start = if suffix == "a" {
        item.number
    } else {
        item.number + 1
    } % entries.len();
    entries.rotate_left(start);
    Caller::builder(entries)
        .name(&format!("{:?}-{}-{suffix}", item.kind, item.number).to_lowercase())
        .team(&item.team)
        .deadline(Duration::from_secs(40))
        .seed(seed)
        .build()
}

fn draft(item: &Item) -> CompletionCall {
    CompletionCall {
        service: DRAFTS.to_owned(),
        prompt: format!(
            "Describe lot {} {}",
            item.number,
            length_marker(item.tokens)
        ),
        max_tokens: 512,
    }
}

fn reservation(item: &Item) -> PlainCall {
    let body = format!("{{\"reserve\":{}}}", item.number);
    PlainCall::new(RESERVATIONS, Method::POST, "/reserve", &body).key(&key(item.number))
}

/// Idempotency key of a reservation.
fn key(number: usize) -> String {
    format!("reserve-{number}")
}

/// Keys of all reservations.
pub fn keys() -> impl Iterator<Item = String> {
    (0..RESERVATION_COUNT).map(key)
}
