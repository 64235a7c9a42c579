//! Plain requests through the system and directly to the service.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Method;

use super::summary::TargetSummary;
use super::tally::Tally;
use crate::caller::{Caller, Outcome, PlainCall};
use crate::client::Client;

/// Time limit for a direct request, equal to the caller's default deadline and its grace time.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(35);

/// Path by which a request reaches the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    System,
    Direct,
}

/// Scheduled time of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scheduled {
    /// Latency counts from this time, even if the request was sent later.
    pub(super) at: Instant,
    /// The request is part of the warm-up and not counted.
    pub(super) warm_up: bool,
}

/// Sends requests to both targets and counts the outcomes of each.
pub(super) struct Targets {
    caller: Caller,
    client: Client,
    direct_url: Option<String>,
    call: PlainCall,
    system: Mutex<Tally>,
    direct: Mutex<Tally>,
}

impl Targets {
    pub(super) fn new(
        caller: Caller,
        direct_url: Option<String>,
        service: &str,
        method: &Method,
    ) -> Self {
        Self {
            caller,
            client: Client::new(),
            direct_url,
            call: PlainCall::new(service, method.clone(), "/load", ""),
            system: Mutex::new(Tally::new()),
            direct: Mutex::new(Tally::new()),
        }
    }

    pub(super) fn has_direct(&self) -> bool {
        self.direct_url.is_some()
    }

    /// Sends a request and counts its outcome.
    pub(super) async fn call(&self, target: Target, scheduled: Scheduled) {
        let request_id = self.caller.request_id();
        let mut call = self.call.clone();
        if call.method != Method::GET {
            call = call.key(&request_id);
        }
        let outcome = match target {
            Target::System => self.caller.call(&request_id, &call).await.outcome,
            Target::Direct => self.call_directly(&request_id, &call).await,
        };
        if !scheduled.warm_up {
            let latency = scheduled.at.elapsed();
            self.tally(target).record(&outcome, latency);
        }
    }

    /// Counts a request that was not sent because too many were in flight.
    pub(super) fn skip(&self, target: Target, scheduled: Scheduled) {
        if !scheduled.warm_up {
            self.tally(target).record_not_sent();
        }
    }

    pub(super) fn summaries(&self, run_for: Duration) -> (TargetSummary, Option<TargetSummary>) {
        let system = summary(&self.tally(Target::System), run_for);
        let direct = self
            .has_direct()
            .then(|| summary(&self.tally(Target::Direct), run_for));
        (system, direct)
    }

    async fn call_directly(&self, request_id: &str, call: &PlainCall) -> Outcome {
        let base = self.direct_url.as_deref().unwrap_or_default();
        let url = format!("{base}{}", call.path);
        let mut headers = vec![("x-request-id", request_id)];
        let key = call.idempotency_key.as_deref();
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let sent = self
            .client
            .send(call.method.clone(), &url, &headers, call.body.clone());
        match tokio::time::timeout(DIRECT_TIMEOUT, sent).await {
            Ok(Ok(answer)) => call.check_answer(request_id, answer.status, &answer.body),
            Ok(Err(error)) if error.is_connect() => Outcome::Unreachable,
            Ok(Err(_)) | Err(_) => Outcome::Cut,
        }
    }

    fn tally(&self, target: Target) -> MutexGuard<'_, Tally> {
        let tally = match target {
            Target::System => &self.system,
            Target::Direct => &self.direct,
        };
        tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn summary(tally: &Tally, run_for: Duration) -> TargetSummary {
    let outcomes = tally.outcomes();
    TargetSummary {
        requests_per_s: outcomes.whole as f64 / run_for.as_secs_f64().max(f64::EPSILON),
        latency: tally.latency(),
        outcomes,
    }
}
