//! Encoding of calls to an object API and decoding of its answers.

use bytes::Bytes;
use eelgrasshold_core::platform::{Call, Condition, KindCall, KindReply, Reply, Version};
use http::{HeaderName, Method, Request, Response, StatusCode, header};

use super::WATCH_TIMEOUT;
use crate::wire::headers;

/// Header of answers that holds the version of the object.
const VERSION: HeaderName = HeaderName::from_static("x-version");

/// Encodes the calls of one platform's object API and decodes its answers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Builds the request for a call about one object, from the base URL of the API.
    pub object_request: fn(&str, &Call) -> Result<Request<Bytes>, http::Error>,
    /// Decodes the answer to a call about one object.
    pub object_reply: fn(&Call, &Response<Bytes>) -> Reply,
    /// Builds the request for a call about a kind of objects, from the base URL of the API.
    pub kind_request: fn(&str, &KindCall) -> Result<Request<Bytes>, http::Error>,
    /// Decodes the answer to a call about a kind of objects.
    pub kind_reply: fn(&KindCall, &Response<Bytes>) -> KindReply,
}

impl Dialect {
    /// The dialect of the project's own object API. It has no kinds, so calls about these fail.
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
        // With other errors, a write may have taken effect.
        _ => Reply::Lost,
    }
}
