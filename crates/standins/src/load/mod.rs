//! Open-loop load at a fixed rate against running daemons and, for comparison,
//! directly against the service behind them.
//!
//! Each request is sent at its scheduled time whether or not earlier ones were
//! answered, and its latency counts from that time. Requests through the system
//! and direct ones alternate within a run, so that both see the same load of
//! the machine.

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

/// Builder of a load run.
#[derive(Clone, Debug)]
pub struct LoadBuilder {
    entry_urls: Vec<String>,
    direct_url: Option<String>,
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
    /// Creates a run against the entry hosts at these base URLs: 100 plain requests per second for
    /// 10 s after a warm-up of 1 s, without direct requests and streams.
    #[must_use]
    pub fn new(entry_urls: Vec<String>) -> Self {
        Self {
            entry_urls,
            direct_url: None,
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

    /// Adds direct requests to the plain service at this base URL, at the same rate.
    #[must_use]
    pub fn direct(mut self, url: &str) -> Self {
        self.direct_url = Some(url.to_owned());
        self
    }

    /// Sets the name of the plain service; `orders` by default.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        service.clone_into(&mut self.service);
        self
    }

    /// Sets the name of the model service for streams; `drafts` by default.
    #[must_use]
    pub fn stream_service(mut self, service: &str) -> Self {
        service.clone_into(&mut self.stream_service);
        self
    }

    /// Sets the team of all requests through the system; none by default.
    #[must_use]
    pub fn team(mut self, team: &str) -> Self {
        self.team = Some(team.to_owned());
        self
    }

    /// Sets the method of the plain requests; GET by default. Requests with other methods carry an
    /// idempotency key.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Sets the number of plain requests per second to each target; 0 sends none.
    #[must_use]
    pub fn rate_per_s(mut self, rate_per_s: u32) -> Self {
        self.rate_per_s = rate_per_s;
        self
    }

    /// Sets the time for which requests are sent and counted, after the warm-up.
    #[must_use]
    pub fn run_for(mut self, run_for: Duration) -> Self {
        self.run_for = run_for;
        self
    }

    /// Sets the time at the start for which requests are sent but not counted.
    #[must_use]
    pub fn warm_up(mut self, warm_up: Duration) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets the number of completion streams that are kept open throughout the run, warm-up
    /// included, and the number of tokens of each; no streams by default.
    #[must_use]
    pub fn streams(mut self, streams: u32, tokens: u32) -> Self {
        self.streams = streams;
        self.stream_tokens = tokens;
        self
    }

    /// Runs the load to its end. It must run on a multi-threaded tokio runtime with a timer.
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
        // The token ends the task, so an error here means that it panicked.
        let streams = streams.await.unwrap_or_else(|error| {
            log::error!("stream task failed, so the summary lacks the streams: {error}");
            StreamSummary::default()
        });
        let (system, direct) = targets.summaries(self.run_for);
        Summary::new(system, direct, streams)
    }

    fn targets(&self) -> Targets {
        Targets::new(
            self.caller("load").build(),
            self.direct_url.clone(),
            &self.service,
            &self.method,
        )
    }

    fn caller(&self, name: &str) -> CallerBuilder {
        // The random suffix keeps consecutive runs from reusing each other's idempotency keys.
        let name = format!("{name}-{:08x}", rand::random::<u32>());
        let builder = Caller::builder(self.entry_urls.clone()).name(&name);
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
