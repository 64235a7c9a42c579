//! Names of headers and typed access to their values.

use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue};

/// Id of the request, chosen by the caller or given by the entry host.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("eel-request-id");
/// Team that the request belongs to.
pub const TEAM: HeaderName = HeaderName::from_static("eel-team");
/// Priority, 0 (highest) to 7.
pub const PRIORITY: HeaderName = HeaderName::from_static("eel-priority");
/// Time left to the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("eel-deadline-ms");
/// Whether the request may be run again, `true` or `false`.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("eel-idempotent");
/// Key that marks repeats of one non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Index of the last token that a resuming caller has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Request id as engines and plain services get it.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Id of the attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("eel-attempt");
/// Metadata of the request, as JSON.
pub const REQUEST: HeaderName = HeaderName::from_static("eel-request");
/// First token that the caller lacks.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("eel-resume-from");
/// Hybrid clock of the sender.
pub const CLOCK: HeaderName = HeaderName::from_static("eel-clock");
/// Incarnation of the upstream process that the sender means.
pub const INCARNATION: HeaderName = HeaderName::from_static("eel-incarnation");
/// Load of the upstream, as JSON.
pub const LOAD: HeaderName = HeaderName::from_static("eel-load");
/// Reason why work was returned unstarted.
pub const BOUNCE: HeaderName = HeaderName::from_static("eel-bounce");
/// How work failed; in headers or, once the answer has begun, in trailers.
pub const FAILED: HeaderName = HeaderName::from_static("eel-failed");
/// Value of [`FAILED`]: the work certainly did not run.
pub const FAILED_NOT_RUN: &str = "not_run";
/// Value of [`FAILED`]: the work may have run.
pub const FAILED_UNKNOWN: &str = "unknown";
/// Value of [`FAILED`]: the engine died while it ran the work.
pub const FAILED_CRASHED: &str = "crashed";
/// The request only asks whether the engine takes work.
pub const PROBE: HeaderName = HeaderName::from_static("eel-probe");
/// The work is suspected of crashing upstreams and shall run alone.
pub const ALONE: HeaderName = HeaderName::from_static("eel-alone");

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that belong to one connection.
pub fn remove_hop_by_hop(fields: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        fields.remove(name);
    }
}

/// The header as text, if it is there.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// The header as a value of type `T`, if it is there.
///
/// # Errors
///
/// If the header is there but can't be read, with a sentence for the caller.
pub fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| format!("header {name} is not ASCII"))?;
    match text.trim().parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(format!("header {name} has the malformed value `{text}`")),
    }
}

/// The header as JSON of type `T`, if it is there and can be read.
#[must_use]
pub fn json<T: serde::de::DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    serde_json::from_str(text(headers, name)?).ok()
}

/// A header value from text; characters that headers can't carry are replaced.
#[must_use]
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        let clean: String = text
            .chars()
            .map(|c| if (' '..='~').contains(&c) { c } else { '?' })
            .collect();
        HeaderValue::from_str(&clean).unwrap_or(HeaderValue::from_static("?"))
    })
}

/// A header value with JSON in it.
#[must_use]
pub fn json_value<T: serde::Serialize>(content: &T) -> HeaderValue {
    value(&serde_json::to_string(content).unwrap_or_default())
}
