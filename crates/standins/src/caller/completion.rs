//! Streamed completion requests, checked token by token and resumed after a broken stream.

use std::collections::BTreeSet;
use std::time::Duration;

use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::outcome::{Outcome, Report, is_problem, read_problem};
use super::sse::{CompletionReader, Progress};
use super::{Caller, call};

/// A streamed completion request to a model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionCall {
    /// Name of the model service, as in the published configuration.
    pub service: String,
    /// Prompt, from which the stand-in engine derives every token of the answer.
    pub prompt: String,
    /// Upper limit of the answer's length, in tokens; a length marker in the prompt may lower it.
    pub max_tokens: u32,
}

/// How one stream of a completion ended.
enum StreamEnd {
    /// The report holds the final outcome.
    Settled,
    /// The stream broke off or its resumption was refused; another entry host may resume it.
    Broken,
    /// Nothing was sent, since the entry host accepted no connection.
    NotSent,
}

/// A completion in progress, over all its streams.
struct RunningCompletion<'a> {
    call: &'a CompletionCall,
    reader: CompletionReader,
    report: Report,
    started: Instant,
    last_token: Option<Instant>,
}

impl Caller {
    /// Sends a completion request, reads the answer to its end and checks each token. A broken
    /// stream is resumed through other entry hosts, up to the configured number of resumptions.
    pub async fn complete(&self, request_id: &str, call: &CompletionCall) -> Report {
        let mut running = RunningCompletion {
            call,
            reader: CompletionReader::new(&call.prompt, call.max_tokens),
            report: Report::new(request_id),
            started: Instant::now(),
            last_token: None,
        };
        let total_timeout = call::total_timeout(self.settings.deadline);
        if tokio::time::timeout(total_timeout, self.run_completion(&mut running))
            .await
            .is_err()
        {
            running.report.outcome = Outcome::Cut;
            running.report.detail = format!(
                "request not finished within {} ms",
                total_timeout.as_millis()
            );
        }
        running.report.total = running.started.elapsed();
        running.report
    }

    async fn run_completion(&self, running: &mut RunningCompletion<'_>) {
        let mut tried = BTreeSet::new();
        while let Some(address) = self.choose(&tried).await {
            tried.insert(address.clone());
            match self.stream(&address, running).await {
                StreamEnd::Settled => return,
                StreamEnd::NotSent => {}
                StreamEnd::Broken if running.report.resumes == self.settings.max_resumes => return,
                StreamEnd::Broken => {
                    running.report.resumes += 1;
                    // Only the host whose stream just broke is excluded from the next choice;
                    // hosts of earlier streams may have recovered.
                    tried.retain(|other| *other == address);
                }
            }
        }
    }

    async fn stream(&self, address: &str, running: &mut RunningCompletion<'_>) -> StreamEnd {
        let id = running.report.request_id.clone();
        let last_event_id = running
            .reader
            .tokens()
            .checked_sub(1)
            .map(|n| n.to_string());
        let mut headers = self.headers(&id);
        if let Some(last_event_id) = &last_event_id {
            headers.push(("last-event-id", last_event_id.clone()));
        }
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let call = running.call;
        let url = format!("{address}/v1/services/{}/v1/completions", call.service);
        let body = json!({
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": true,
        });
        let sent = self
            .client
            .open(Method::POST, &url, &headers, body.to_string());
        match sent.await {
            Ok(response) => running.read_response(response).await,
            Err(error) => running.record_send_failure(&error),
        }
    }
}

impl RunningCompletion<'_> {
    fn record_send_failure(&mut self, error: &crate::client::ClientError) -> StreamEnd {
        self.report.detail = error.to_string();
        if error.is_connect() {
            return StreamEnd::NotSent;
        }
        self.report.outcome = Outcome::Cut;
        StreamEnd::Broken
    }

    async fn read_response(&mut self, response: Response<Incoming>) -> StreamEnd {
        self.report.status = Some(response.status());
        if is_problem(response.headers()) {
            return self.read_refusal(response).await;
        }
        if response.status() != StatusCode::OK {
            return self.reject_status(response).await;
        }
        self.reader.begin_stream();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { break };
            if let Ok(data) = frame.into_data() {
                self.reader.push(&data);
            }
            if let Some(outcome) = self.check_events() {
                return self.settle(outcome);
            }
        }
        self.report.outcome = Outcome::Cut;
        self.report.detail = format!("stream broke off after {} tokens", self.reader.tokens());
        StreamEnd::Broken
    }

    /// Settles the outcome as wrong, since an answer must be a stream or a problem document.
    async fn reject_status(&mut self, response: Response<Incoming>) -> StreamEnd {
        let text = format!("status {} without a problem document", response.status());
        if let Ok(body) = response.into_body().collect().await {
            self.report.detail = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        }
        self.settle(Outcome::Wrong(text))
    }

    /// Checks the complete events in the buffer; `Some` once they settle the outcome.
    fn check_events(&mut self) -> Option<Outcome> {
        while let Some(checked) = self.reader.next_event() {
            match checked {
                Ok(Progress::Token) => self.record_token(),
                Ok(Progress::Done) => return Some(Outcome::Whole),
                Err(text) => return Some(Outcome::Wrong(text)),
            }
        }
        None
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        self.report.tokens = self.reader.tokens();
        self.report.time_to_first.get_or_insert(now - self.started);
        let gap = self.last_token.map_or(Duration::ZERO, |last| now - last);
        self.report.longest_gap = self.report.longest_gap.max(gap);
        self.last_token = Some(now);
    }

    /// Settles the outcome as refused if no token has arrived yet. After the first token, another
    /// entry host may still resume the stream.
    async fn read_refusal(&mut self, response: Response<Incoming>) -> StreamEnd {
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            self.report.outcome = Outcome::Cut;
            return StreamEnd::Broken;
        };
        let refusal = read_problem(&parts.headers, &body.to_bytes());
        self.report.detail = refusal.detail;
        self.report.retry_after = refusal.retry_after;
        if self.reader.tokens() > 0 && !matches!(refusal.outcome, Outcome::Wrong(_)) {
            self.report.outcome = Outcome::Cut;
            return StreamEnd::Broken;
        }
        self.settle(refusal.outcome)
    }

    fn settle(&mut self, outcome: Outcome) -> StreamEnd {
        self.report.outcome = outcome;
        StreamEnd::Settled
    }
}
