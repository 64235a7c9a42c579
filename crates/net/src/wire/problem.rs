//! Refusals as RFC 9457 problem documents.

use bytes::Bytes;
use eelgrasshold_core::types::{Refusal, RefusalKind, Run};
use http::{Response, StatusCode, header};
use serde::Serialize;

use super::headers;

#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    run: Run,
    request_id: &'a str,
}

/// Converts a refusal to a response with a problem document and, if the refusal names a delay, a
/// `retry-after` header in whole seconds, rounded up.
#[must_use]
pub fn problem_response(refusal: &Refusal, request_id: &str) -> Response<Bytes> {
    let slug = refusal.kind.slug();
    let status =
        StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let problem = Problem {
        r#type: format!("urn:eelgrasshold:problem:{slug}"),
        title: slug.replace('-', " "),
        status: status.as_u16(),
        detail: &refusal.detail,
        run: refusal.run,
        request_id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(
        header::CONTENT_TYPE,
        headers::value("application/problem+json"),
    );
    fields.insert(headers::REQUEST_ID, headers::value(request_id));
    if let Some(after) = refusal.retry_after {
        let whole_seconds = after.as_millis().div_ceil(1_000);
        fields.insert(
            header::RETRY_AFTER,
            headers::value(&whole_seconds.to_string()),
        );
    }
    response
}

/// Returns the response for a request whose handler in this process failed. The request may have
/// run.
#[must_use]
pub fn internal_error(request_id: &str) -> Response<Bytes> {
    let detail = "the entry host failed while it held the request";
    problem_response(
        &Refusal::unknown(RefusalKind::UpstreamFailed, detail),
        request_id,
    )
}
