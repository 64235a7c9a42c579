//! Relays a stream of events from an upstream to the caller.
//!
//! Events are forwarded whole, as they arrive. If the upstream's stream is interrupted, the relay
//! resumes it at another upstream after the last forwarded event; the caller keeps the headers of
//! the first upstream. A stream that can't be resumed ends with an error, so that the caller does
//! not take it for complete.

use std::error::Error;

use bytes::Bytes;
use eelgrasshold_core::event::EventKind;
use eelgrasshold_core::gateway::Outcome;
use eelgrasshold_core::types::{Now, WorkClass};
use futures::stream;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::answer::Answer;
use super::exchange::{Exchange, SendResult, forward_answer, given_up_reason};
use super::in_flight::InFlight;
use super::pool::idle_limit;
use super::sse::{EventSplitter, event_id, is_event};
use crate::http::{Body, Sender};

/// The upstream that currently supplies the stream.
struct Source {
    body: Incoming,
    headers: HeaderMap,
    sender: Sender,
    in_flight: InFlight,
}

/// Result of reading from the stream.
enum Step {
    Event(Bytes),
    /// The stream ended after a whole event.
    Complete,
    /// The connection failed, the stream ended within an event, or the upstream stands still.
    Failed(Outcome, String),
    TimedOut,
}

/// State of a relayed stream.
pub(super) struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    splitter: EventSplitter,
    /// Id of the last forwarded event, for the resumption.
    last_event_id: Option<u64>,
    /// When the last event was forwarded.
    last_event_at: Now,
    /// The first event, read before the response head is sent; not yet forwarded.
    first_event: Option<Bytes>,
}

impl Relay {
    /// Reads the first event and builds the response. Returns the request for another attempt if
    /// the stream failed before the first event.
    pub(super) async fn start(
        exchange: Exchange,
        answer: Answer,
    ) -> Result<Response<Body>, Box<Exchange>> {
        let parts = answer.parts.clone();
        let mut relay = Self {
            last_event_at: exchange.shared.now(),
            exchange,
            source: Some(source(answer)),
            splitter: EventSplitter::default(),
            last_event_id: None,
            first_event: None,
        };
        match relay.step().await {
            Step::Event(event) => relay.record_first_event(event),
            Step::Complete => relay.finish(),
            Step::Failed(outcome, reason) => {
                relay.end_source(outcome, &reason);
                return Err(Box::new(relay.exchange));
            }
            Step::TimedOut => {
                relay.end_source(Outcome::TimedOut, "");
                return Err(Box::new(relay.exchange));
            }
        }
        let events = stream::unfold(relay, |mut relay| async move {
            let event = relay.next().await?;
            Some((event.map(Frame::data), relay))
        });
        Ok(forward_answer(
            parts,
            StreamBody::new(events).boxed_unsync(),
        ))
    }

    fn record_first_event(&mut self, event: Bytes) {
        let now = self.exchange.shared.now();
        let took = now.saturating_sub(self.exchange.admitted.arrived);
        self.exchange.shared.metrics.first_answer("stream", took);
        self.last_event_at = now;
        self.exchange.admitted.departure.record_event(now);
        self.last_event_id = event_id(&event);
        self.first_event = Some(event);
    }

    /// The next event for the caller; `None` after the last one, an error if the stream can't go
    /// on.
    async fn next(&mut self) -> Option<Result<Bytes, Box<dyn Error + Send + Sync>>> {
        if let Some(first) = self.first_event.take() {
            return Some(Ok(first));
        }
        loop {
            self.source.as_ref()?;
            match self.step().await {
                Step::Event(event) => {
                    if self.accept_event(&event) {
                        return Some(Ok(event));
                    }
                }
                Step::Complete => {
                    self.finish();
                    return None;
                }
                Step::TimedOut => {
                    self.end_source(Outcome::TimedOut, "");
                    let reason = "the request's deadline passed during the stream";
                    return Some(Err(self.cut(reason).await));
                }
                Step::Failed(outcome, reason) => {
                    self.end_source(outcome, &reason);
                    if !self.resume().await {
                        return Some(Err(self.cut(&reason).await));
                    }
                }
            }
        }
    }

    /// Records an event and returns whether the caller lacks it; a resumed stream may repeat some.
    fn accept_event(&mut self, event: &Bytes) -> bool {
        let id = event_id(event);
        if id.is_some() && id <= self.last_event_id {
            let upstream = self
                .source
                .as_ref()
                .map_or("", |s| &s.in_flight.upstream.id);
            self.exchange
                .record_dropped_answer(upstream, "an event that was already forwarded");
            return false;
        }
        let now = self.exchange.shared.now();
        let pause = now.saturating_sub(self.last_event_at);
        self.exchange.shared.metrics.event_pause(pause);
        self.last_event_at = now;
        self.exchange.admitted.departure.record_event(now);
        self.last_event_id = id.or(self.last_event_id);
        true
    }

    async fn step(&mut self) -> Step {
        let deadline = self.exchange.deadline;
        loop {
            if let Some(event) = self.splitter.next_event() {
                // Other bytes may get into a stream, such as an answer that is sent once more.
                if !is_event(&event) {
                    return broken("bytes of the stream are no event");
                }
                if let Some(source) = &mut self.source {
                    source.in_flight.record_event();
                }
                return Step::Event(event);
            }
            if self.splitter.is_too_long() {
                return broken("an event of the stream does not end");
            }
            let Some(source) = &mut self.source else {
                return broken("no upstream supplies the stream");
            };
            let (shared, admitted) = (&self.exchange.shared, &self.exchange.admitted);
            let InFlight {
                upstream,
                sent_at,
                events,
                ..
            } = &source.in_flight;
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(deadline, source.body.frame()) => frame,
                outcome = shared.given_up(admitted, &upstream.id, *sent_at, *events > 0) => {
                    return Step::Failed(outcome, given_up_reason(outcome).to_owned());
                }
            };
            let Ok(frame) = frame else {
                return Step::TimedOut;
            };
            match frame {
                Some(Ok(frame)) => {
                    source.in_flight.record_bytes();
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(error)) => return broken(&format!("the stream was interrupted: {error}")),
                None if self.splitter.has_partial() => {
                    return broken("the stream ended within an event");
                }
                None => return Step::Complete,
            }
        }
    }

    /// Resumes the stream at another upstream; false if that is not possible.
    async fn resume(&mut self) -> bool {
        self.splitter.clear();
        let Some(last) = self.last_event_id else {
            return false;
        };
        if self.exchange.admitted.route.kind.class() != WorkClass::Idempotent {
            return false;
        }
        loop {
            match self.exchange.send(Some(last)).await {
                SendResult::Answer(answer) => {
                    if answer.parts.status.is_success() && answer.is_genuine() {
                        self.source = Some(source(*answer));
                        return true;
                    }
                    let outcome = answer.rejection().unwrap_or(Outcome::Failed);
                    self.exchange.end(answer.in_flight, outcome);
                }
                SendResult::Ended => {}
                SendResult::TimedOut | SendResult::Refused(_) => return false,
            }
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let limit = idle_limit(&source.headers);
            let upstream = &source.in_flight.upstream;
            self.exchange
                .shared
                .keep_connection(upstream, source.sender, limit);
            self.exchange.end(source.in_flight, Outcome::Answered);
        }
        self.exchange
            .settle(EventKind::RequestFinished, "answered", "");
    }

    async fn cut(&mut self, reason: &str) -> Box<dyn Error + Send + Sync> {
        self.exchange.settle(EventKind::RequestCut, "cut", reason);
        // An error ends the connection at once, and with it events that were not written yet.
        tokio::task::yield_now().await;
        reason.into()
    }

    fn end_source(&mut self, outcome: Outcome, reason: &str) {
        if let Some(source) = self.source.take() {
            if !reason.is_empty() {
                self.exchange
                    .record_dropped_answer(&source.in_flight.upstream.id, reason);
            }
            self.exchange.end(source.in_flight, outcome);
        }
    }
}

fn broken(reason: &str) -> Step {
    Step::Failed(Outcome::Broken, reason.to_owned())
}

fn source(answer: Answer) -> Source {
    Source {
        body: answer.body,
        headers: answer.parts.headers,
        sender: answer.sender,
        in_flight: answer.in_flight,
    }
}
