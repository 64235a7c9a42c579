//! Load at a fixed rate against running daemons and, for comparison, directly
//! against the service behind them.
//!
//! The load is open-loop: a call is sent at its time whether or not earlier
//! ones were answered, and its latency counts from that time. Calls through
//! the system and direct ones alternate in one run, so that both meet the same
//! state of the machine.

mod calls;
mod pace;
mod streams;
mod summary;
mod tally;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio_util::sync::CancellationToken;

pub use summary::{Comparison, Latency, Outcomes, StreamSummary, Summary, TargetSummary};

use crate::caller::{Caller, CallerBuilder};
use calls::Targets;

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadBuilder {
    entries: Vec<String>,
    direct: Option<String>,
    service: String,
    stream_service: String,
    team: Option<String>,
    method: Method,
    rate_per_s: u32,
    run_for: Duration,
    warm_up: Duration,
    streams: u32,
    stream_tokens: u32,
}

impl LoadBuilder {
    /// A run against entry hosts at these URLs: 100 calls a second for 10 s, after 1 s of warm-up.
    #[must_use]
    pub fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            direct: None,
            service: "orders".into(),
            stream_service: "drafts".into(),
            team: None,
            method: Method::GET,
            rate_per_s: 100,
            run_for: Duration::from_secs(10),
            warm_up: Duration::from_secs(1),
            streams: 0,
            stream_tokens: 256,
        }
    }

    /// URL of the plain service, for direct calls at the same rate.
    #[must_use]
    pub fn direct(mut self, url: &str) -> Self {
        self.direct = Some(url.to_owned());
        self
    }

    /// Name of the plain service; `orders` by default.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        service.clone_into(&mut self.service);
        self
    }

    /// Name of the model service for streams; `drafts` by default.
    #[must_use]
    pub fn stream_service(mut self, service: &str) -> Self {
        service.clone_into(&mut self.stream_service);
        self
    }

    /// Team that all requests name; none by default.
    #[must_use]
    pub fn team(mut self, team: &str) -> Self {
        self.team = Some(team.to_owned());
        self
    }

    /// Method of the plain calls; GET by default. Other methods carry an idempotency key.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Plain calls a second to each target; 0 sends none.
    #[must_use]
    pub fn rate_per_s(mut self, rate_per_s: u32) -> Self {
        self.rate_per_s = rate_per_s;
        self
    }

    /// Time for which calls are sent and measured.
    #[must_use]
    pub fn run_for(mut self, run_for: Duration) -> Self {
        self.run_for = run_for;
        self
    }

    /// Time before it for which calls are sent and not measured.
    #[must_use]
    pub fn warm_up(mut self, warm_up: Duration) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Drafts that are kept open all the time, and the tokens of each.
    #[must_use]
    pub fn streams(mut self, streams: u32, tokens: u32) -> Self {
        self.streams = streams;
        self.stream_tokens = tokens;
        self
    }

    /// Runs the load. It needs a tokio runtime with a timer and several threads.
    pub async fn run(self) -> Summary {
        let end = CancellationToken::new();
        let streams = tokio::spawn(streams::run(
            Arc::new(self.caller("load-streams").build()),
            self.completion(),
            self.streams,
            end.clone(),
        ));
        let targets = Arc::new(self.targets());
        pace::run(&targets, self.rate_per_s, self.warm_up, self.run_for).await;
        end.cancel();
        // The task ends by the token; it fails only if it panicked, which is then shown.
        let streams = streams.await.unwrap_or_else(|error| {
            log::error!("the streams failed: {error}");
            StreamSummary::default()
        });
        let (system, direct) = targets.summaries(self.run_for);
        Summary::new(system, direct, streams)
    }

    fn targets(&self) -> Targets {
        Targets::new(
            self.caller("load").build(),
            self.direct.clone(),
            &self.service,
            &self.method,
        )
    }

    fn caller(&self, name: &str) -> CallerBuilder {
        // Runs that follow each other must not use each other's idempotency keys.
        let name = format!("{name}-{:08x}", rand::random::<u32>());
        let builder = Caller::builder(self.entries.clone()).name(&name);
        match &self.team {
            Some(team) => builder.team(team),
            None => builder,
        }
    }

    fn completion(&self) -> crate::caller::CompletionCall {
        crate::caller::CompletionCall {
            service: self.stream_service.clone(),
            prompt: String::new(),
            max_tokens: self.stream_tokens,
        }
    }
}
