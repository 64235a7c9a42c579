//! HTTP helpers that the stand-in servers and the client share.

use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Body of an answer; an error in it closes the connection before the answer is complete.
pub type Body = UnsyncBoxBody<Bytes, Hangup>;
/// Result of a handler: an answer, or an error that closes the connection without one.
pub type HandlerResult = Result<Response<Body>, Hangup>;
/// Future that a handler returns.
pub type HandlerFuture = BoxFuture<'static, HandlerResult>;

/// Closes the connection without a complete answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection closed by a stand-in fault before the answer was complete"))]
pub struct Hangup;

/// Wraps bytes as a body that can't fail.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds an answer without headers.
pub fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// Builds an answer with an empty body.
pub fn empty(status: StatusCode) -> Response<Body> {
    answer(status, Bytes::new())
}

/// Builds a JSON answer. Status 500 with the error text if the value can't be serialized.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = answer(status, bytes);
            let json = http::HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads a complete body.
///
/// The error is the answer to send: 413 if the body exceeds the limit, 400 if it breaks off.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("request body exceeds {limit_bytes} bytes"),
        )),
        Err(error) => Err(answer(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// Reads a JSON body.
///
/// The error is the answer to send: as for [`read_body`], or 400 if the body is not valid.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit_bytes: usize,
) -> Result<T, Response<Body>> {
    let bytes = read_body(body, limit_bytes).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| answer(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Decodes percent-encoded text; bytes that are not UTF-8 are replaced.
pub fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Decoded value of the first query parameter of this name.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode(value))
}

/// Value of a header; empty if it is missing or not ASCII text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
