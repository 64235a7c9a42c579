//! Tests of the plain service stand-in over HTTP.

use std::time::Duration;

use eelgrasshold_standins::client::{Answer, Client, ClientError};
use eelgrasshold_standins::plain::{Echo, Failure, PlainService};
use http::{Method, StatusCode};

async fn post(service: &PlainService, id: &str, body: &str) -> Result<Answer, ClientError> {
    let url = format!("http://{}/orders?lot=7", service.address());
    let headers = [("x-request-id", id), ("idempotency-key", "key-1")];
    Client::new()
        .send(Method::POST, &url, &headers, body.to_owned())
        .await
}

fn echo(answer: &Answer) -> Echo {
    serde_json::from_slice(&answer.body).unwrap()
}

/// Guards against an echo that doesn't identify its request, so that a mismatched
/// answer would go unnoticed, and against executions that are not recorded.
#[tokio::test]
async fn requests_are_echoed_and_recorded() {
    let service = PlainService::builder().start().unwrap();
    let answer = post(&service, "r1", "body").await.unwrap();
    let expected = Echo {
        method: "POST".into(),
        path: "/orders?lot=7".into(),
        request_id: "r1".into(),
        idempotency_key: "key-1".into(),
        body: "body".into(),
    };
    assert_eq!(echo(&answer), expected);
    assert_eq!(answer.header("x-request-id"), "r1");
    post(&service, "r2", "body").await.unwrap();
    let runs = ["key-1", "r1", "r2", "r3"].map(|key| service.runs_of(key));
    assert_eq!(runs, [2, 1, 1, 0]);
    let paths: Vec<String> = service.executions().into_iter().map(|e| e.path).collect();
    assert_eq!(paths, ["/orders?lot=7", "/orders?lot=7"]);
    service.close().await;
}

/// If a failure was injected on the wrong side of the execution, checks of at-most-once
/// execution could pass by accident.
#[tokio::test]
async fn failures_occur_before_or_after_the_execution() {
    let service = PlainService::builder().start().unwrap();
    service.fail_before(1, Failure::Status(StatusCode::SERVICE_UNAVAILABLE));
    let refused = post(&service, "r1", "").await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    service.fail_before(1, Failure::HangUp);
    assert!(!post(&service, "r1", "").await.unwrap_err().is_connect());
    assert_eq!(service.runs_of("r1"), 0);

    service.fail_after(2, Failure::HangUp);
    for _ in 0..2 {
        assert!(!post(&service, "r1", "").await.unwrap_err().is_connect());
    }
    assert_eq!(
        post(&service, "r1", "").await.unwrap().status,
        StatusCode::OK
    );
    assert_eq!(service.runs_of("r1"), 3);
    let counters = service.counters();
    assert_eq!((counters.failed_before, counters.failed_after), (2, 2));
    service.close().await;
}

/// Guards against a truncated answer that looks complete, and a mismatched one that looks correct.
#[tokio::test]
async fn truncated_and_mismatched_answers_are_detectable() {
    let service = PlainService::builder().start().unwrap();
    service.truncate_answers(1);
    let truncated = post(&service, "r1", "body").await;
    assert!(matches!(truncated, Err(ClientError::Receive { .. })));
    service.send_mismatched_answers(1);
    let mismatched = post(&service, "r1", "body").await.unwrap();
    assert_ne!(echo(&mismatched).request_id, "r1");
    assert_eq!(
        echo(&post(&service, "r1", "body").await.unwrap()).body,
        "body"
    );
    service.close().await;
}

/// Guards against an execution that is not recorded because its caller disconnected during
/// the latency, and against a killed service that answers.
#[tokio::test]
async fn execution_is_recorded_when_the_caller_disconnects() {
    let service = PlainService::builder()
        .latency(Duration::from_secs(3_600))
        .start()
        .unwrap();
    let execution_recorded = async {
        while service.counters().runs == 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        answer = post(&service, "r1", "") => panic!("answered before the latency: {answer:?}"),
        () = execution_recorded => {}
    }
    service.kill().await;
    assert_eq!(service.runs_of("r1"), 1);
    assert!(post(&service, "r2", "").await.unwrap_err().is_connect());
    service.set_latency(Duration::ZERO);
    service.restart().await;
    assert_eq!(
        post(&service, "r2", "").await.unwrap().status,
        StatusCode::OK
    );
    service.close().await;
}
