//! Runs one request from its admission to the end of its answer.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;

use bytes::Bytes;
use eelgrasshold_core::entry::{AttemptEvent, Input};
use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::types::{AttemptId, Refusal, RequestHandle, Run, WorkClass};
use futures::FutureExt;
use futures::future::{BoxFuture, select_all};
use http::Response;
use hyper::body::Frame;
use tokio::sync::oneshot;

use super::attempt::{self, Chunk, Head, Stream};
use super::driver::{Command, EntryDriver};
use super::stored::{Recording, StoredAnswer};
use crate::http::{Body, BodySender, Hold, channel_body, full};
use crate::wire::{CallerRequest, SseEvent, headers, problem_response};

/// An attempt in progress.
enum Progress {
    Pending(BoxFuture<'static, Head>),
    Streaming(Box<Stream>),
}

/// Attempts in progress; more than one only while a hedge runs.
type Attempts = BTreeMap<AttemptId, Progress>;

/// State of the answer to the caller.
enum Caller {
    Waiting(oneshot::Sender<Response<Body>>),
    Streaming(BodySender),
    Gone,
}

/// State of a request that has not ended.
struct RequestTask {
    driver: Arc<EntryDriver>,
    handle: RequestHandle,
    incoming: Arc<CallerRequest>,
    attempts: Attempts,
    caller: Caller,
    /// Index of the next chunk of an answer that is not a draft.
    next_chunk: u32,
    /// Copy of the answer to a non-idempotent request, stored for repeats.
    recording: Option<Recording>,
    ended: bool,
    /// Covers the body in the budget of held bytes.
    _held: Hold,
}

/// Runs a request and answers its caller through `tx`.
pub(super) async fn run(
    driver: Arc<EntryDriver>,
    incoming: CallerRequest,
    held: Hold,
    tx: oneshot::Sender<Response<Body>>,
) {
    let (handle, mut commands) = driver.register();
    let request = incoming.request.clone();
    let mut task = RequestTask {
        driver: Arc::clone(&driver),
        handle,
        incoming: Arc::new(incoming),
        attempts: Attempts::new(),
        caller: Caller::Waiting(tx),
        next_chunk: 0,
        recording: None,
        ended: false,
        _held: held,
    };
    driver.handle_input(Input::Request { handle, request });
    while !task.ended {
        tokio::select! {
            biased;
            Some(command) = commands.recv() => task.handle_command(command).await,
            () = task.caller.disconnected() => task.handle_caller_gone(),
            update = next_update(&mut task.attempts) => task.handle_update(update).await,
        }
    }
    driver.unregister(handle);
}

/// Head or chunk that arrived for one attempt.
enum AttemptUpdate {
    Head(AttemptId, Head),
    Chunk(AttemptId, Chunk),
}

async fn next_update(attempts: &mut Attempts) -> AttemptUpdate {
    if attempts.is_empty() {
        return pending().await;
    }
    let updates = attempts
        .iter_mut()
        .map(|(id, progress)| progress.next_update(*id).boxed());
    select_all(updates).await.0
}

impl Progress {
    async fn next_update(&mut self, attempt: AttemptId) -> AttemptUpdate {
        match self {
            Self::Pending(head) => AttemptUpdate::Head(attempt, head.await),
            Self::Streaming(stream) => AttemptUpdate::Chunk(attempt, stream.next().await),
        }
    }
}

impl Caller {
    async fn disconnected(&mut self) {
        match self {
            Self::Waiting(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Gone => pending().await,
        }
    }
}

impl RequestTask {
    async fn handle_command(&mut self, command: Command) {
        match command {
            Command::Dispatch(dispatch) => {
                let attempt = dispatch.attempt;
                let driver = Arc::clone(&self.driver);
                let incoming = Arc::clone(&self.incoming);
                let head =
                    async move { attempt::send(&driver, &incoming, &dispatch).await }.boxed();
                self.attempts.insert(attempt, Progress::Pending(head));
            }
            Command::Cancel(attempt) => {
                self.attempts.remove(&attempt);
            }
            Command::Refuse(refusal) => self.refuse(&refusal).await,
            Command::Replay(answer) => self.replay(answer),
            Command::Finish => {
                self.ended = true;
                if let Some(recording) = self.recording.take() {
                    self.driver.stored_answers().store(self.handle, recording);
                }
            }
        }
    }

    async fn handle_update(&mut self, update: AttemptUpdate) {
        match update {
            AttemptUpdate::Head(attempt, head) => self.handle_head(attempt, head),
            AttemptUpdate::Chunk(attempt, chunk) => self.handle_chunk(attempt, chunk).await,
        }
    }

    fn handle_head(&mut self, attempt: AttemptId, head: Head) {
        self.attempts.remove(&attempt);
        match head {
            Head::Answer(stream) if !self.can_use(&stream) => {
                let detail = format!("it can't resume the draft: status {}", stream.parts.status);
                let event = Event::new(EventKind::AnswerDropped, &detail);
                self.driver
                    .record(event.about_request(self.incoming.request.id.clone()));
                self.report(attempt, AttemptEvent::Failed(Run::Unknown));
            }
            Head::Answer(stream) => {
                self.report(attempt, AttemptEvent::Accepted(stream.load));
                if let Caller::Waiting(_) = self.caller {
                    self.begin_answer(&stream);
                }
                self.attempts.insert(attempt, Progress::Streaming(stream));
            }
            Head::Bounced(reason, load) => {
                self.report(attempt, AttemptEvent::Bounced(reason, load));
            }
            Head::Failed(event) => self.report(attempt, event),
        }
    }

    /// Whether an answer can go to the caller. After the head of a draft, only another draft can: the
    /// body of an error would stand in the middle of the tokens.
    fn can_use(&self, stream: &Stream) -> bool {
        stream.is_draft || matches!(self.caller, Caller::Waiting(_))
    }

    fn begin_answer(&mut self, stream: &Stream) {
        let mut response = Response::new(());
        *response.status_mut() = stream.parts.status;
        let fields = response.headers_mut();
        *fields = stream.parts.headers.clone();
        headers::remove_hop_by_hop(fields);
        for name in [headers::LOAD, headers::CLOCK] {
            fields.remove(name);
        }
        fields.insert(
            headers::REQUEST_ID,
            headers::value(&self.incoming.request.id),
        );
        if self.incoming.request.class == WorkClass::NonIdempotent {
            let recording = Recording::new(response.status(), response.headers().clone());
            self.recording = Some(recording);
        }
        let (tx, body) = channel_body();
        let caller = std::mem::replace(&mut self.caller, Caller::Streaming(tx));
        if let Caller::Waiting(head) = caller
            && head.send(response.map(|()| body)).is_err()
        {
            self.handle_caller_gone();
        }
    }

    async fn handle_chunk(&mut self, attempt: AttemptId, chunk: Chunk) {
        match chunk {
            Chunk::Event(event) => self.handle_event(attempt, event).await,
            Chunk::Bytes(bytes) => {
                let index = self.next_chunk;
                self.next_chunk += 1;
                if self.driver.report_chunk(attempt, index, 1).is_some() {
                    self.forward(bytes).await;
                }
            }
            Chunk::End(load) => {
                self.attempts.remove(&attempt);
                self.report(attempt, AttemptEvent::Finished(load));
            }
            Chunk::Broken(event) => self.handle_broken(attempt, event).await,
        }
    }

    async fn handle_event(&mut self, attempt: AttemptId, event: SseEvent) {
        let Some(id) = event.id else {
            if event.done {
                self.forward(event.raw).await;
            }
            return;
        };
        if self.driver.report_chunk(attempt, id, 1) == Some(0) {
            self.forward(event.raw).await;
        }
    }

    async fn handle_broken(&mut self, attempt: AttemptId, event: AttemptEvent) {
        let progress = self.attempts.remove(&attempt);
        let is_draft = matches!(progress, Some(Progress::Streaming(s)) if s.is_draft);
        if is_draft {
            self.report(attempt, event);
            return;
        }
        // Chunks of a plain answer have no index at which a second attempt could resume.
        self.driver.handle_input(Input::CallerGone(self.handle));
        self.cut("the upstream's answer ended before it was complete")
            .await;
    }

    /// Sends the stored answer of the first request with the same idempotency key.
    fn replay(&mut self, answer: StoredAnswer) {
        self.ended = true;
        let mut response = Response::new(full(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let id = headers::value(&self.incoming.request.id);
        response.headers_mut().insert(headers::REQUEST_ID, id);
        if let Caller::Waiting(tx) = std::mem::replace(&mut self.caller, Caller::Gone) {
            // The send fails if the caller disconnected at the same time.
            let _ = tx.send(response);
        }
    }

    async fn forward(&mut self, bytes: Bytes) {
        if let Some(recording) = &mut self.recording {
            recording.push(&bytes);
        }
        let Caller::Streaming(tx) = &self.caller else {
            return;
        };
        let deadline = tokio::time::sleep(self.incoming.request.deadline);
        let sent = tokio::select! {
            sent = tx.send(Ok(Frame::data(bytes))) => sent.is_ok(),
            // By then the refusal for the missed deadline is in the command queue.
            () = deadline => true,
        };
        if !sent {
            self.handle_caller_gone();
        }
    }

    fn handle_caller_gone(&mut self) {
        self.driver.handle_input(Input::CallerGone(self.handle));
        self.caller = Caller::Gone;
        self.ended = true;
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        self.ended = true;
        match std::mem::replace(&mut self.caller, Caller::Gone) {
            Caller::Waiting(tx) => {
                let response = problem_response(refusal, &self.incoming.request.id);
                // The send fails if the caller disconnected at the same time.
                let _ = tx.send(response.map(full));
            }
            streaming => {
                self.caller = streaming;
                self.cut(&refusal.detail).await;
            }
        }
    }

    /// Ends a started answer with an error, so that the caller detects the truncation.
    async fn cut(&mut self, reason: &str) {
        self.ended = true;
        let event = Event::new(EventKind::RequestCut, reason);
        self.driver
            .record(event.about_request(self.incoming.request.id.clone()));
        if let Caller::Streaming(tx) = &self.caller {
            let _ = tx.send(Err(reason.into())).await;
        }
    }

    fn report(&self, attempt: AttemptId, event: AttemptEvent) {
        self.driver.handle_input(Input::Attempt(attempt, event));
    }
}
