//! Runs a fleet state machine with its timers, links and platform client.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use eelgrasshold_core::fleet::{FleetMessage, Input, Output, Timer};
use eelgrasshold_core::types::Now;
use tokio_util::sync::CancellationToken;

use crate::control::{Links, Message};
use crate::platform::Platform;
use crate::runtime::{Clock, Timeline, Timers};

type HandleFn<M> = fn(&mut M, Now, Input) -> Vec<Output>;
type OnOutput<M> = Box<dyn Fn(&M, Output) + Send + Sync>;

/// Driver of the fleet state machine of an entry host or an upstream process.
pub(super) struct FleetDriver<M> {
    machine: Mutex<M>,
    handle: HandleFn<M>,
    on_output: OnOutput<M>,
    clock: Clock,
    timers: Timers<Timer>,
    timeline: Arc<Timeline>,
    links: Arc<Links>,
    platform: Platform,
}

impl<M> fmt::Debug for FleetDriver<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetDriver").finish_non_exhaustive()
    }
}

impl<M: Send + 'static> FleetDriver<M> {
    /// Creates a driver of `machine`, whose inputs go through `handle`. `on_output` executes the
    /// outputs that concern the rest of the process; it runs under the machine's lock.
    pub(super) fn new(
        machine: M,
        handle: HandleFn<M>,
        base: &super::base::Base,
        on_output: OnOutput<M>,
    ) -> Arc<Self> {
        Arc::new(Self {
            machine: Mutex::new(machine),
            handle,
            on_output,
            clock: base.clock,
            timers: Timers::new(),
            timeline: Arc::clone(&base.timeline),
            links: Arc::clone(&base.links),
            platform: base.platform.clone(),
        })
    }

    /// Starts the machine and passes due timers to it until `shutdown` is cancelled.
    pub(super) async fn run(self: Arc<Self>, shutdown: CancellationToken) {
        self.handle_input(Input::Start);
        tokio::select! {
            () = self.timers.run(self.clock, |timer| self.handle_input(Input::Timer(timer))) => {}
            () = shutdown.cancelled() => {}
        }
    }

    pub(super) fn receive(self: &Arc<Self>, message: FleetMessage) {
        self.timeline.observe(message.clock);
        self.handle_input(Input::Message(message));
    }

    /// Calls `read` with the machine, under its lock.
    pub(super) fn read<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Passes an input to the machine. Outputs are executed under its lock, so that an older
    /// configuration or list can't overtake a newer one.
    pub(super) fn handle_input(self: &Arc<Self>, input: Input) {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        for output in (self.handle)(&mut machine, self.clock.now(), input) {
            match output {
                Output::Send {
                    to_address,
                    mut message,
                } => {
                    message.clock = self.timeline.stamp();
                    self.links.send(&to_address, Message::Fleet(message));
                }
                Output::Platform { id, call } => {
                    let driver = Arc::clone(self);
                    tokio::spawn(async move {
                        let reply = driver.platform.call(&call).await;
                        driver.handle_input(Input::Reply { id, reply });
                    });
                }
                Output::SetTimer { at, timer } => self.timers.set(at, timer),
                Output::Event(event) => self.timeline.record(event),
                other => (self.on_output)(&machine, other),
            }
        }
    }
}
