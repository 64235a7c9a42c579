//! How calls to an object API are written and its answers read.

use bytes::Bytes;
use eelgrasshold_core::platform::{Call, Condition, KindCall, KindReply, Reply, Version};
use http::{HeaderName, Method, Request, Response, StatusCode, header};

use super::WATCH_TIMEOUT;
use crate::wire::headers;

/// Version of an object, in answers.
const VERSION: HeaderName = HeaderName::from_static("x-version");

/// Writes the calls of one platform and reads its answers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Writes a call about one object to the API at a base address.
    pub object_request: fn(&str, &Call) -> Result<Request<Bytes>, http::Error>,
    /// Reads the answer to a call about one object.
    pub object_reply: fn(&Call, &Response<Bytes>) -> Reply,
    /// Writes a call about a kind.
    pub kind_request: fn(&str, &KindCall) -> Result<Request<Bytes>, http::Error>,
    /// Reads the answer to a call about a kind.
    pub kind_reply: fn(&KindCall, &Response<Bytes>) -> KindReply,
}

impl Dialect {
    /// The object API of the project's own stand-in, which has no kinds.
    #[must_use]
    pub fn native() -> Self {
        Self {
            object_request,
            object_reply,
            kind_request: |base, _| Request::builder().uri(base).body(Bytes::new()),
            kind_reply: |_, _| KindReply::Failed {
                reason: "this platform has no kinds of objects".to_owned(),
            },
        }
    }
}

fn object_request(base: &str, call: &Call) -> Result<Request<Bytes>, http::Error> {
    let object = |key: &str| format!("{base}/v1/objects/{key}");
    let builder = Request::builder();
    match call {
        Call::Get { key } => builder.uri(object(key)).body(Bytes::new()),
        Call::Put {
            key,
            value,
            condition,
        } => {
            let builder = builder.method(Method::PUT).uri(object(key));
            let builder = match condition {
                Condition::Absent => builder.header(header::IF_NONE_MATCH, "*"),
                Condition::Version(v) => builder.header(header::IF_MATCH, v.to_string()),
            };
            builder.body(value.clone().into())
        }
        Call::Delete { key, version } => builder
            .method(Method::DELETE)
            .uri(object(key))
            .header(header::IF_MATCH, version.to_string())
            .body(Bytes::new()),
        Call::Watch { key, after } => {
            let timeout_ms = WATCH_TIMEOUT.as_millis();
            let uri = format!("{}?watch={after}&timeout_ms={timeout_ms}", object(key));
            builder.uri(uri).body(Bytes::new())
        }
    }
}

fn object_reply(call: &Call, response: &Response<Bytes>) -> Reply {
    let is_write = matches!(call, Call::Put { .. } | Call::Delete { .. });
    let version = headers::parsed::<Version>(response.headers(), &VERSION)
        .ok()
        .flatten();
    let version = version.unwrap_or(0);
    match response.status() {
        StatusCode::NOT_FOUND => Reply::Missing,
        StatusCode::NOT_MODIFIED => Reply::Unchanged,
        StatusCode::PRECONDITION_FAILED => Reply::Conflict { version },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::PAYLOAD_TOO_LARGE => Reply::Unavailable,
        status if status.is_success() && is_write => Reply::Written { version },
        status if status.is_success() => Reply::Object {
            version,
            value: response.body().to_vec(),
        },
        // Other errors don't say whether a write took effect.
        _ => Reply::Lost,
    }
}
