use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;

use super::hosts::{EntryHost, EntryHosts, HostTable};
use super::sse::{CompletionReader, Progress};
use super::{Caller, CompletionCall, Outcome, PlainCall};
use crate::engine::token;
use crate::http_util::{Body, HandlerFuture, HandlerResult, Hangup, answer, header};
use crate::server::{BoundServer, Server};

/// Scripted answer of a test's entry host.
#[derive(Clone)]
enum Script {
    /// Streams the tokens `from..to`, and the end event if `done`.
    Tokens { from: u32, to: u32, done: bool },
    /// Refuses with a problem document whose `run` has this value.
    Problem(&'static str),
    /// Closes the connection without an answer.
    HangUp,
    /// Answers with status 200 and this body.
    Body(String),
}

const PROMPT: &str = "write";

fn event(index: u32) -> String {
    let data = json!({ "token": token(PROMPT, index) });
    format!("id: {index}\ndata: {data}\n\n")
}

fn respond(script: Script) -> HandlerResult {
    match script {
        Script::Tokens { from, to, done } => {
            let mut text: String = (from..to).map(event).collect();
            if done {
                text += "data: [DONE]\n\n";
            }
            Ok(answer(StatusCode::OK, text))
        }
        Script::Problem(run) => Ok(problem(run)),
        Script::HangUp => Err(Hangup),
        Script::Body(body) => Ok(answer(StatusCode::OK, body)),
    }
}

fn problem(run: &str) -> Response<Body> {
    let body = json!({"status": 503, "detail": "busy", "run": run}).to_string();
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, body);
    let headers = response.headers_mut();
    headers.insert("content-type", "application/problem+json".parse().unwrap());
    headers.insert("retry-after", "2".parse().unwrap());
    response
}

#[derive(Default)]
struct HostState {
    script: VecDeque<Script>,
    entry_hosts: EntryHosts,
    /// Number of requests for the list of entry hosts.
    list_requests: usize,
    /// `last-event-id` of each other request; empty if it had none.
    last_event_ids: Vec<String>,
}

impl HostState {
    fn answer(&mut self, req: &Request<Incoming>) -> HandlerResult {
        if req.uri().path() == "/v1/entry-hosts" {
            self.list_requests += 1;
            let body = serde_json::to_vec(&self.entry_hosts).unwrap();
            return Ok(answer(StatusCode::OK, body));
        }
        let last_event_id = header(req.headers(), "last-event-id");
        self.last_event_ids.push(last_event_id.to_owned());
        respond(self.script.pop_front().unwrap_or(Script::HangUp))
    }
}

struct ScriptedHost {
    server: Server,
    state: Arc<Mutex<HostState>>,
}

impl ScriptedHost {
    fn start(script: &[Script]) -> Self {
        let state = HostState {
            script: script.to_vec().into(),
            ..HostState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let handler = Arc::new(move |req: Request<Incoming>| {
            let result = shared.lock().unwrap().answer(&req);
            Box::pin(async move { result }) as HandlerFuture
        });
        let server = BoundServer::new().unwrap().serve(handler);
        Self { server, state }
    }

    fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    fn set_entry_hosts(&self, hosts: &[&ScriptedHost], valid_for_ms: u64) {
        self.state.lock().unwrap().entry_hosts = EntryHosts {
            entry_hosts: hosts
                .iter()
                .map(|host| entry_host(&host.url(), 1))
                .collect(),
            valid_for_ms,
        };
    }
}

fn entry_host(address: &str, weight: u32) -> EntryHost {
    EntryHost {
        address: address.into(),
        weight,
        data_centre: "dc-1".into(),
    }
}

fn completion(max_tokens: u32) -> CompletionCall {
    CompletionCall {
        service: "drafts".into(),
        prompt: PROMPT.into(),
        max_tokens,
    }
}

fn tokens(from: u32, to: u32, done: bool) -> Script {
    Script::Tokens { from, to, done }
}

/// Guards against a check that accepts tokens of another prompt, repeated or skipped tokens, or an
/// answer that ends early.
#[test]
fn reader_accepts_only_the_complete_answer_to_its_prompt() {
    let read = |text: &str| {
        let mut reader = CompletionReader::new(PROMPT, 2);
        // One byte at a time, since frames may split events anywhere.
        for byte in text.as_bytes() {
            reader.push(&[*byte]);
            match reader.next_event() {
                Some(Ok(Progress::Token)) | None => {}
                Some(settled) => return Some(settled.is_ok()),
            }
        }
        None
    };
    let done = "data: [DONE]\n\n";
    let (first, second) = (event(0), event(1));
    let foreign = first.replace(&token(PROMPT, 0), &token("other", 0));
    assert_eq!(read(&format!("{first}{second}{done}")), Some(true));
    assert_eq!(read(&format!("{first}{second}")), None);
    for wrong in [
        format!("{first}{done}"),
        format!("{first}{first}"),
        format!("{second}{done}"),
        format!("{foreign}{second}{done}"),
        done.to_owned(),
    ] {
        assert_eq!(read(&wrong), Some(false), "{wrong}");
    }
}

/// Guards against a choice that ignores the weights or returns a host that was already tried.
#[test]
fn hosts_are_chosen_by_weight_and_not_twice() {
    let mut table = HostTable::new(vec!["first".into()]);
    let mut rng = SmallRng::seed_from_u64(3);
    let none = BTreeSet::new();
    assert_eq!(table.choose(&mut rng, &none).unwrap(), "first");
    let answer = EntryHosts {
        entry_hosts: vec![entry_host("a", 90), entry_host("b", 10)],
        valid_for_ms: 1_000,
    };
    table.set(Duration::from_secs(5), answer);
    assert!(table.is_valid(Duration::from_millis(5_999)));
    assert!(!table.is_valid(Duration::from_secs(6)));
    let mut choose = |tried: &BTreeSet<String>| table.choose(&mut rng, tried);
    let count = (0..1_000).filter(|_| choose(&none).unwrap() == "a").count();
    assert!((850..950).contains(&count), "{count} of 1000 chose a");
    let mut tried = BTreeSet::from(["a".to_owned()]);
    assert_eq!(choose(&tried).unwrap(), "b");
    tried.insert("b".into());
    assert_eq!(choose(&tried).unwrap(), "first");
    tried.insert("first".into());
    assert_eq!(choose(&tried), None);
}

/// Guards against a caller that fetches the list of entry hosts before each request, or never
/// again after it has expired.
#[tokio::test]
async fn entry_hosts_are_cached_for_their_validity() {
    let host = ScriptedHost::start(&[tokens(0, 0, true), tokens(0, 0, true), tokens(0, 0, true)]);
    host.set_entry_hosts(&[&host], 3_600_000);
    let caller = Caller::builder(vec![host.url()]).build();
    for _ in 0..2 {
        let report = caller.complete(&caller.request_id(), &completion(0)).await;
        assert_eq!(report.outcome, Outcome::Whole);
    }
    assert_eq!(host.state.lock().unwrap().list_requests, 1);
    assert_eq!(caller.entry_hosts().len(), 1);
    caller.lock_table().set(
        Duration::ZERO,
        EntryHosts {
            entry_hosts: vec![entry_host(&host.url(), 1)],
            valid_for_ms: 0,
        },
    );
    caller.complete(&caller.request_id(), &completion(0)).await;
    assert_eq!(host.state.lock().unwrap().list_requests, 2);
    host.server.close().await;
}

/// Guards against a resumption at the wrong token or through the host whose stream just broke.
#[tokio::test]
async fn broken_completion_resumes_through_another_host() {
    let first = ScriptedHost::start(&[tokens(0, 3, false), Script::Problem("not_run")]);
    let second = ScriptedHost::start(&[tokens(3, 4, false), tokens(4, 6, true)]);
    first.set_entry_hosts(&[&first], 3_600_000);
    let caller = Caller::builder(vec![first.url(), second.url()]).build();
    let report = caller.complete("r1", &completion(6)).await;
    assert_eq!(report.outcome, Outcome::Whole, "{}", report.detail);
    assert_eq!((report.tokens, report.resumes), (6, 3));
    assert_eq!(first.state.lock().unwrap().last_event_ids, ["", "3"]);
    assert_eq!(second.state.lock().unwrap().last_event_ids, ["2", "3"]);

    first.state.lock().unwrap().script = [tokens(0, 2, false), Script::HangUp].into();
    let report = caller.complete("r2", &completion(6)).await;
    assert_eq!(report.outcome, Outcome::Cut);
    assert_eq!((report.tokens, report.resumes), (2, 3));
    first.server.close().await;
    second.server.close().await;
}

/// Guards against outcomes that claim more than the answer states, such as "not run" for a request
/// whose connection was closed.
#[tokio::test]
async fn refusals_and_cuts_have_distinct_outcomes() {
    let host = ScriptedHost::start(&[
        Script::Problem("not_run"),
        Script::Problem("unknown"),
        Script::Problem("perhaps"),
        Script::HangUp,
        tokens(0, 1, true),
    ]);
    host.set_entry_hosts(&[&host], 3_600_000);
    let caller = Caller::builder(vec![host.url()]).max_resumes(0).build();
    let mut outcomes = Vec::new();
    for _ in 0..5 {
        let report = caller.complete("r1", &completion(2)).await;
        if report.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            assert_eq!(report.retry_after, Some(Duration::from_secs(2)));
            assert_eq!(report.detail, "busy");
        }
        outcomes.push(report.outcome);
    }
    let wrong = |text: &str| Outcome::Wrong(text.into());
    let expected = [
        Outcome::RefusedNotRun,
        Outcome::RefusedUnknown,
        wrong("unknown value `perhaps` of `run` in the refusal"),
        Outcome::Cut,
        wrong("stream ended after 1 of 2 tokens"),
    ];
    assert_eq!(outcomes, expected);
    let address = host.url();
    host.server.close().await;
    let caller = Caller::builder(vec![address]).build();
    let report = caller.complete("r2", &completion(2)).await;
    assert_eq!(report.outcome, Outcome::Unreachable);
}

/// Guards against a plain request that is sent again after its connection was closed, and against
/// an answer to another request that passes the check.
#[tokio::test]
async fn plain_call_is_sent_once_and_checked() {
    let echo = |id: &str| {
        let echo = json!({
            "method": "POST", "path": "/orders", "request_id": id,
            "idempotency_key": "k", "body": "lot",
        });
        Script::Body(echo.to_string())
    };
    let host = ScriptedHost::start(&[
        echo("r1"),
        echo("r9"),
        Script::HangUp,
        Script::Problem("unknown"),
    ]);
    let other = ScriptedHost::start(&[]);
    host.set_entry_hosts(&[&host], 3_600_000);
    let caller = Caller::builder(vec![host.url(), other.url()]).build();
    let call = PlainCall::new("orders", Method::POST, "/orders", "lot").key("k");
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        outcomes.push(caller.call("r1", &call).await.outcome);
    }
    let expected = [
        Outcome::Whole,
        Outcome::Wrong("the answer belongs to request r9".into()),
        Outcome::Cut,
        Outcome::RefusedUnknown,
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(host.state.lock().unwrap().last_event_ids.len(), 4);
    assert_eq!(other.state.lock().unwrap().last_event_ids.len(), 0);
    host.server.close().await;
    other.server.close().await;
}
