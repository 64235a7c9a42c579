//! A minimal HTTP client of the users, and the configuration that its requests match.

use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Answer received by a caller, possibly incomplete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if the connection closed before the end of the head.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body, as far as it arrived.
    pub body: String,
    /// Whether the answer ended according to its framing.
    pub complete: bool,
}

impl Answer {
    /// Value of a header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let matches = |line: &'_ str| {
            line.split_once(':')
                .is_some_and(|(n, _)| n.eq_ignore_ascii_case(name))
        };
        let line = self.head.lines().find(|l| matches(l));
        line.and_then(|l| l.split_once(':'))
            .map_or("", |(_, v)| v.trim())
    }

    /// Ids of the received events of a stream.
    #[must_use]
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Returns a configuration with a stream route, a safe and an unsafe one, all to one service.
#[must_use]
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": "wool.example", "path_prefix": prefix, "type": kind,
            "timeout_ms": 3_000, "target_latency_ms": 400, "priority": 1, "service": "drafts",
            "attempts": attempts, "public": false, "resumable": true, "gap_target_ms": 120,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("drafts", "/stream/", "stream", 2),
            route("status", "/safe/", "safe", 2),
            route("booking", "/unsafe/", "unsafe", 1),
        ],
        "services": [{ "name": "drafts", "health_path": "/healthz", "max_conns": 50 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "shearers", "api_keys": ["key-1"], "priority": 0 }],
    })
}

/// Formats a request with the key of [`config`] and a forged team header.
#[must_use]
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: wool.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2500\r\nApi-Key: key-1\r\nX-Tenant: forged\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Reads one answer from a connection.
pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return answer;
        }
        match stream.read(&mut chunk).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&chunk[..read]),
            _ => return incomplete_answer(&bytes),
        }
    }
}

/// Parses a complete answer; `None` if more bytes are needed.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut answer = Answer {
        status: parse_status(&head),
        head,
        ..Answer::default()
    };
    let length = answer.header("content-length").parse::<usize>().ok();
    let (body, complete) = match length {
        Some(length) => (bytes.get(end..end + length)?.to_vec(), true),
        None => decode_chunks(&bytes[end..]),
    };
    answer.body = String::from_utf8_lossy(&body).into_owned();
    answer.complete = complete;
    complete.then_some(answer)
}

/// Parses what arrived of an answer before its connection closed.
fn incomplete_answer(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end + 4]).into_owned();
    let (body, complete) = decode_chunks(&bytes[end + 4..]);
    Answer {
        status: parse_status(&head),
        head,
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    }
}

/// Parses the status of a head; 0 if there is none.
fn parse_status(head: &str) -> u16 {
    let status = head.split(' ').nth(1);
    status.and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Decodes the chunked transfer coding; returns the body and whether the last chunk arrived.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = bytes.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).ok();
        let Some(size) = size.and_then(|s| usize::from_str_radix(s, 16).ok()) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = bytes.get(end + 2..end + 2 + size) else {
            return (body, false);
        };
        body.extend_from_slice(chunk);
        bytes = bytes.get(end + 4 + size..).unwrap_or_default();
    }
    (body, false)
}
