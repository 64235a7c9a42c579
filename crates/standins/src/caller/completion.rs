//! Drafts: streamed, checked token by token and resumed.

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

/// A draft to ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionCall {
    /// Service.
    pub service: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens at most.
    pub max_tokens: u32,
}

/// How one stream ended.
enum End {
    /// The outcome is settled.
    Settled,
    /// The stream broke off or was refused; another entry host may go on.
    Broken,
    /// Nothing was sent, since the entry host accepts no connections.
    NotSent,
}

/// A draft while it runs.
struct Running<'a> {
    draft: &'a CompletionCall,
    reader: CompletionReader,
    report: Report,
    started: Instant,
    last_token: Option<Instant>,
}

impl Caller {
    /// Asks for a draft and reads it to its end, over as many streams as it takes.
    pub async fn complete(&self, request_id: &str, draft: &CompletionCall) -> Report {
        let mut running = Running {
            draft,
            reader: CompletionReader::new(&draft.prompt, draft.max_tokens),
            report: Report::new(request_id),
            started: Instant::now(),
            last_token: None,
        };
        let patience = call::patience(self.settings.deadline);
        if tokio::time::timeout(patience, self.run_completion(&mut running))
            .await
            .is_err()
        {
            running.report.outcome = Outcome::Cut;
            running.report.detail = format!("no end within {} ms", patience.as_millis());
        }
        running.report.total = running.started.elapsed();
        running.report
    }

    async fn run_completion(&self, running: &mut Running<'_>) {
        let mut tried = BTreeSet::new();
        while let Some(address) = self.choose(&tried).await {
            tried.insert(address.clone());
            match self.stream(&address, running).await {
                End::Settled => return,
                End::NotSent => {}
                End::Broken if running.report.resumes == self.settings.max_resumes => return,
                End::Broken => {
                    running.report.resumes += 1;
                    // Hosts that broke off may be tried again, but not right away.
                    tried.retain(|other| *other == address);
                }
            }
        }
    }

    async fn stream(&self, address: &str, running: &mut Running<'_>) -> End {
        let id = running.report.request_id.clone();
        let last = running
            .reader
            .tokens()
            .checked_sub(1)
            .map(|n| n.to_string());
        let mut headers = self.headers(&id);
        if let Some(last) = &last {
            headers.push(("last-event-id", last.clone()));
        }
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let draft = running.draft;
        let url = format!("{address}/v1/services/{}/v1/completions", draft.service);
        let body = json!({
            "prompt": draft.prompt,
            "max_tokens": draft.max_tokens,
            "stream": true,
        });
        let sent = self
            .client
            .open(Method::POST, &url, &headers, body.to_string());
        match sent.await {
            Ok(response) => running.read(response).await,
            Err(error) => running.not_answered(&error),
        }
    }
}

impl Running<'_> {
    fn not_answered(&mut self, error: &crate::client::ClientError) -> End {
        self.report.detail = error.to_string();
        if error.is_connect() {
            return End::NotSent;
        }
        self.report.outcome = Outcome::Cut;
        End::Broken
    }

    async fn read(&mut self, response: Response<Incoming>) -> End {
        self.report.status = Some(response.status());
        if is_problem(response.headers()) {
            return self.refused(response).await;
        }
        if response.status() != StatusCode::OK {
            return self.not_a_draft(response).await;
        }
        self.reader.begin_stream();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { break };
            if let Ok(data) = frame.into_data() {
                self.reader.push(&data);
            }
            if let Some(outcome) = self.take_events() {
                return self.settle(outcome);
            }
        }
        self.report.outcome = Outcome::Cut;
        self.report.detail = format!("it broke off after {} tokens", self.reader.tokens());
        End::Broken
    }

    /// An answer that is neither a draft nor a refusal breaks the contract.
    async fn not_a_draft(&mut self, response: Response<Incoming>) -> End {
        let text = format!("status {} without a problem document", response.status());
        if let Ok(body) = response.into_body().collect().await {
            self.report.detail = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        }
        self.settle(Outcome::Wrong(text))
    }

    /// Checks the events that are whole; the outcome if they settle it.
    fn take_events(&mut self) -> Option<Outcome> {
        while let Some(checked) = self.reader.next_event() {
            match checked {
                Ok(Progress::Token) => self.note_token(),
                Ok(Progress::Done) => return Some(Outcome::Whole),
                Err(text) => return Some(Outcome::Wrong(text)),
            }
        }
        None
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        self.report.tokens = self.reader.tokens();
        self.report.time_to_first.get_or_insert(now - self.started);
        let gap = self.last_token.map_or(Duration::ZERO, |last| now - last);
        self.report.longest_gap = self.report.longest_gap.max(gap);
        self.last_token = Some(now);
    }

    /// A refusal settles a draft that has not begun. One that has begun may go on elsewhere.
    async fn refused(&mut self, response: Response<Incoming>) -> End {
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            self.report.outcome = Outcome::Cut;
            return End::Broken;
        };
        let refused = read_problem(&parts.headers, &body.to_bytes());
        self.report.detail = refused.detail;
        self.report.retry_after = refused.retry_after;
        if self.reader.tokens() > 0 && !matches!(refused.outcome, Outcome::Wrong(_)) {
            self.report.outcome = Outcome::Cut;
            return End::Broken;
        }
        self.settle(refused.outcome)
    }

    fn settle(&mut self, outcome: Outcome) -> End {
        self.report.outcome = outcome;
        End::Settled
    }
}
