//! Helpers for requests and answers that all stand-ins share.

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

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Hangup>;
/// What a handler returns: an answer, or an error that closes the connection without one.
pub type HandlerResult = Result<Response<Body>, Hangup>;
/// A running handler.
pub type HandlerFuture = BoxFuture<'static, HandlerResult>;

/// The connection is closed without a whole answer.
#[derive(Debug, Snafu)]
#[snafu(display("the stand-in closes the connection without a whole answer"))]
pub struct Hangup;

/// Wraps bytes as the body of an answer.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a status and a body.
pub fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    answer(status, Bytes::new())
}

/// An answer in JSON.
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

/// Reads a whole body, or gives the answer that refuses it.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Response<Body>> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is above {limit_bytes} bytes"),
        )),
        Err(error) => Err(answer(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// Reads a JSON body, or gives the answer that refuses it.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit_bytes: usize,
) -> Result<T, Response<Body>> {
    let bytes = read_body(body, limit_bytes).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| answer(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Undoes percent-encoding.
pub fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Value of a query parameter.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode(value))
}

/// A header's value as text; empty if it is missing.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
