//! Callers outside the limits: whatever they send, and however many they are, no process ends, its memory
//! and descriptors stay within those of its machine, and an ordinary request is answered.
//!
//! The load and the bounds follow from the limits in the settings and the configuration (`fleet.rs`): the
//! bodies of all callers together exceed the memory of the machine, and connections its descriptors.

mod callers;
mod fleet;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "these tests look at processes only")]
mod support;

use std::time::Duration;

use callers::{Body, send_all};
use eelgrasshold_core::types::{Request, WorkClass};
use fleet::{ANSWER_BYTES, BODY_BYTES, Gateway, MAX_DESCRIPTORS, MEMORY_MB, check_answer, head};
use support::Processes;
use tokio::sync::Mutex;

/// Callers at once. Their bodies come to 160 MB, and fewer connections than [`MAX_DESCRIPTORS`] are open.
const CALLERS: usize = 80;
/// Bytes that are left out at the end of a body.
const MISSING: usize = 1;
/// Time for which unfinished requests stay open.
const HOLD: Duration = Duration::from_secs(2);
/// Memory of the machines of entry hosts and upstream processes. All bodies of [`CALLERS`] exceed it.
const OWN_PATH_MEMORY_MB: u64 = 192;
/// Largest body at an entry host, in bytes.
const OWN_PATH_BODY_BYTES: usize = 4 << 20;
/// Length of a frame on a control connection, in bytes, as its first four bytes `FRAME_HEAD` say.
const FRAME_BYTES: usize = 0x7f << 16;
const FRAME_HEAD: &str = "\0\x7f\0\0";

/// Held by each test, since they share the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Sends requests with a body to a gateway.
async fn misuse_gateway(load: &str, path: &str, framing: &str, body: Body) {
    let text = |n: usize| head(path, &format!("misuse-{n}"), framing);
    misuse_listener(load, text, body).await;
}

/// Sends one kind of load to a gateway's listener for callers.
async fn misuse_listener(load: &str, head: impl Fn(usize) -> String, body: Body) {
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    let open = send_all(gateway.daemon.data, CALLERS, head, body).await;
    tokio::time::sleep(HOLD).await;
    gateway.check_served().await;
    gateway.check_resources(load);
    drop(open);
    gateway.check_served().await;
    gateway.check_resources(load);
}

// Guards against bodies of permitted size that fill the memory, most without their end.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_do_not_fill_memory() {
    let framing = format!("Content-Length: {BODY_BYTES}");
    let length = BODY_BYTES - MISSING;
    misuse_gateway("whole", "/safe/x", &framing, Body::Whole(length)).await;
    misuse_gateway("in pieces", "/safe/x", &framing, Body::Pieces(length)).await;
}

// Guards against whole bodies of permitted size that fill the memory while their requests are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_flight_do_not_fill_memory() {
    let framing = format!("Content-Length: {BODY_BYTES}");
    let body = Body::Pieces(BODY_BYTES);
    misuse_gateway("in flight", "/stream/x", &framing, body).await;
}

// Guards against chunked bodies whose pieces each cost more than their size.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_chunked_bodies_do_not_fill_memory() {
    for chunk in [256 << 10, 1 << 10, 16] {
        let bytes = BODY_BYTES - chunk;
        let body = Body::Chunks { bytes, chunk };
        let load = format!("chunks of {chunk}");
        misuse_gateway(&load, "/safe/x", "Transfer-Encoding: chunked", body).await;
    }
}

// Guards against chunks of one byte: each is a separate piece with its own administration.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_do_not_fill_memory() {
    let bytes = BODY_BYTES / 4;
    let body = Body::Chunks { bytes, chunk: 1 };
    let load = "chunks of 1";
    misuse_gateway(load, "/safe/x", "Transfer-Encoding: chunked", body).await;
}

// Guards against bodies beyond the limit that are kept, or read without end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_limit_do_not_fill_memory() {
    let bytes = 16 * BODY_BYTES;
    let framing = format!("Content-Length: {}", 64 * BODY_BYTES);
    misuse_gateway("announced", "/safe/x", &framing, Body::Pieces(bytes)).await;
    let chunk = 64 << 10;
    let body = Body::Chunks { bytes, chunk };
    let framing = "Transfer-Encoding: chunked";
    misuse_gateway("unannounced", "/safe/x", framing, body).await;
}

// Guards against heads and trailers without end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_and_trailers_without_end_do_not_fill_memory() {
    for (load, field) in [
        ("head of lines", "X-Filler: aaaaaaaaaaaaaaaa\r\n"),
        ("head of one line", "aaaaaaaaaaaaaaaa"),
    ] {
        let body = Body::Repeated(field, BODY_BYTES);
        // The blank line at the end of the head is left out.
        let head = |_| "POST /safe/x HTTP/1.1\r\nX-Filler: a\r\nX-Filler: ".to_owned();
        misuse_listener(load, head, body).await;
    }
    let field = "X-Filler: aaaaaaaaaaaaaaaa\r\n";
    let trailers = |n: usize| {
        let id = format!("misuse-{n}");
        head("/safe/x", &id, "Transfer-Encoding: chunked") + "1\r\na\r\n0\r\n"
    };
    misuse_listener("trailers", trailers, Body::Repeated(field, BODY_BYTES)).await;
}

// Guards against callers that leave large answers, or streams, unread.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_do_not_fill_memory() {
    assert!(CALLERS * ANSWER_BYTES > (MEMORY_MB as usize) << 20);
    let framing = "Content-Length: 0";
    misuse_gateway("unread stream", "/stream/x", framing, Body::Nothing).await;
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    let mut open = Vec::new();
    // The answers of a few callers at a time are within what the host reads at once.
    for group in 0..CALLERS / 2 {
        let name = |n: usize| head("/safe/large", &format!("unread-{group}-{n}"), framing);
        open.extend(send_all(gateway.daemon.data, 2, name, Body::Nothing).await);
        tokio::time::sleep(HOLD / 40).await;
    }
    tokio::time::sleep(HOLD).await;
    gateway.check_served().await;
    gateway.check_resources("unread answers");
}

// Guards against connections without a request that take all descriptors, or all places of a listener.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_use_up_descriptors() {
    let _alone = ALONE.lock().await;
    let connections = usize::try_from(MAX_DESCRIPTORS).unwrap() + CALLERS;
    let mut gateway = Gateway::start().await;
    let daemon = &gateway.daemon;
    let listeners = [
        ("callers", daemon.data, None),
        ("readiness", daemon.ready.unwrap(), Some("/readyz")),
        ("directory", daemon.directory.unwrap(), Some("/resolve")),
        ("metrics", daemon.admin, Some("/metrics")),
        ("control", daemon.control, None),
    ];
    for (load, address, path) in listeners {
        let head = |_| String::new();
        let open = send_all(address, connections, head, Body::Nothing).await;
        tokio::time::sleep(HOLD).await;
        gateway.check_resources(load);
        if let Some(path) = path {
            let request = |_| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
            check_answer(&mut gateway.daemon, address, &request).await;
        }
        gateway.check_resources(load);
        drop(open);
    }
    gateway.check_served().await;
}

// Guards against bodies, heads and frames without end at the listeners that expect none.
#[tokio::test(flavor = "multi_thread")]
async fn other_listeners_do_not_fill_memory() {
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    let daemon = &gateway.daemon;
    for (load, address, path) in [
        ("readiness", daemon.ready.unwrap(), "/readyz"),
        ("directory", daemon.directory.unwrap(), "/resolve"),
        ("metrics", daemon.admin, "/metrics"),
    ] {
        let chunk = 1 << 10;
        for (kind, framing, body) in [
            (
                "body",
                "Content-Length: 100000000\r\n\r\n",
                Body::Pieces(BODY_BYTES),
            ),
            (
                "chunks",
                "Transfer-Encoding: chunked\r\n\r\n",
                Body::Chunks {
                    bytes: BODY_BYTES,
                    chunk,
                },
            ),
            ("head", "X-Filler: ", Body::Pieces(BODY_BYTES)),
        ] {
            let head = |_| format!("GET {path} HTTP/1.1\r\nHost: x\r\n{framing}");
            let open = send_all(address, CALLERS, head, body).await;
            gateway.check_resources(&format!("{load}, {kind}"));
            drop(open);
        }
        let request = |_| format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        check_answer(&mut gateway.daemon, address, &request).await;
    }
    let frame_head = |_| FRAME_HEAD.to_owned();
    let frame = Body::Pieces(FRAME_BYTES - MISSING);
    let open = send_all(gateway.daemon.control, CALLERS, frame_head, frame).await;
    gateway.check_served().await;
    gateway.check_resources("control, frames");
    drop(open);
}

// Guards against bodies that fill the memory of an entry host, and of an upstream process.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_do_not_fill_the_memory_of_the_own_path() {
    let _alone = ALONE.lock().await;
    let mut processes = Processes::start().await;
    let length = OWN_PATH_BODY_BYTES - MISSING;
    let entry_head = |n: usize| {
        format!(
            "POST /v1/services/drafts/v1/completions HTTP/1.1\r\nHost: x\r\nEel-Request-Id: m-{n}\r\n\
             Eel-Team: classers\r\nContent-Length: {OWN_PATH_BODY_BYTES}\r\n\r\n"
        )
    };
    let address = processes.entries[0].data;
    let open = send_all(address, CALLERS, entry_head, Body::Pieces(length)).await;
    tokio::time::sleep(HOLD).await;
    let request = |_| "GET /v1/entry-hosts HTTP/1.1\r\nHost: x\r\n\r\n".to_owned();
    check_answer(&mut processes.entries[0], address, &request).await;
    let limit = (OWN_PATH_MEMORY_MB, 4_096);
    fleet::check_resources(&mut processes.entries[0], "entry host", limit.0, limit.1);
    drop(open);
    let dispatch = dispatch();
    let upstream_head = |n| {
        format!(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nEel-Attempt: {n}\r\n\
             Eel-Request: {dispatch}\r\nContent-Length: {OWN_PATH_BODY_BYTES}\r\n\r\n"
        )
    };
    let address = processes.upstreams[0].data;
    let open = send_all(address, CALLERS, upstream_head, Body::Pieces(length)).await;
    tokio::time::sleep(HOLD).await;
    fleet::check_resources(
        &mut processes.upstreams[0],
        "upstream process",
        limit.0,
        limit.1,
    );
    drop(open);
}

/// Metadata of a request, as an entry host sends it to an upstream process.
fn dispatch() -> String {
    let request = Request {
        id: "m".to_owned(),
        service: "drafts".to_owned(),
        team: "classers".to_owned(),
        priority: 1,
        deadline: Duration::from_secs(60),
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: 0,
        prefix: None,
        prompt_tokens: 1,
        max_tokens: 1,
        resume_from: 0,
    };
    serde_json::to_string(&request).unwrap()
}

// Guards against refusals that leave open whether the request has run, or a connection on which the rest of
// a body is taken for another request.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_before_the_end_of_a_body_say_that_it_has_not_run() {
    let _alone = ALONE.lock().await;
    let gateway = Gateway::start().await;
    let address = gateway.daemon.data;
    let announced = format!("Content-Length: {}", BODY_BYTES + 1);
    let too_large = fleet::send(address, &head("/safe/x", "large", &announced)).await;
    let slow = head("/safe/x", "slow", "Content-Length: 9").replace("60000", "300");
    let too_slow = fleet::send(address, &(slow + "part")).await;
    let framing = format!("Content-Length: {BODY_BYTES}");
    let all = MEMORY_MB as usize * 2 / 5 * (1 << 20) / BODY_BYTES;
    let name = |n: usize| head("/safe/x", &format!("first-{n}"), &framing);
    let open = send_all(address, all, name, Body::Pieces(BODY_BYTES - MISSING)).await;
    let no_room = fleet::send(address, &head("/safe/x", "more", &framing)).await;
    drop(open);
    for (answer, status) in [(too_large, 413), (too_slow, 408), (no_room, 503)] {
        let answer = answer.unwrap();
        assert_eq!(answer.status, status, "{}", answer.head);
        assert_eq!(answer.header("connection"), "close", "{}", answer.head);
        assert!(answer.body.contains("not_run"), "{}", answer.body);
    }
}

// Guards against a bound that refuses what the configuration permits.
#[tokio::test(flavor = "multi_thread")]
async fn largest_permitted_body_is_served() {
    let _alone = ALONE.lock().await;
    let mut gateway = Gateway::start().await;
    let address = gateway.daemon.data;
    let body = "x".repeat(BODY_BYTES);
    let largest = |n: usize| fleet::request("/safe/x", &format!("largest-{n}"), &body);
    let answer = fleet::send(address, &largest(0)).await.unwrap();
    assert_eq!((answer.status, answer.body), (200, BODY_BYTES.to_string()));
    check_answer(&mut gateway.daemon, address, &largest).await;
    gateway.check_resources("largest");
}
