//! Runs the upstream's state machine with its clock, its timers and the work in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrasshold_core::event::Stamp;
use eelgrasshold_core::held::DEFAULT_CAPACITY_BYTES;
use eelgrasshold_core::serving::queue::Policy;
use eelgrasshold_core::types::{AttemptId, Incarnation, Load, Run};
use eelgrasshold_core::upstream::{Bounce, Input, Output, Timer, Upstream};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::{mpsc, watch};

use super::engine::Engine;
use super::work;
use crate::http::Body;
use crate::http::HeldBytes;
use crate::runtime::{Clock, Timeline, Timers};

/// Interval of connection attempts to an engine that is down.
const ENGINE_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Decision of the state machine for one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Command {
    Start { priority: u8 },
    Bounce { reason: Bounce, load: Load },
    Fail { run: Run },
    Stop,
}

/// Runs the state machine of one upstream and executes its outputs.
#[derive(Debug)]
pub struct UpstreamDriver {
    machine: Mutex<Upstream>,
    clock: Clock,
    timers: Timers<Timer>,
    timeline: Arc<Timeline>,
    incarnation: AtomicU64,
    engine: Engine,
    attempts: Mutex<BTreeMap<AttemptId, mpsc::UnboundedSender<Command>>>,
    probing: AtomicBool,
    drained: watch::Sender<bool>,
    /// Memory for the bodies of dispatches.
    held: HeldBytes,
}

impl UpstreamDriver {
    /// Memory for the bodies of dispatches.
    pub(super) fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Creates a driver; dispatches must name `incarnation`.
    #[must_use]
    pub fn new(
        machine: Upstream,
        engine: Engine,
        incarnation: Incarnation,
        timeline: Arc<Timeline>,
    ) -> Arc<Self> {
        Arc::new(Self {
            machine: Mutex::new(machine),
            clock: Clock::start(),
            timers: Timers::new(),
            timeline,
            incarnation: AtomicU64::new(incarnation),
            engine,
            attempts: Mutex::new(BTreeMap::new()),
            probing: AtomicBool::new(false),
            drained: watch::Sender::new(false),
            held: HeldBytes::new(DEFAULT_CAPACITY_BYTES),
        })
    }

    /// Passes due timers to the machine; never returns.
    pub async fn run_timers(self: Arc<Self>) {
        self.timers
            .run(self.clock, |timer| self.handle_input(Input::Timer(timer)))
            .await;
    }

    /// Serves one dispatch or probe of an entry host.
    pub async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        work::serve(self, request).await
    }

    /// Replaces the queueing policy of the service.
    pub fn set_policy(&self, policy: Policy) {
        self.handle_input(Input::Policy(policy));
    }

    /// Begins a graceful shutdown; [`Self::drained`] returns when it is complete.
    pub fn leave(&self) {
        self.handle_input(Input::Leave);
    }

    /// Waits until all work has ended after [`Self::leave`].
    pub async fn drained(&self) {
        let mut rx = self.drained.subscribe();
        // The sender lives as long as the driver.
        let _ = rx.wait_for(|drained| *drained).await;
    }

    /// Current load, as reported to entry hosts with each answer.
    #[must_use]
    pub fn load(&self) -> Load {
        self.lock_machine().load()
    }

    pub(super) fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Continues under a higher incarnation; dispatches for an earlier one are returned as stale.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Incarnation that dispatches must name; those that name another are returned as stale.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Relaxed)
    }

    pub(super) fn stamp(&self) -> Stamp {
        self.timeline.stamp()
    }

    pub(super) fn observe(&self, stamp: Stamp) -> Duration {
        self.timeline.observe(stamp)
    }

    pub(super) fn register(&self, attempt: AttemptId) -> mpsc::UnboundedReceiver<Command> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.lock_attempts().insert(attempt, tx);
        rx
    }

    pub(super) fn unregister(&self, attempt: AttemptId) {
        self.lock_attempts().remove(&attempt);
    }

    pub(super) fn takes_work(&self) -> bool {
        self.lock_machine().takes_work()
    }

    /// Returns whether the engine is down; if so, probes it until it accepts connections again.
    pub(super) async fn check_engine(self: &Arc<Self>) -> bool {
        if self.engine.is_up().await {
            return false;
        }
        if self.probing.swap(true, Ordering::Relaxed) {
            return true;
        }
        self.handle_input(Input::EngineDown);
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(ENGINE_PROBE_INTERVAL).await;
                if driver.engine.is_up().await {
                    driver.probing.store(false, Ordering::Relaxed);
                    driver.handle_input(Input::EngineUp);
                    return;
                }
            }
        });
        true
    }

    pub(super) fn handle_input(&self, input: Input) {
        // Outputs are executed under the lock, so that commands keep the machine's order.
        let mut machine = self.lock_machine();
        for output in machine.handle(self.clock.now(), input) {
            self.execute(output);
        }
    }

    fn execute(&self, output: Output) {
        match output {
            Output::Start { attempt, priority } => {
                self.send_command(attempt, Command::Start { priority });
            }
            Output::Reprioritize { attempt, priority } => {
                let engine = self.engine.clone();
                tokio::spawn(async move {
                    engine
                        .set_priority(&Engine::draft_id(attempt), priority)
                        .await;
                });
            }
            Output::Stop(attempt) => self.send_command(attempt, Command::Stop),
            Output::Bounce {
                attempt,
                reason,
                load,
            } => {
                self.send_command(attempt, Command::Bounce { reason, load });
            }
            Output::Fail { attempt, run } => self.send_command(attempt, Command::Fail { run }),
            Output::SetTimer { at, timer } => self.timers.set(at, timer),
            Output::Event(event) => self.timeline.record(event),
            Output::Drained => {
                self.drained.send_replace(true);
            }
        }
    }

    fn send_command(&self, attempt: AttemptId, command: Command) {
        if let Some(tx) = self.lock_attempts().get(&attempt) {
            // The send fails if the entry host closed the stream at the same time.
            let _ = tx.send(command);
        }
    }

    fn lock_machine(&self) -> MutexGuard<'_, Upstream> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_attempts(&self) -> MutexGuard<'_, BTreeMap<AttemptId, mpsc::UnboundedSender<Command>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
