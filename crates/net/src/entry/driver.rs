//! The state machine with its clock, its timers and the requests it holds.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};

use eelgrasshold_core::config::Config;
use eelgrasshold_core::entry::{AttemptEvent, Entry, Input, Output, Timer, UpstreamInfo};
use eelgrasshold_core::event::{Event, Stamp};
use eelgrasshold_core::types::{AttemptId, Refusal, RequestHandle};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::{mpsc, watch};

use super::attempt;
use super::kept::{KeptAnswer, KeptAnswers};
use super::serve;
use crate::http::{Body, Client};
use crate::runtime::{Clock, Timeline, Timers};

/// What the machine decided about one request.
#[derive(Debug)]
pub(super) enum Command {
    Dispatch(Dispatch),
    Cancel(AttemptId),
    Refuse(Refusal),
    Replay(KeptAnswer),
    Finish,
}

/// An attempt to be sent.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) attempt: AttemptId,
    pub(super) upstream: UpstreamInfo,
    pub(super) resume_from: u32,
    /// Time of the decision: a process that pauses before the send must not look recent.
    pub(super) clock: Stamp,
    pub(super) alone: bool,
}

/// What the driver asks of the rest of the process.
pub struct Callbacks {
    /// Answers `GET /v1/entry-hosts`, as JSON.
    pub entry_hosts: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Carries out outputs that concern other processes or the platform.
    pub other: Box<dyn Fn(Output) + Send + Sync>,
}

impl fmt::Debug for Callbacks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Callbacks").finish_non_exhaustive()
    }
}

/// Drives the machine of one entry host.
#[derive(Debug)]
pub struct EntryDriver {
    machine: Mutex<Entry>,
    clock: Clock,
    timers: Timers<Timer>,
    timeline: Arc<Timeline>,
    cfg: RwLock<Option<Arc<Config>>>,
    callbacks: Callbacks,
    client: Client,
    /// For tasks that report to the machine.
    this: Weak<Self>,
    requests: Mutex<BTreeMap<RequestHandle, mpsc::UnboundedSender<Command>>>,
    attempts: Mutex<BTreeMap<AttemptId, RequestHandle>>,
    next_handle: AtomicU64,
    kept: KeptAnswers,
    drained: watch::Sender<bool>,
}

impl EntryDriver {
    /// A driver around a machine.
    #[must_use]
    pub fn new(
        machine: Entry,
        clock: Clock,
        timeline: Arc<Timeline>,
        callbacks: Callbacks,
        client: Client,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this| Self {
            this: this.clone(),
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
            kept: KeptAnswers::default(),
            drained: watch::Sender::new(false),
        })
    }

    /// Fires the machine's timers; never returns.
    pub async fn run_timers(self: Arc<Self>) {
        self.timers
            .run(self.clock, |timer| self.feed(Input::Timer(timer)))
            .await;
    }

    /// Answers a caller.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        serve::serve(self, request).await
    }

    /// Puts a configuration into force.
    pub fn set_config(&self, cfg: Arc<Config>) {
        *self.cfg.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&cfg));
        self.feed(Input::Config(cfg));
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.cfg
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Begins a graceful shutdown; [`Self::drained`] tells when it is over.
    pub fn drain(&self) {
        self.feed(Input::Drain);
    }

    /// Waits until all requests have ended after [`Self::drain`].
    pub async fn drained(&self) {
        let mut seen = self.drained.subscribe();
        // The sender lives as long as the driver.
        let _ = seen.wait_for(|drained| *drained).await;
    }

    /// Requests that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock_machine().open_requests()
    }

    /// Gives the machine an input and carries out what it decides.
    pub fn feed(&self, input: Input) {
        if let Input::Attempt(attempt, event) = &input
            && event.is_last()
        {
            self.lock_attempts().remove(attempt);
        }
        // Outputs are carried out under the lock, so that commands keep the machine's order.
        let mut machine = self.lock_machine();
        for output in machine.handle(self.clock.now(), input) {
            self.act(output);
        }
    }

    /// Reports a chunk; returns how many of its first tokens to skip, or `None` to drop it.
    pub(super) fn feed_chunk(&self, attempt: AttemptId, first: u32, count: u32) -> Option<u32> {
        let input = Input::Attempt(attempt, AttemptEvent::Chunk { first, count });
        let mut machine = self.lock_machine();
        let mut forward = None;
        for output in machine.handle(self.clock.now(), input) {
            if let Output::Forward { skip, .. } = output {
                forward = Some(skip);
            } else {
                self.act(output);
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

    pub(super) fn forget(&self, handle: RequestHandle) {
        self.lock_requests().remove(&handle);
    }

    pub(super) fn kept(&self) -> &KeptAnswers {
        &self.kept
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

    fn act(&self, output: Output) {
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
                self.command(handle, Command::Dispatch(dispatch));
            }
            Output::Probe(upstream) => self.probe(upstream),
            Output::Cancel(attempt) => self.cancel(attempt),
            Output::Refuse { handle, refusal } => self.command(handle, Command::Refuse(refusal)),
            Output::Replay {
                handle,
                original,
                fallback,
            } => {
                let kept = self.kept.get(original);
                self.command(
                    handle,
                    kept.map_or(Command::Refuse(fallback), Command::Replay),
                );
            }
            Output::Finish { handle } => self.command(handle, Command::Finish),
            Output::SetTimer { at, timer } => self.timers.set(at, timer),
            Output::Event(event) => self.timeline.record(event),
            Output::Drained => {
                self.drained.send_replace(true);
            }
            other => (self.callbacks.other)(other),
        }
    }

    fn probe(&self, upstream: UpstreamInfo) {
        let (client, this) = (self.client.clone(), self.this.clone());
        tokio::spawn(async move {
            let up = attempt::probe(&client, &upstream).await;
            if let Some(driver) = this.upgrade() {
                let host = upstream.host;
                driver.feed(Input::Probed { host, up });
            }
        });
    }

    fn cancel(&self, attempt: AttemptId) {
        let handle = self.lock_attempts().remove(&attempt);
        if let Some(handle) = handle {
            self.command(handle, Command::Cancel(attempt));
        }
    }

    fn command(&self, handle: RequestHandle, command: Command) {
        if let Some(tx) = self.lock_requests().get(&handle) {
            // The receiver is gone when its caller went away at the same time.
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
