//! Runs the entry host's state machine with its clock, its timers and its open requests.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};

use eelgrasshold_core::config::Config;
use eelgrasshold_core::entry::{AttemptEvent, Entry, Input, Output, Timer, UpstreamInfo};
use eelgrasshold_core::event::{Event, Stamp};
use eelgrasshold_core::held::DEFAULT_CAPACITY_BYTES;
use eelgrasshold_core::types::{AttemptId, Refusal, RequestHandle};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::{mpsc, watch};

use super::attempt;
use super::serve;
use super::stored::{StoredAnswer, StoredAnswers};
use crate::http::HeldBytes;
use crate::http::{Body, Client};
use crate::runtime::{Clock, Timeline, Timers};

/// Decision of the state machine for one request.
#[derive(Debug)]
pub(super) enum Command {
    Dispatch(Dispatch),
    Cancel(AttemptId),
    Refuse(Refusal),
    Replay(StoredAnswer),
    Finish,
}

/// An attempt to send to an upstream process.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamInfo,
    pub(super) resume_from: u32,
    /// Time of the decision, so that a pause of this process before the send counts as age.
    pub(super) clock: Stamp,
    pub(super) alone: bool,
}

/// Functions of the process that the driver calls.
pub struct Callbacks {
    /// Returns the JSON body for `GET /v1/entry-hosts`.
    pub entry_hosts: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Executes outputs that concern other processes or the platform.
    pub other_output: Box<dyn Fn(Output) + Send + Sync>,
}

impl fmt::Debug for Callbacks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Callbacks").finish_non_exhaustive()
    }
}

/// Runs the state machine of one entry host and executes its outputs.
#[derive(Debug)]
pub struct EntryDriver {
    machine: Mutex<Entry>,
    clock: Clock,
    timers: Timers<Timer>,
    timeline: Arc<Timeline>,
    cfg: RwLock<Option<Arc<Config>>>,
    callbacks: Callbacks,
    client: Client,
    /// Handed to spawned tasks that report to the machine.
    weak_self: Weak<Self>,
    requests: Mutex<BTreeMap<RequestHandle, mpsc::UnboundedSender<Command>>>,
    attempts: Mutex<BTreeMap<AttemptId, RequestHandle>>,
    next_handle: AtomicU64,
    stored_answers: StoredAnswers,
    drained: watch::Sender<bool>,
    /// Memory for request bodies.
    held: HeldBytes,
}

impl EntryDriver {
    /// Memory for request bodies.
    pub(super) fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Creates a driver without a configuration; requests are refused until [`Self::set_config`].
    #[must_use]
    pub fn new(
        machine: Entry,
        clock: Clock,
        timeline: Arc<Timeline>,
        callbacks: Callbacks,
        client: Client,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            weak_self: this.clone(),
            machine: Mutex::new(machine),
            clock,
            timers: Timers::new(),
            timeline,
            cfg: RwLock::new(None),
            callbacks,
            client,
            requests: Mutex::new(BTreeMap::new()),
            attempts: Mutex::new(BTreeMap::new()),
            next_handle: AtomicU64::new(1),
            stored_answers: StoredAnswers::default(),
            held: HeldBytes::new(DEFAULT_CAPACITY_BYTES),
            drained: watch::Sender::new(false),
        })
    }

    /// Passes due timers to the machine; never returns.
    pub async fn run_timers(self: Arc<Self>) {
        self.timers
            .run(self.clock, |timer| self.handle_input(Input::Timer(timer)))
            .await;
    }

    /// Serves one caller's request.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        serve::serve(self, request).await
    }

    /// Replaces the configuration in force, in the driver and in the machine.
    pub fn set_config(&self, cfg: Arc<Config>) {
        *self.cfg.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&cfg));
        self.handle_input(Input::Config(cfg));
    }

    /// Returns the configuration in force; `None` before the first one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.cfg
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Begins a graceful shutdown; [`Self::drained`] returns when it is complete.
    pub fn drain(&self) {
        self.handle_input(Input::Drain);
    }

    /// Waits until all requests have ended after [`Self::drain`].
    pub async fn drained(&self) {
        let mut rx = self.drained.subscribe();
        // The sender lives as long as the driver.
        let _ = rx.wait_for(|drained| *drained).await;
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.lock_machine().open_requests()
    }

    /// Passes an input to the machine and executes its outputs.
    pub fn handle_input(&self, input: Input) {
        if let Input::Attempt(attempt, event) = &input
            && event.is_last()
        {
            self.lock_attempts().remove(attempt);
        }
        // Outputs are executed under the lock, so that commands keep the machine's order.
        let mut machine = self.lock_machine();
        for output in machine.handle(self.clock.now(), input) {
            self.execute(output);
        }
    }

    /// Reports a chunk to the machine; returns how many of its first tokens to skip, or `None` to
    /// drop it.
    pub(super) fn report_chunk(&self, attempt: AttemptId, first: u32, count: u32) -> Option<u32> {
        let input = Input::Attempt(attempt, AttemptEvent::Chunk { first, count });
        let mut machine = self.lock_machine();
        let mut forward = None;
        for output in machine.handle(self.clock.now(), input) {
            if let Output::Forward { skip, .. } = output {
                forward = Some(skip);
            } else {
                self.execute(output);
            }
        }
        forward
    }

    pub(super) fn register(&self) -> (RequestHandle, mpsc::UnboundedReceiver<Command>) {
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        self.lock_requests().insert(handle, tx);
        (handle, rx)
    }

    pub(super) fn unregister(&self, handle: RequestHandle) {
        self.lock_requests().remove(&handle);
    }

    pub(super) fn stored_answers(&self) -> &StoredAnswers {
        &self.stored_answers
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    pub(super) fn entry_hosts(&self) -> Vec<u8> {
        (self.callbacks.entry_hosts)()
    }

    pub(super) fn record(&self, event: Event) {
        self.timeline.record(event);
    }

    pub(super) fn observe(&self, stamp: Stamp) {
        self.timeline.observe(stamp);
    }

    fn execute(&self, output: Output) {
        match output {
            Output::Dispatch {
                handle,
                attempt,
                upstream,
                resume_from,
                alone,
            } => {
                self.lock_attempts().insert(attempt, handle);
                let dispatch = Dispatch {
                    attempt,
                    upstream,
                    resume_from,
                    clock: self.timeline.stamp(),
                    alone,
                };
                self.send_command(handle, Command::Dispatch(dispatch));
            }
            Output::Probe(upstream) => self.probe(upstream),
            Output::Cancel(attempt) => self.cancel(attempt),
            Output::Refuse { handle, refusal } => {
                self.send_command(handle, Command::Refuse(refusal));
            }
            Output::Replay {
                handle,
                original,
                fallback,
            } => {
                let stored = self.stored_answers.get(original);
                self.send_command(
                    handle,
                    stored.map_or(Command::Refuse(fallback), Command::Replay),
                );
            }
            Output::Finish { handle } => self.send_command(handle, Command::Finish),
            Output::SetTimer { at, timer } => self.timers.set(at, timer),
            Output::Event(event) => self.timeline.record(event),
            Output::Drained => {
                self.drained.send_replace(true);
            }
            other => (self.callbacks.other_output)(other),
        }
    }

    fn probe(&self, upstream: UpstreamInfo) {
        let (client, this) = (self.client.clone(), self.weak_self.clone());
        tokio::spawn(async move {
            let up = attempt::probe(&client, &upstream).await;
            if let Some(driver) = this.upgrade() {
                let host = upstream.host;
                driver.handle_input(Input::Probed { host, up });
            }
        });
    }

    fn cancel(&self, attempt: AttemptId) {
        let handle = self.lock_attempts().remove(&attempt);
        if let Some(handle) = handle {
            self.send_command(handle, Command::Cancel(attempt));
        }
    }

    fn send_command(&self, handle: RequestHandle, command: Command) {
        if let Some(tx) = self.lock_requests().get(&handle) {
            // The send fails if the caller disconnected at the same time.
            let _ = tx.send(command);
        }
    }

    fn lock_machine(&self) -> MutexGuard<'_, Entry> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_attempts(&self) -> MutexGuard<'_, BTreeMap<AttemptId, RequestHandle>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_requests(
        &self,
    ) -> MutexGuard<'_, BTreeMap<RequestHandle, mpsc::UnboundedSender<Command>>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
