//! Tests of the model engine stand-in over HTTP.

use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_standins::client::{Answer, Client};
use eelgrasshold_standins::engine::{CRASH_MARKER, ModelEngine, length_marker, token};
use eelgrasshold_standins::model::Spec;
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;

fn url(engine: &ModelEngine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

/// Starts a completion and returns when the response headers arrived.
async fn open(
    client: &Client,
    engine: &ModelEngine,
    id: &str,
    body: &serde_json::Value,
) -> Response<Incoming> {
    let url = url(engine, "/v1/completions");
    client
        .open(
            Method::POST,
            &url,
            &[("x-request-id", id)],
            body.to_string(),
        )
        .await
        .unwrap()
}

/// Sends a completion and reads the complete answer.
async fn complete(engine: &ModelEngine, id: &str, body: &serde_json::Value) -> Answer {
    let url = url(engine, "/v1/completions");
    Client::new()
        .send(
            Method::POST,
            &url,
            &[("x-request-id", id)],
            body.to_string(),
        )
        .await
        .unwrap()
}

/// Reads a stream to its end; returns its text and whether the connection was cut.
async fn read(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let cut = loop {
        match body.frame().await {
            None => break false,
            Some(Err(_)) => break true,
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or(Bytes::new())),
        }
    };
    (String::from_utf8(bytes).unwrap(), cut)
}

/// Formats the events of tokens `from..to` in the answer to a prompt.
fn events(prompt: &str, from: u32, to: u32) -> String {
    (from..to)
        .map(|index| {
            let data = json!({ "token": token(prompt, index) });
            format!("id: {index}\ndata: {data}\n\n")
        })
        .collect::<Vec<_>>()
        .concat()
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against events that violate the protocol, and against a resumed
/// answer that repeats or skips a token.
#[tokio::test(start_paused = true)]
async fn answers_are_complete_and_resume_at_the_exact_token() {
    let engine = ModelEngine::builder().start().unwrap();
    let whole = complete(&engine, "r1", &json!({"prompt": "p", "max_tokens": 5})).await;
    assert_eq!(whole.header("content-type"), "text/event-stream");
    assert_eq!(whole.header("x-request-id"), "r1");
    assert_eq!(whole.text(), events("p", 0, 5) + "data: [DONE]\n\n");

    let body = json!({"prompt": "p", "max_tokens": 5, "resume_from": 3, "stream": true});
    let rest = complete(&engine, "r1", &body).await;
    assert_eq!(rest.text(), events("p", 3, 5) + "data: [DONE]\n\n");
    let body = json!({"prompt": "p", "max_tokens": 5, "resume_from": 5});
    assert_eq!(
        complete(&engine, "r1", &body).await.text(),
        "data: [DONE]\n\n"
    );

    let prompt = length_marker(2);
    let short = complete(&engine, "r2", &json!({"prompt": prompt, "max_tokens": 5})).await;
    assert_eq!(short.text(), events(&prompt, 0, 2) + "data: [DONE]\n\n");
    let from: Vec<u32> = engine.runs().iter().map(|run| run.resume_from).collect();
    assert_eq!(from, [0, 3, 5, 0]);
    assert_eq!(
        (engine.counters().finished, engine.counters().tokens),
        (4, 9)
    );
    engine.close().await;
}

/// Guards against invalid requests that run.
#[tokio::test]
async fn malformed_requests_do_not_run() {
    let engine = ModelEngine::builder().start().unwrap();
    let client = Client::new();
    let url = url(&engine, "/v1/completions");
    let id = [("x-request-id", "r")];
    let cases: [(&[(&str, &str)], &str); 3] = [
        (&[], r#"{"prompt":"p"}"#),
        (&id, "no json"),
        (&id, r#"{"prompt":"p","stream":false}"#),
    ];
    for (headers, body) in cases {
        let answer = client
            .send(Method::POST, &url, headers, body)
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{body}");
    }
    assert_eq!(engine.counters().started, 0);
    engine.close().await;
}

/// Guards against an engine that goes on producing tokens after a cancel or a disconnect.
#[tokio::test(start_paused = true)]
async fn cancelled_and_abandoned_completions_stop() {
    let engine = ModelEngine::builder().start().unwrap();
    let client = Client::new();
    let body = json!({"prompt": "p", "max_tokens": 100_000});
    let cancelled = open(&client, &engine, "r1", &body).await;
    let abandoned = open(&client, &engine, "r2", &body).await;
    wait_until(|| engine.counters().tokens >= 4).await;
    assert_eq!(engine.in_flight(), 2);

    let cancel = url(&engine, "/v1/completions/r1");
    let delete = async || client.send(Method::DELETE, &cancel, &[], "").await.unwrap();
    assert_eq!(delete().await.status, StatusCode::NO_CONTENT);
    assert_eq!(delete().await.status, StatusCode::NOT_FOUND);
    let (text, cut) = read(cancelled).await;
    assert!(cut && !text.contains("[DONE]"));

    drop(abandoned);
    wait_until(|| engine.in_flight() == 0).await;
    assert_eq!(
        (engine.counters().cancelled, engine.counters().finished),
        (2, 0)
    );
    engine.close().await;
}

/// Guards against priorities, including changed ones, that are ignored when the batch is full.
#[tokio::test(start_paused = true)]
async fn better_priority_runs_first_in_a_full_batch() {
    let spec = Spec {
        slots: 1,
        ..Spec::default()
    };
    let engine = ModelEngine::builder().spec(spec).start().unwrap();
    engine.set_stalled(true);
    let client = Client::new();
    let body = |priority| json!({"prompt": "p", "max_tokens": 20, "priority": priority});
    let mut streams = Vec::new();
    for (id, priority) in [("first", 5), ("low", 6), ("high", 2), ("raised", 6)] {
        streams.push(open(&client, &engine, id, &body(priority)).await);
    }
    let raise = url(&engine, "/v1/completions/raised");
    let body = json!({"priority": 0}).to_string();
    let raised = client.send(Method::PATCH, &raise, &[], body).await.unwrap();
    assert_eq!(raised.status, StatusCode::NO_CONTENT);
    engine.set_stalled(false);
    for stream in streams {
        assert!(!read(stream).await.1);
    }
    assert_eq!(engine.finished(), ["raised", "high", "first", "low"]);
    engine.close().await;
}

/// Guards against a crash that spares other requests, ends an answer as if it
/// were complete, or leaves the engine down.
#[tokio::test(start_paused = true)]
async fn crashing_prompt_closes_all_connections_until_the_engine_restarts() {
    let engine = ModelEngine::builder()
        .crash_downtime(Duration::from_secs(2))
        .start()
        .unwrap();
    let client = Client::new();
    let innocent = json!({"prompt": "p", "max_tokens": 1000});
    let innocent = open(&client, &engine, "r1", &innocent).await;
    wait_until(|| engine.counters().tokens >= 2).await;
    let crash = json!({"prompt": format!("x {CRASH_MARKER}"), "max_tokens": 10});
    let crashing = open(&client, &engine, "r2", &crash).await;
    let (text, cut) = read(innocent).await;
    assert!(cut && !text.contains("[DONE]"));
    let (text, cut) = read(crashing).await;
    assert!(cut && text.is_empty());
    let load = url(&engine, "/v1/load");
    assert!(Client::new().get(&load).await.unwrap_err().is_connect());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        Client::new().get(&load).await.unwrap().status,
        StatusCode::OK
    );
    let counters = engine.counters();
    assert_eq!((counters.crashes, counters.failed), (1, 2));
    engine.close().await;
}

/// Guards against completions that survive a kill.
#[tokio::test(start_paused = true)]
async fn killed_engine_drops_its_completions() {
    let engine = ModelEngine::builder().start().unwrap();
    let body = json!({"prompt": "p", "max_tokens": 1000});
    let stream = open(&Client::new(), &engine, "r1", &body).await;
    engine.kill().await;
    assert!(read(stream).await.1);
    engine.restart().await;
    assert_eq!(engine.in_flight(), 0);
    let again = complete(&engine, "r2", &json!({"prompt": "q", "max_tokens": 1})).await;
    assert_eq!(again.text(), events("q", 0, 1) + "data: [DONE]\n\n");
    engine.close().await;
}

/// If the injected faults had no effect, tests of resumption and of mismatched answers would pass
/// without testing anything.
#[tokio::test(start_paused = true)]
async fn injected_faults_cut_mismatch_and_stall_answers() {
    let engine = ModelEngine::builder().start().unwrap();
    let client = Client::new();
    let body = json!({"prompt": "p", "max_tokens": 5});
    engine.cut_streams(1, 2);
    let (text, cut) = read(open(&client, &engine, "r1", &body).await).await;
    assert_eq!((text, cut), (events("p", 0, 2), true));

    engine.send_mismatched_answers(1);
    let mismatched = complete(&engine, "r2", &body).await;
    assert_ne!(mismatched.header("x-request-id"), "r2");
    assert!(!mismatched.text().contains(&token("p", 0)));

    engine.set_stalled(true);
    let stream = open(&client, &engine, "r3", &body).await;
    let before = engine.counters().tokens;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.counters().tokens, before);
    engine.set_stalled(false);
    let (text, cut) = read(stream).await;
    assert_eq!((text, cut), (events("p", 0, 5) + "data: [DONE]\n\n", false));
    engine.close().await;
}

/// Guards against a prefix cache without effect, and against a load report without lag.
#[tokio::test(start_paused = true)]
async fn shared_prefixes_are_cached_and_load_lags() {
    let engine = ModelEngine::builder().start().unwrap();
    let prefix = "a".repeat(512);
    for (id, end) in [("r1", "x"), ("r2", "y")] {
        let body = json!({"prompt": format!("{prefix}{end}"), "max_tokens": 1});
        complete(&engine, id, &body).await;
    }
    let counters = engine.counters();
    assert_eq!(
        (counters.prefilled_tokens, counters.cached_tokens),
        (129 + 1, 128)
    );

    // A stalled engine has no steps, whose timers would advance the paused clock.
    engine.set_stalled(true);
    let body = json!({"prompt": "p", "max_tokens": 1000});
    let stream = open(&Client::new(), &engine, "r3", &body).await;
    let load = async || {
        let answer = Client::new().get(&url(&engine, "/v1/load")).await.unwrap();
        serde_json::from_slice::<serde_json::Value>(&answer.body).unwrap()["running"].clone()
    };
    assert_eq!(load().await, 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(load().await, 1);
    drop(stream);
    engine.close().await;
}
