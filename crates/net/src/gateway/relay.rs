//! A stream of events on its way to the caller.
//!
//! Whole events are passed on as they come. When an upstream breaks off, the stream goes on at
//! another one after the last event that was passed on, with the first upstream's headers. A
//! stream that can't go on is cut, so that it never looks complete.

use std::sync::Arc;

use bytes::Bytes;
use eelgrasshold_core::gateway::Outcome;
use eelgrasshold_core::types::WorkClass;
use eelgrasshold_platform::headers as names;
use futures::stream;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::forward::{Answer, Exchange, InFlight, Sent, pass_on, rejection};
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
    Broken,
    TimedOut,
}

/// A stream that is passed on.
pub(super) struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    splitter: EventSplitter,
    /// Id of the last event that was passed on, or that the caller had before.
    last: Option<u64>,
    /// The first event, which is read before the caller gets the head.
    first: Option<Bytes>,
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
            exchange,
            source: Some(source(answer)),
            splitter: EventSplitter::default(),
            last: None,
            first: None,
        };
        match relay.step().await {
            Step::Event(event) => relay.first = Some(event),
            Step::Complete => relay.finish(),
            Step::Broken => {
                relay.end_source(Outcome::Broken);
                return Err(Box::new(relay.exchange));
            }
            Step::TimedOut => {
                relay.end_source(Outcome::GivenUp);
                return Err(Box::new(relay.exchange));
            }
        }
        let events = stream::unfold(relay, |mut relay| async move {
            let event = relay.next().await?;
            Some((event.map(Frame::data), relay))
        });
        Ok(pass_on(parts, StreamBody::new(events).boxed_unsync()))
    }

    /// The next event for the caller; none after the last one, an error where the stream is cut.
    async fn next(&mut self) -> Option<Result<Bytes, Box<dyn std::error::Error + Send + Sync>>> {
        if let Some(first) = self.first.take() {
            self.last = event_id(&first).or(self.last);
            return Some(Ok(first));
        }
        loop {
            self.source.as_ref()?;
            match self.step().await {
                Step::Event(event) => {
                    let id = event_id(&event);
                    if id.is_some() && id <= self.last {
                        log::info!("an event that the caller has was dropped");
                        continue;
                    }
                    self.last = id.or(self.last);
                    return Some(Ok(event));
                }
                Step::Complete => {
                    self.finish();
                    return None;
                }
                Step::TimedOut => {
                    self.end_source(Outcome::GivenUp);
                    return Some(Err("the time of the request ran out".into()));
                }
                Step::Broken => {
                    self.end_source(Outcome::Broken);
                    if !self.resume().await {
                        return Some(Err("the stream broke off and can't go on".into()));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let ends = self.exchange.ends;
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Step::Event(event);
            }
            let Some(source) = &mut self.source else {
                return Step::Broken;
            };
            let Ok(frame) = tokio::time::timeout_at(ends, source.body.frame()).await else {
                return Step::TimedOut;
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(error)) => {
                    log::info!("a stream broke off: {error}");
                    return Step::Broken;
                }
                None if self.splitter.has_partial() => return Step::Broken,
                None => return Step::Complete,
            }
        }
    }

    /// Goes on at another upstream; false if that is not possible.
    async fn resume(&mut self) -> bool {
        self.splitter.clear();
        let Some(last) = self.last else {
            return false;
        };
        if self.exchange.admitted.route.kind.class() != WorkClass::Idempotent {
            return false;
        }
        loop {
            match self.exchange.send(Some(last)).await {
                Sent::Answer(answer) => {
                    let genuine = answer.parts.headers.contains_key(names::DIGEST);
                    if answer.parts.status.is_success() && genuine {
                        self.source = Some(source(*answer));
                        return true;
                    }
                    let rejection = rejection(&answer.parts, &answer.address);
                    let outcome = rejection.unwrap_or(Outcome::Failed);
                    self.exchange.end(answer.in_flight, outcome);
                }
                Sent::Ended => {}
                Sent::TimedOut | Sent::Refused(_) => return false,
            }
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            let shared = Arc::clone(&self.exchange.shared);
            let limit = idle_limit(&source.headers);
            let upstream = source.in_flight.upstream.clone();
            shared
                .pool
                .keep(shared.now(), &upstream, source.sender, limit);
            self.exchange.end(source.in_flight, Outcome::Answered);
        }
    }

    fn end_source(&mut self, outcome: Outcome) {
        if let Some(source) = self.source.take() {
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
