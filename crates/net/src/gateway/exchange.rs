//! Sends an admitted request to upstreams, retries it, and builds the caller's response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::registry::{Upstream, UpstreamId};
use eelgrasshold_core::gateway::{Admitted, Next, Outcome, Reasons};
use eelgrasshold_core::types::{HostId, Now, Refusal, RefusalKind, WorkClass};
use eelgrasshold_platform::headers as names;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http::{request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::Answer;
use super::in_flight::InFlight;
use super::intake::refuse;
use super::pool::idle_limit;
use super::relay::Relay;
use super::shared::Shared;
use super::{ends, notices, permits, turns};
use crate::http::{Body, Sender, full, is_final_status};
use crate::wire::headers::{remove_hop_by_hop, text, value};

/// Why an attempt was given up, for logs.
pub(super) fn given_up_reason(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Withdrawn => "requests like this one are refused by now",
        Outcome::Expired => "no event in the time for which the caller waits",
        _ => "the upstream has long been silent while others were not",
    }
}

/// Result of one send to an upstream.
pub(super) enum SendResult {
    /// The head of an answer to this request arrived.
    Answer(Box<Answer>),
    /// The attempt failed without an answer.
    Ended,
    /// The request's deadline passed.
    TimedOut,
    /// The request may not be sent any more.
    Refused(Refusal),
}

/// What to do after an answer.
enum AnswerResult {
    /// Return it to the caller.
    Response(Response<Body>),
    /// Relay it to the caller as a stream.
    Relay(Box<Answer>),
    /// A server error. Return it to the caller only if no other upstream gives a better answer.
    Failure(Response<Body>),
    /// It was not a valid answer; the attempt has failed.
    Ended,
    TimedOut,
}

/// An admitted request and the state of its attempts.
pub(super) struct Exchange {
    pub(super) shared: Arc<Shared>,
    pub(super) admitted: Admitted,
    /// End of the time limit of the caller or the route, whichever comes first.
    pub(super) deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// The end of the request was recorded.
    settled: bool,
}

impl Exchange {
    pub(super) fn new(
        shared: Arc<Shared>,
        admitted: Admitted,
        parts: request::Parts,
        body: Bytes,
    ) -> Self {
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        for name in &names::NOT_FORWARDED {
            headers.remove(name);
        }
        if let Some(host) = parts.uri.authority() {
            headers.insert(header::HOST, value(host.as_str()));
        }
        Self {
            deadline: shared.clock.instant(admitted.deadline),
            shared,
            admitted,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            settled: false,
        }
    }

    /// Sends the request until there is a response for its caller.
    pub(super) async fn run(mut self) -> Response<Body> {
        // An upstream's server error is returned if no later attempt does better.
        let mut failure: Option<Response<Body>> = None;
        loop {
            let refusal = match self.send(None).await {
                SendResult::Refused(refusal) => refusal,
                SendResult::TimedOut => timed_out(),
                SendResult::Ended => continue,
                SendResult::Answer(answer) => match self.read_answer(*answer).await {
                    AnswerResult::Response(response) => {
                        self.settle(EventKind::RequestFinished, "answered", "");
                        return response;
                    }
                    AnswerResult::Relay(answer) => match Relay::start(self, *answer).await {
                        Ok(response) => return response,
                        Err(exchange) => {
                            self = *exchange;
                            continue;
                        }
                    },
                    AnswerResult::Failure(response) => {
                        failure = Some(response);
                        continue;
                    }
                    AnswerResult::Ended => continue,
                    AnswerResult::TimedOut => timed_out(),
                },
            };
            if let Some(failure) = failure {
                self.settle(
                    EventKind::RequestFinished,
                    "upstream_failed",
                    &refusal.detail,
                );
                return failure;
            }
            self.settled = true;
            let kind = self.admitted.route.kind.name();
            let took = self.shared.now().saturating_sub(self.admitted.arrived);
            self.shared.metrics.request_ended(kind, "refused", took);
            return refuse(&self.shared, &refusal, &self.admitted.id);
        }
    }

    /// Records the end of the request in metrics and the event timeline.
    pub(super) fn settle(&mut self, event: EventKind, outcome: &'static str, detail: &str) {
        self.settled = true;
        self.release();
        let took = self.shared.now().saturating_sub(self.admitted.arrived);
        let kind = self.admitted.route.kind.name();
        self.shared.metrics.request_ended(kind, outcome, took);
        let event = Event::new(event, detail)
            .about_request(self.admitted.id.as_str())
            .with("kind", kind)
            .with("outcome", outcome)
            .with("took_ms", took)
            .with("sends", self.admitted.tried.len());
        self.shared.timeline.record(event);
    }

    /// Gives up the request's place in flight, or its turn.
    fn release(&mut self) {
        let core = &mut self.shared.core();
        core.release(self.shared.now(), &mut self.admitted);
        self.shared.turns.wake(core);
    }

    /// Sends the request to the next upstream. `resume_after` is the id of the last event that
    /// the caller received from an interrupted stream.
    pub(super) async fn send(&mut self, resume_after: Option<u64>) -> SendResult {
        let (now, upstream, reasons) = loop {
            let now = self.shared.now();
            if let Err(refusal) = self.take_in_shutdown(now) {
                return SendResult::Refused(refusal);
            }
            let (next, waits_for_turn) = {
                let mut core = self.shared.core();
                let next = core.next(now, &mut self.admitted);
                (next, core.is_waiting(&self.admitted))
            };
            match next {
                Next::Send(upstream, reasons) => break (now, upstream, reasons),
                Next::Ask(upstream, accountant) => self.ask(&upstream, &accountant).await,
                Next::Wait(time) if waits_for_turn => {
                    turns::wait(&self.shared, &self.admitted, time).await;
                }
                Next::Wait(time) => {
                    if let Err(refusal) = self.take_in_shutdown(now + time) {
                        return SendResult::Refused(refusal);
                    }
                    let event = Event::new(EventKind::RequestDelayed, "");
                    let event = event.about_request(self.admitted.id.as_str());
                    self.shared.timeline.record(event.with("wait_ms", time));
                    tokio::time::sleep(time).await;
                }
                Next::Refuse(refusal) => return SendResult::Refused(refusal),
            }
        };
        self.record_dispatch(&upstream, reasons, resume_after);
        let mut in_flight = InFlight::start(&self.shared, &self.admitted, &upstream, now);
        let sending = self.exchange(&upstream, resume_after);
        let sent = tokio::select! {
            sent = tokio::time::timeout_at(self.deadline, sending) => sent,
            outcome = self.shared.given_up(&self.admitted, &upstream.id, now, false) => {
                self.record_dropped_answer(&upstream.id, given_up_reason(outcome));
                Ok(Err(outcome))
            }
        };
        match sent {
            Ok(Ok((parts, body, sender))) => {
                in_flight.record_head();
                let answer = Answer {
                    address: upstream.address,
                    notice: notices::read(&in_flight, &parts),
                    parts,
                    body,
                    sender,
                    in_flight,
                };
                answer.record_limit();
                notices::record(&answer);
                SendResult::Answer(Box::new(answer))
            }
            Ok(Err(outcome)) => {
                self.end(in_flight, outcome);
                SendResult::Ended
            }
            Err(_) => {
                self.end(in_flight, Outcome::TimedOut);
                SendResult::TimedOut
            }
        }
    }

    /// Decides whether a request that would be sent at `at` is still taken, if the host shuts down and no
    /// upstream may have run the request: it may have waited for its body or an upstream.
    fn take_in_shutdown(&mut self, at: Now) -> Result<(), Refusal> {
        if let (Some(shutdown), false) = (self.shared.shutdown.get(), self.admitted.may_have_run) {
            shutdown.take(at, &mut self.admitted)?;
            self.deadline = self.shared.clock.instant(self.admitted.deadline);
        }
        Ok(())
    }

    /// Asks the accountant of an upstream that names a limit whether the request may be sent there.
    async fn ask(&mut self, upstream: &UpstreamId, accountant: &HostId) {
        let permit = permits::ask(&self.shared, upstream, accountant).await;
        if permit.is_none() {
            let event = Event::new(EventKind::LinkFailed, "no answer about a limit")
                .about_request(self.admitted.id.as_str())
                .with("peer", accountant.as_str())
                .with("upstream", upstream.as_str());
            self.shared.timeline.record(event);
        }
        let now = self.shared.now();
        let core = &mut self.shared.core();
        core.permit_answered(now, &mut self.admitted, upstream, accountant, permit);
    }

    fn record_dispatch(&self, upstream: &Upstream, reasons: Reasons, resume_after: Option<u64>) {
        let kind = match resume_after {
            Some(_) => EventKind::StreamResumed,
            None => EventKind::RequestDispatched,
        };
        if resume_after.is_some() {
            self.shared.metrics.stream_resumed();
        }
        let event = Event::new(kind, "")
            .about_request(self.admitted.id.as_str())
            .with("upstream", upstream.id.as_str())
            .with("address", upstream.address.to_string())
            .with("send", self.admitted.tried.len())
            .with("usable", reasons.usable)
            .with("tried_before", reasons.tried)
            .with("left_out", reasons.avoided)
            .with("unwilling", reasons.unwilling)
            .with("limited", reasons.limited)
            .with("own_in_flight", reasons.in_flight)
            .with("registry", reasons.registry)
            .with("registry_age_ms", reasons.registry_age)
            .with("lapsed", u32::from(reasons.lapsed))
            .with("leaves_in_ms", self.time_to_departure())
            .with("resume_after", resume_after.unwrap_or_default());
        self.shared.timeline.record(event);
    }

    /// Time until the caller leaves, or until its deadline.
    fn time_to_departure(&self) -> Duration {
        let Admitted {
            departure,
            deadline,
            ..
        } = &self.admitted;
        let leaves_at = departure.at().map_or(*deadline, |at| at.min(*deadline));
        leaves_at.saturating_sub(self.shared.now())
    }

    pub(super) fn end(&mut self, in_flight: InFlight, outcome: Outcome) {
        let is_sound = self.admitted.is_shown_sound(in_flight.events);
        if outcome == Outcome::Broken {
            self.admitted.record_break(in_flight.events);
        }
        self.admitted
            .record_outcome(&in_flight.upstream.id, outcome);
        in_flight.end(outcome, is_sound);
    }

    /// Records that an upstream sent no answer, or one that is not used.
    pub(super) fn record_dropped_answer(&self, upstream: &str, detail: &str) {
        let event = Event::new(EventKind::AnswerDropped, detail)
            .about_request(self.admitted.id.as_str())
            .with("upstream", upstream);
        self.shared.timeline.record(event);
    }

    async fn exchange(
        &self,
        upstream: &Upstream,
        resume_after: Option<u64>,
    ) -> Result<(response::Parts, Incoming, Sender), Outcome> {
        let connection = self.shared.connection(upstream).await;
        let mut sender = connection.map_err(|error| {
            ends::record_refusal(&self.shared, upstream, &error);
            self.record_dropped_answer(&upstream.id, &format!("can't connect: {error}"));
            Outcome::Unreachable
        })?;
        // The time that is left is written last, as it goes on while the connection is opened.
        let request = self.request(upstream, resume_after).map_err(|error| {
            self.record_dropped_answer(
                &upstream.id,
                &format!("can't build the request for the upstream: {error}"),
            );
            Outcome::Unreachable
        })?;
        if !self.shared.core().may_send(self.shared.now(), upstream) {
            let detail = "not sent: the upstream has left, leaves or wants no requests";
            self.record_dropped_answer(&upstream.id, detail);
            self.shared.metrics.request_moved();
            return Err(Outcome::Moved);
        }
        let answer = sender
            .try_send_request(request)
            .await
            .map_err(|mut failed| {
                // hyper returns the request if none of it was written.
                let unsent = failed.take_message().is_some();
                self.record_dropped_answer(&upstream.id, &format!("no answer: {}", failed.error()));
                if unsent {
                    Outcome::Unreachable
                } else {
                    Outcome::Broken
                }
            })?;
        let (parts, body) = answer.into_parts();
        if text(&parts.headers, &names::REQUEST_ID) != Some(self.admitted.id.as_str()) {
            self.record_dropped_answer(&upstream.id, "the answer belongs to another request");
            return Err(Outcome::Broken);
        }
        if !is_final_status(parts.status) {
            let detail = format!("no final answer has status {}", parts.status.as_u16());
            self.record_dropped_answer(&upstream.id, &detail);
            return Err(Outcome::Broken);
        }
        Ok((parts, body, sender))
    }

    fn request(
        &self,
        upstream: &Upstream,
        resume_after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))?;
        let mut headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        headers.insert(names::DEADLINE_MS, left.as_millis().to_string().try_into()?);
        headers.insert(names::EXPECT_UPSTREAM, upstream.id.as_str().try_into()?);
        let priority = self.admitted.send_priority().min(names::LOWEST_PRIORITY);
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority)));
        if let Some(team) = &self.admitted.team {
            headers.insert(names::TEAM, team.as_str().try_into()?);
        }
        if let Some(after) = resume_after {
            headers.insert(names::LAST_EVENT_ID, HeaderValue::from(after));
        }
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Checks an answer by its head and, unless it is a stream, reads its whole body.
    async fn read_answer(&mut self, answer: Answer) -> AnswerResult {
        let status = answer.parts.status;
        let rejection = answer.rejection();
        if status.is_success() && !answer.is_genuine() {
            self.record_dropped_answer(
                &answer.in_flight.upstream.id,
                "a success answer lacks a digest or has a content encoding",
            );
            self.end(answer.in_flight, Outcome::Broken);
            return AnswerResult::Ended;
        }
        if status.is_success() && self.admitted.route.kind.is_stream() {
            return AnswerResult::Relay(Box::new(answer));
        }
        let Answer {
            parts,
            body,
            sender,
            in_flight,
            ..
        } = answer;
        // An answer that is not a stream is buffered, so that a truncated one can be retried.
        let collecting = self.shared.answer_buffers.collect(body);
        let (upstream, sent_at) = (&in_flight.upstream.id, in_flight.sent_at);
        let collected = tokio::select! {
            collected = tokio::time::timeout_at(self.deadline, collecting) => collected,
            outcome = self.shared.given_up(&self.admitted, upstream, sent_at, false) => {
                self.record_dropped_answer(upstream, given_up_reason(outcome));
                self.end(in_flight, rejection.unwrap_or(outcome));
                return AnswerResult::Ended;
            }
        };
        let body = match collected {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.record_dropped_answer(
                    &in_flight.upstream.id,
                    &format!("can't read the body of the answer: {error}"),
                );
                self.end(in_flight, rejection.unwrap_or(Outcome::Broken));
                return AnswerResult::Ended;
            }
            Err(_) => {
                self.end(in_flight, Outcome::TimedOut);
                return AnswerResult::TimedOut;
            }
        };
        self.shared
            .keep_connection(&in_flight.upstream, sender, idle_limit(&parts.headers));
        if let Some(rejection) = rejection {
            self.end(in_flight, rejection);
            return AnswerResult::Ended;
        }
        let took = self.shared.now().saturating_sub(self.admitted.arrived);
        self.shared
            .metrics
            .first_answer(self.admitted.route.kind.name(), took);
        let failed = status.is_server_error();
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        self.end(in_flight, outcome);
        let response = forward_answer(parts, full(body));
        if failed && self.admitted.route.kind.class() == WorkClass::Idempotent {
            return AnswerResult::Failure(response);
        }
        AnswerResult::Response(response)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.release();
        if !self.settled {
            self.settle(EventKind::CallerGone, "caller_gone", "");
        }
    }
}

fn timed_out() -> Refusal {
    let detail = "the upstream did not answer before the deadline";
    Refusal::unknown(RefusalKind::DeadlineExceeded, detail)
}

/// Turns an upstream's answer into the response for the caller.
pub(super) fn forward_answer(parts: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(parts, body);
    let implies_not_run = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    let headers = response.headers_mut();
    remove_hop_by_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
    if implies_not_run {
        // These statuses tell callers that the request was not run, which the upstream did not
        // state. The digest covers the upstream's status and is invalid for another one.
        headers.remove(names::DIGEST);
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    *response.version_mut() = http::Version::HTTP_11;
    response
}
