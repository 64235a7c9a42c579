//! Parses a caller's HTTP request into the metadata that the core needs.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::config::{Config, Service, ServiceKind};
use eelgrasshold_core::types::{
    DEFAULT_PRIORITY, LOWEST_PRIORITY, Refusal, RefusalKind, Request, WorkClass,
};
use http::request::Parts;
use serde::Deserialize;

use super::headers;

const SERVICES_PATH_PREFIX: &str = "/v1/services/";
/// Largest value of the deadline header: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Largest size of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Length of the start of a prompt that determines its cache affinity.
const PREFIX_CHARS: usize = 256;
/// Average size of a token of text, to estimate the tokens of a prompt from its size.
const BYTES_PER_TOKEN: usize = 4;
/// Limit of answer tokens for requests that set none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Destination of a request: a service, and a path at its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service, never empty; it need not be configured.
    pub service: String,
    /// Path and query after the service name, with a leading slash.
    pub path: String,
}

impl Target {
    /// Parses the path and query of a request; `None` if they name no service.
    #[must_use]
    pub fn parse(path_and_query: &str) -> Option<Self> {
        let rest = path_and_query.strip_prefix(SERVICES_PATH_PREFIX)?;
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, path) = rest.split_at(end);
        let path = if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        };
        (!service.is_empty()).then(|| Self {
            service: service.to_owned(),
            path,
        })
    }
}

/// A caller's request, parsed and with its body read.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Metadata that the core decides on.
    pub request: Request,
    /// Kind of the target service.
    pub kind: ServiceKind,
    /// Service and path from the request URI.
    pub target: Target,
    /// Method, URI, version and headers as received.
    pub parts: Parts,
    /// Complete body as received.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct Completion {
    prompt: String,
    max_tokens: Option<u32>,
}

/// Parses a request whose body has been read completely.
///
/// # Errors
///
/// A refusal for the caller if the path, a header or the body is malformed, the service is not
/// configured, or neither the request nor the service names a team.
pub fn parse_caller_request(
    cfg: &Config,
    id: &str,
    parts: Parts,
    body: Bytes,
) -> Result<CallerRequest, Refusal> {
    let bad = |detail: String| Refusal::not_run(RefusalKind::BadRequest, detail);
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let Some(target) = Target::parse(path) else {
        return Err(bad(format!(
            "path must start with {SERVICES_PATH_PREFIX}NAME"
        )));
    };
    let Some(service) = cfg.services.get(&target.service) else {
        let detail = format!("service `{}` is not configured", target.service);
        return Err(Refusal::not_run(RefusalKind::UnknownService, detail));
    };
    let team = team_of(service, &parts)?;
    let priority = headers::parsed(&parts.headers, &headers::PRIORITY).map_err(bad)?;
    let priority = priority.unwrap_or(DEFAULT_PRIORITY);
    if priority > LOWEST_PRIORITY {
        return Err(bad(format!(
            "{} must be 0 to {LOWEST_PRIORITY}",
            headers::PRIORITY
        )));
    }
    let mut request = Request {
        id: id.to_owned(),
        service: target.service.clone(),
        team,
        priority,
        deadline: deadline_of(service, &parts).map_err(bad)?,
        class: class_of(service, &target, &parts).map_err(bad)?,
        idempotency_key: key_of(&parts).map_err(bad)?,
        fingerprint: hash(&(&target.service, &target.path, &body)),
        prefix: None,
        prompt_tokens: 0,
        max_tokens: 0,
        resume_from: resume_from(&parts).map_err(bad)?,
    };
    if service.kind == ServiceKind::Model && parts.method == http::Method::POST {
        describe_completion(&mut request, &body).map_err(bad)?;
    }
    Ok(CallerRequest {
        request,
        kind: service.kind,
        target,
        parts,
        body,
    })
}

fn team_of(service: &Service, parts: &Parts) -> Result<String, Refusal> {
    let named = headers::text(&parts.headers, &headers::TEAM).map(str::to_owned);
    named
        .or_else(|| service.default_team.clone())
        .ok_or_else(|| {
            let detail = format!(
                "header {} is missing and the service has no default",
                headers::TEAM
            );
            Refusal::not_run(RefusalKind::UnknownTeam, detail)
        })
}

fn deadline_of(service: &Service, parts: &Parts) -> Result<Duration, String> {
    let named: Option<u64> = headers::parsed(&parts.headers, &headers::DEADLINE_MS)?;
    match named {
        None => Ok(service.default_deadline()),
        Some(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        Some(_) => Err(format!(
            "{} must be 1 to {MAX_DEADLINE_MS}",
            headers::DEADLINE_MS
        )),
    }
}

/// The configuration determines the class; a caller can only make its request non-idempotent.
fn class_of(service: &Service, target: &Target, parts: &Parts) -> Result<WorkClass, String> {
    let named: Option<bool> = headers::parsed(&parts.headers, &headers::IDEMPOTENT)?;
    if named == Some(false) {
        return Ok(WorkClass::NonIdempotent);
    }
    let path = target.path.split('?').next().unwrap_or("/");
    Ok(service.class_of(parts.method.as_str(), path))
}

fn key_of(parts: &Parts) -> Result<Option<String>, String> {
    let Some(value) = parts.headers.get(&headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(format!(
            "{} must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} ASCII characters",
            headers::IDEMPOTENCY_KEY
        )),
    }
}

fn resume_from(parts: &Parts) -> Result<u32, String> {
    let last: Option<u32> = headers::parsed(&parts.headers, &headers::LAST_EVENT_ID)?;
    match last.map(|last| last.checked_add(1)) {
        None => Ok(0),
        Some(Some(next)) => Ok(next),
        Some(None) => Err(format!("{} is too large", headers::LAST_EVENT_ID)),
    }
}

fn describe_completion(request: &mut Request, body: &[u8]) -> Result<(), String> {
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|e| format!("the body is not a completion request: {e}"))?;
    let prompt_tokens = completion.prompt.len().div_ceil(BYTES_PER_TOKEN);
    request.prompt_tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
    request.max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let prefix: String = completion.prompt.chars().take(PREFIX_CHARS).collect();
    request.prefix = Some(hash(&prefix));
    Ok(())
}

/// `DefaultHasher::new` has fixed keys, so that all hosts with the same build agree on the value.
fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
