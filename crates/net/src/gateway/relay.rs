//! A stream of events on its way to the caller.
//!
//! Whole events are passed on as they come. When an upstream breaks off, the stream goes on at
//! another one after the last event that was passed on, with the first upstream's headers. A
//! stream that can't go on is cut, so that it never looks complete.

use std::error::Error;

use bytes::Bytes;
use eelgrasshold_core::event::EventKind;
use eelgrasshold_core::gateway::Outcome;
use eelgrasshold_core::types::{Now, WorkClass};
use futures::stream;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::exchange::{Answer, Exchange, InFlight, SendResult, forward_answer};
use super::pool::{Sender, idle_limit};
use super::sse::{EventSplitter, event_id};
use crate::http::Body;

/// The upstream that the stream comes from now.
struct Source {
    body: Incoming,
    headers: HeaderMap,
    sender: Sender,
    in_flight: InFlight,
}

/// What comes next in a stream.
enum Step {
    Event(Bytes),
    /// The stream ended as a whole.
    Complete,
    /// The upstream broke off.
    Broken(String),
    TimedOut,
}

/// A stream that is passed on.
pub(super) struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    splitter: EventSplitter,
    /// Id of the last event that was passed on.
    last_event_id: Option<u64>,
    /// When the last event came.
    last_event_at: Now,
    /// The first event, which is read before the caller gets the head.
    first_event: Option<Bytes>,
}

impl Relay {
    /// Reads the first event and makes the response. Gives the request back if the stream broke
    /// off before it.
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
            Step::Broken(reason) => {
                relay.end_source(Outcome::Broken, &reason);
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
        self.last_event_id = event_id(&event);
        self.first_event = Some(event);
    }

    /// The next event for the caller; none after the last one, an error where the stream is cut.
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
                    return Some(Err(self.cut("the time of the request ran out")));
                }
                Step::Broken(reason) => {
                    self.end_source(Outcome::Broken, &reason);
                    if !self.resume().await {
                        return Some(Err(self.cut(&reason)));
                    }
                }
            }
        }
    }

    /// Whether an event is one that the caller lacks.
    fn accept_event(&mut self, event: &Bytes) -> bool {
        let id = event_id(event);
        if id.is_some() && id <= self.last_event_id {
            let upstream = self.source.as_ref().map_or("", |s| &s.in_flight.upstream);
            self.exchange
                .record_dropped_answer(upstream, "an event that the caller has");
            return false;
        }
        let now = self.exchange.shared.now();
        let pause = now.saturating_sub(self.last_event_at);
        self.exchange.shared.metrics.event_pause(pause);
        self.last_event_at = now;
        self.last_event_id = id.or(self.last_event_id);
        true
    }

    async fn step(&mut self) -> Step {
        let deadline = self.exchange.deadline;
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Step::Event(event);
            }
            let Some(source) = &mut self.source else {
                return Step::Broken("there is no upstream".to_owned());
            };
            let Ok(frame) = tokio::time::timeout_at(deadline, source.body.frame()).await else {
                return Step::TimedOut;
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(error)) => return Step::Broken(format!("the stream broke off: {error}")),
                None if self.splitter.has_partial() => {
                    return Step::Broken("the stream ended within an event".to_owned());
                }
                None => return Step::Complete,
            }
        }
    }

    /// Goes on at another upstream; false if that is not possible.
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

    fn cut(&mut self, reason: &str) -> Box<dyn Error + Send + Sync> {
        self.exchange.settle(EventKind::RequestCut, "cut", reason);
        reason.into()
    }

    fn end_source(&mut self, outcome: Outcome, reason: &str) {
        if let Some(source) = self.source.take() {
            if !reason.is_empty() {
                self.exchange
                    .record_dropped_answer(&source.in_flight.upstream, reason);
            }
            self.exchange.end(source.in_flight, outcome);
        }
    }
}

fn source(answer: Answer) -> Source {
    Source {
        body: answer.body,
        headers: answer.parts.headers,
        sender: answer.sender,
        in_flight: answer.in_flight,
    }
}
