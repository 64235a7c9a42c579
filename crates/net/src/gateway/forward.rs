//! One request: reading it, sending it to upstreams, and what its caller gets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_core::gateway::placing::Work;
use eelgrasshold_core::gateway::registry::{Upstream, UpstreamId};
use eelgrasshold_core::gateway::{Admitted, Next, Outcome, RequestHead};
use eelgrasshold_core::types::{Refusal, RefusalKind, WorkClass};
use eelgrasshold_platform::headers as names;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::pool::{Sender, idle_limit};
use super::relay::Relay;
use super::shared::Shared;
use crate::http::{Body, BodyError, collect, full};
use crate::wire::headers::{parsed, remove_hop_by_hop, text, value};
use crate::wire::problem_response;

/// Largest plain answer, in bytes; it is held whole so that a broken one can be asked for again.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Largest body of a request while no configuration says otherwise, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Longest time that a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a caller's request.
pub(super) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let guard = Held::new(&shared);
    let (parts, body) = request.into_parts();
    let id = text(&parts.headers, &names::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let limit = shared
        .core()
        .table()
        .map_or(MAX_BODY_BYTES, |t| t.limits.body_bytes);
    let arrived = shared.now();
    let admitted = {
        let head = head_of(&parts.uri, &parts.headers, &id);
        shared.core().admit(arrived, head)
    };
    // The body is read also for a refusal, so that the connection can be used again.
    let body = match collect(body, limit, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return refuse(&body_refusal(&error), &id),
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(&refusal, &id),
    };
    let exchange = Exchange {
        ends: shared.clock.instant(admitted.ends),
        shared,
        admitted,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        _held: guard,
    };
    exchange.run().await
}

fn body_refusal(error: &BodyError) -> Refusal {
    let kind = match error {
        BodyError::TooLarge { .. } => RefusalKind::TooLarge,
        BodyError::TooSlow { .. } => RefusalKind::TooSlow,
        BodyError::Broken => RefusalKind::BadRequest,
    };
    Refusal::not_run(kind, error.to_string())
}

fn head_of<'a>(uri: &'a Uri, headers: &'a HeaderMap, id: &'a str) -> RequestHead<'a> {
    let host = uri.authority().map(http::uri::Authority::as_str);
    let tokens = text(headers, &names::TOKENS).and_then(|t| t.split_once(','));
    let number = |text: &str| text.trim().parse::<u32>().ok();
    let hint = text(headers, &names::LENGTH_HINT).and_then(number);
    let most = tokens.and_then(|(_, most)| number(most));
    RequestHead {
        id,
        host: host
            .or_else(|| text(headers, &header::HOST))
            .unwrap_or_default(),
        path: uri.path(),
        key: text(headers, &names::API_KEY),
        deadline: parsed::<u64>(headers, &names::DEADLINE_MS)
            .ok()
            .flatten()
            .map(Duration::from_millis),
        prompt_tokens: tokens
            .and_then(|(prompt, _)| number(prompt))
            .unwrap_or_default(),
        answer_tokens: hint.or(most).unwrap_or_default(),
    }
}

fn refuse(refusal: &Refusal, id: &str) -> Response<Body> {
    let mut response = problem_response(refusal, id).map(full);
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, value(id));
    if let Some(after) = refusal.retry_after {
        // Callers of this platform honour fractions of a second.
        let seconds = format!("{:.3}", after.as_secs_f64());
        headers.insert(header::RETRY_AFTER, value(&seconds));
    }
    response
}

/// Counts a request that is being served, until it is dropped.
struct Held(Arc<Shared>);

impl Held {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.held.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.0.held.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.ended.notify_waiters();
        }
    }
}

/// An attempt in flight; dropped without an end, it counts as given up.
pub(super) struct InFlight {
    shared: Arc<Shared>,
    pub(super) upstream: UpstreamId,
    work: Work,
    ended: bool,
}

impl InFlight {
    pub(super) fn end(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if !self.ended {
            self.ended = true;
            let now = self.shared.now();
            self.shared
                .core()
                .ended(now, &self.upstream, self.work, outcome);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.report(Outcome::GivenUp);
    }
}

/// What an upstream answered.
pub(super) struct Answer {
    /// Address of the upstream.
    pub(super) address: SocketAddr,
    pub(super) parts: response::Parts,
    pub(super) body: Incoming,
    pub(super) sender: Sender,
    pub(super) in_flight: InFlight,
}

/// How one send went.
pub(super) enum Sent {
    /// An answer to this request began.
    Answer(Box<Answer>),
    /// It ended without one.
    Ended,
    /// The time ran out.
    TimedOut,
    /// It is given up before being sent.
    Refused(Refusal),
}

/// A request with all that is needed to send it.
pub(super) struct Exchange {
    pub(super) shared: Arc<Shared>,
    pub(super) admitted: Admitted,
    /// When the caller or the route stops waiting.
    pub(super) ends: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    _held: Held,
}

impl Exchange {
    async fn run(mut self) -> Response<Body> {
        // A failure that an upstream answered with goes to the caller if nothing better comes.
        let mut failure: Option<Response<Body>> = None;
        loop {
            let refusal = match self.send(None).await {
                Sent::Refused(refusal) => refusal,
                Sent::TimedOut => timed_out(),
                Sent::Ended => continue,
                Sent::Answer(answer) => match self.take(*answer).await {
                    Taken::Response(response) => return response,
                    Taken::Relay(answer) => match Relay::start(self, *answer).await {
                        Ok(response) => return response,
                        Err(exchange) => {
                            self = *exchange;
                            continue;
                        }
                    },
                    Taken::Failure(response) => {
                        failure = Some(response);
                        continue;
                    }
                    Taken::Ended => continue,
                    Taken::TimedOut => timed_out(),
                },
            };
            return failure.unwrap_or_else(|| refuse(&refusal, &self.admitted.id));
        }
    }

    /// Sends the request to the next upstream. `resume_after` is the id of the last event that
    /// the caller has of a stream that broke off.
    pub(super) async fn send(&mut self, resume_after: Option<u64>) -> Sent {
        let now = self.shared.now();
        let next = self.shared.core().next(now, &mut self.admitted);
        let upstream = match next {
            Next::Send(upstream) => upstream,
            Next::Refuse(refusal) => return Sent::Refused(refusal),
        };
        let in_flight = InFlight {
            shared: Arc::clone(&self.shared),
            upstream: upstream.id.clone(),
            work: self.admitted.work,
            ended: false,
        };
        let sending = self.exchange(&upstream, resume_after);
        let (outcome, answer) = match tokio::time::timeout_at(self.ends, sending).await {
            Ok(Ok(answer)) => (None, Some(answer)),
            Ok(Err(outcome)) => (Some(outcome), None),
            Err(_) => (None, None),
        };
        match (outcome, answer) {
            (_, Some((parts, body, sender))) => Sent::Answer(Box::new(Answer {
                address: upstream.address,
                parts,
                body,
                sender,
                in_flight,
            })),
            (Some(outcome), None) => {
                self.end(in_flight, outcome);
                Sent::Ended
            }
            (None, None) => {
                self.end(in_flight, Outcome::GivenUp);
                Sent::TimedOut
            }
        }
    }

    pub(super) fn end(&mut self, in_flight: InFlight, outcome: Outcome) {
        self.admitted.note(&in_flight.upstream, outcome);
        in_flight.end(outcome);
    }

    async fn exchange(
        &self,
        upstream: &Upstream,
        resume_after: Option<u64>,
    ) -> Result<(response::Parts, Incoming, Sender), Outcome> {
        let connection = self.shared.pool.get(self.shared.now(), upstream).await;
        let mut sender = connection.map_err(|error| {
            log::info!("upstream {} can't be reached: {error}", upstream.id);
            Outcome::Unreachable
        })?;
        let request = self.request(upstream, resume_after).map_err(|error| {
            log::warn!("a request can't be written: {error}");
            Outcome::Unreachable
        })?;
        let answer = sender
            .try_send_request(request)
            .await
            .map_err(|mut failed| {
                // The request comes back if none of it was written.
                let unsent = failed.take_message().is_some();
                log::info!(
                    "upstream {} did not answer: {}",
                    upstream.id,
                    failed.error()
                );
                if unsent {
                    Outcome::Unreachable
                } else {
                    Outcome::Broken
                }
            })?;
        let (parts, body) = answer.into_parts();
        let echoed = text(&parts.headers, &names::REQUEST_ID);
        if echoed != Some(self.admitted.id.as_str()) {
            log::info!(
                "upstream {} sent the answer to another request",
                upstream.id
            );
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
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        for name in &names::NOT_PASSED_ON {
            headers.remove(name);
        }
        if let Some(host) = self.uri.authority() {
            headers.insert(header::HOST, value(host.as_str()));
        }
        let left = self.ends.saturating_duration_since(Instant::now());
        headers.insert(names::DEADLINE_MS, left.as_millis().to_string().try_into()?);
        headers.insert(names::EXPECT_UPSTREAM, upstream.id.as_str().try_into()?);
        let priority = self.admitted.priority.min(names::LAST_PRIORITY);
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

    /// Judges an answer by its head and, unless it is a stream, by its whole body.
    async fn take(&mut self, answer: Answer) -> Taken {
        let status = answer.parts.status;
        let rejection = rejection(&answer.parts, &answer.address);
        let genuine = answer.parts.headers.contains_key(names::DIGEST)
            && !answer.parts.headers.contains_key(header::CONTENT_ENCODING);
        if status.is_success() && !genuine {
            log::info!(
                "upstream {} sent a success without a digest",
                answer.in_flight.upstream
            );
            self.end(answer.in_flight, Outcome::Broken);
            return Taken::Ended;
        }
        if status.is_success() && self.admitted.route.kind.is_stream() {
            return Taken::Relay(Box::new(answer));
        }
        let Answer {
            parts,
            body,
            sender,
            in_flight,
            ..
        } = answer;
        let collecting = collect(body, MAX_ANSWER_BYTES, BODY_TIMEOUT);
        let body = match tokio::time::timeout_at(self.ends, collecting).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                log::info!("the answer of {} broke off: {error}", in_flight.upstream);
                self.end(in_flight, rejection.unwrap_or(Outcome::Broken));
                return Taken::Ended;
            }
            Err(_) => {
                self.end(in_flight, Outcome::GivenUp);
                return Taken::TimedOut;
            }
        };
        let now = self.shared.now();
        let limit = idle_limit(&parts.headers);
        self.shared
            .pool
            .keep(now, &in_flight.upstream, sender, limit);
        if let Some(rejection) = rejection {
            self.end(in_flight, rejection);
            return Taken::Ended;
        }
        let outcome = if status.is_server_error() {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        self.end(in_flight, outcome);
        let response = pass_on(parts, full(body));
        if outcome == Outcome::Failed && self.admitted.route.kind.class() == WorkClass::Idempotent {
            return Taken::Failure(response);
        }
        Taken::Response(response)
    }
}

/// How an upstream refused a request unrun, if it did.
pub(super) fn rejection(parts: &response::Parts, upstream: &SocketAddr) -> Option<Outcome> {
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Outcome::Misdirected);
    }
    if !parts.headers.contains_key(names::NOT_RUN) {
        return None;
    }
    let at_fault = parsed::<SocketAddr>(&parts.headers, &names::AT_FAULT);
    let other = matches!(at_fault, Ok(Some(at_fault)) if at_fault != *upstream);
    Some(if other {
        Outcome::Stalled
    } else {
        Outcome::Full
    })
}

/// What became of an answer.
enum Taken {
    /// It goes to the caller.
    Response(Response<Body>),
    /// It is a stream that goes to the caller as it comes.
    Relay(Box<Answer>),
    /// It is a failure that another upstream may better.
    Failure(Response<Body>),
    /// It was no answer.
    Ended,
    TimedOut,
}

fn timed_out() -> Refusal {
    let detail = "the upstream did not answer before the deadline";
    Refusal::unknown(RefusalKind::DeadlineExceeded, detail)
}

/// An upstream's answer for the caller.
pub(super) fn pass_on(parts: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(parts, body);
    let promises_not_run = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    let headers = response.headers_mut();
    remove_hop_by_hop(headers);
    headers.remove(header::CONTENT_LENGTH);
    if promises_not_run {
        // The upstream did not say that it left the request unrun, and its digest goes with its
        // own status only.
        headers.remove(names::DIGEST);
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    *response.version_mut() = http::Version::HTTP_11;
    response
}
