use eelgrasshold_core::config::{Config, Service, ServiceKind, Team};
use eelgrasshold_core::types::{Refusal, RefusalKind, WorkClass};
use http::Request;

use super::*;

fn config() -> Config {
    let mut cfg = Config {
        revision: 1,
        ..Config::default()
    };
    cfg.teams.insert("classers".into(), Team::default());
    cfg.services.insert("drafts".into(), Service::default());
    let bids = Service {
        kind: ServiceKind::Plain,
        default_team: Some("classers".into()),
        ..Service::default()
    };
    cfg.services.insert("bids".into(), bids);
    cfg
}

fn parse(request: Request<&'static str>) -> Result<CallerRequest, Refusal> {
    let (parts, body) = request.into_parts();
    parse_caller_request(&config(), "r-1", parts, body.into())
}

fn completion_request() -> http::request::Builder {
    Request::post("/v1/services/drafts/v1/completions").header("eel-team", "classers")
}

#[test]
fn completion_request_is_parsed_into_metadata() {
    let body = r#"{"prompt":"Describe lot 17 ","max_tokens":40}"#;
    let incoming = parse(
        completion_request()
            .header("last-event-id", "6")
            .body(body)
            .unwrap(),
    )
    .unwrap();
    assert_eq!(incoming.target.path, "/v1/completions");
    let request = incoming.request;
    assert_eq!(
        (
            request.prompt_tokens,
            request.max_tokens,
            request.resume_from
        ),
        (4, 40, 7)
    );
    assert_eq!(request.class, WorkClass::Idempotent);
}

#[test]
fn plain_service_request_needs_no_eel_headers() {
    let incoming = parse(
        Request::post("/v1/services/bids/lots/17")
            .body("{}")
            .unwrap(),
    )
    .unwrap();
    assert_eq!(incoming.request.team, "classers");
    assert_eq!(incoming.request.class, WorkClass::NonIdempotent);
}

// Guards against invalid requests that are forwarded, or refused with the wrong kind.
#[test]
fn malformed_requests_and_unknown_services_are_refused() {
    let body = r#"{"prompt":"x"}"#;
    let cases = [
        parse(
            completion_request()
                .header("eel-deadline-ms", "soon")
                .body(body)
                .unwrap(),
        ),
        parse(
            completion_request()
                .header("eel-deadline-ms", "0")
                .body(body)
                .unwrap(),
        ),
        parse(
            completion_request()
                .header("eel-priority", "8")
                .body(body)
                .unwrap(),
        ),
        parse(
            completion_request()
                .header("last-event-id", "4294967295")
                .body(body)
                .unwrap(),
        ),
        parse(completion_request().body("{").unwrap()),
        parse(Request::get("/elsewhere").body("").unwrap()),
    ];
    let kinds = cases.map(|c| c.unwrap_err().kind);
    assert_eq!(kinds, [RefusalKind::BadRequest; 6]);
    let unknown = parse(Request::get("/v1/services/none/x").body("").unwrap());
    assert_eq!(unknown.unwrap_err().kind, RefusalKind::UnknownService);
}

// Guards against events that are lost or duplicated when they are split over several reads.
#[test]
fn events_are_parsed_at_every_chunk_size() {
    let stream = b"id: 0\ndata: {\"token\":\"a\"}\n\nid: 1\ndata: x\n\ndata: [DONE]\n\n";
    for size in 1..stream.len() {
        let mut splitter = SseSplitter::default();
        let mut events = Vec::new();
        for chunk in stream.chunks(size) {
            splitter.push(chunk);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let parsed: Vec<_> = events.iter().map(|e| (e.id, e.done)).collect();
        assert_eq!(
            parsed,
            [(Some(0), false), (Some(1), false), (None, true)],
            "chunks of {size} bytes"
        );
    }
}

#[test]
fn problem_document_says_whether_the_request_ran() {
    let refusal = Refusal::not_run(RefusalKind::Overloaded, "try again later")
        .with_retry_after(std::time::Duration::from_millis(1_200));
    let response = problem_response(&refusal, "r-1");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["retry-after"], "2");
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    insta::assert_json_snapshot!(body, @r#"
    {
      "detail": "try again later",
      "request_id": "r-1",
      "run": "not_run",
      "status": 503,
      "title": "overloaded",
      "type": "urn:eelgrasshold:problem:overloaded"
    }
    "#);
}
