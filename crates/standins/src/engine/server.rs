//! Builder and handle of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::state::Shared;
use super::{Counters, FencedOrder, Loaded, RankState, Run, handler, steps};
use crate::model::Spec;
use crate::server::{BoundServer, Server, StartError};

#[derive(Clone, Debug)]
pub(super) struct Settings {
    pub(super) spec: Spec,
    pub(super) cache_blocks: usize,
    pub(super) crash_downtime: Duration,
    pub(super) honours_fencing: bool,
    pub(super) order_time: Duration,
    pub(super) event_lag: Duration,
    pub(super) event_gap_every: u64,
}

/// Configures and starts a [`ModelEngine`].
#[derive(Clone, Debug)]
pub struct EngineBuilder {
    settings: Settings,
}

impl Default for EngineBuilder {
    fn default() -> Self {
        Self {
            settings: Settings {
                spec: Spec::default(),
                cache_blocks: 512,
                crash_downtime: Duration::from_secs(2),
                honours_fencing: true,
                order_time: Duration::ZERO,
                event_lag: Duration::from_secs(1),
                event_gap_every: 0,
            },
        }
    }
}

impl EngineBuilder {
    /// Timing and batch size. The size of the prefix cache is set by [`Self::cache_blocks`].
    #[must_use]
    pub fn spec(mut self, spec: Spec) -> Self {
        self.settings.spec = spec;
        self
    }

    /// Capacity of the prefix cache, in prompt blocks; 512 by default.
    #[must_use]
    pub fn cache_blocks(mut self, cache_blocks: usize) -> Self {
        self.settings.cache_blocks = cache_blocks;
        self
    }

    /// Time for which a crashed engine refuses connections; 2 s by default.
    #[must_use]
    pub fn crash_downtime(mut self, downtime: Duration) -> Self {
        self.settings.crash_downtime = downtime;
        self
    }

    /// Whether orders below the highest accepted fencing number are refused; true by default.
    #[must_use]
    pub fn honours_fencing(mut self, honours: bool) -> Self {
        self.settings.honours_fencing = honours;
        self
    }

    /// Delay between the arrival of an order and its execution; zero by default.
    #[must_use]
    pub fn order_time(mut self, time: Duration) -> Self {
        self.settings.order_time = time;
        self
    }

    /// Delay before a cache event is published; 1 s by default.
    #[must_use]
    pub fn event_lag(mut self, lag: Duration) -> Self {
        self.settings.event_lag = lag;
        self
    }

    /// Drops cache events whose sequence number is a multiple of `every`; 0, the default, drops
    /// none.
    #[must_use]
    pub fn event_gap_every(mut self, every: u64) -> Self {
        self.settings.event_gap_every = every;
        self
    }

    /// Binds a port on loopback and starts the engine. Must be called inside a tokio runtime.
    ///
    /// # Errors
    /// Returns an error if no port on loopback can be bound.
    pub fn start(self) -> Result<ModelEngine, StartError> {
        let bound = BoundServer::new()?;
        let shared = Shared::new(self.settings, bound.control());
        let server = bound.serve(handler::new(&shared));
        let steps = tokio::spawn(steps::run(shared.clone()));
        Ok(ModelEngine {
            shared,
            server,
            steps,
        })
    }
}

/// Handle of a running engine.
pub struct ModelEngine {
    shared: Arc<Shared>,
    server: Server,
    steps: JoinHandle<()>,
}

impl ModelEngine {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> EngineBuilder {
        EngineBuilder::default()
    }

    /// Address of the HTTP server; it stays the same after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters since the start; a crash or kill doesn't reset them.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// The latest 16,384 accepted completions, the oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.iter().cloned().collect()
    }

    /// Request ids of the latest 16,384 finished completions, in the order in which they finished.
    #[must_use]
    pub fn finished(&self) -> Vec<String> {
        self.shared.lock().finished.iter().cloned().collect()
    }

    /// Number of running and waiting completions.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.lock().jobs.len()
    }

    /// Loaded models and adapters, and the current role.
    #[must_use]
    pub fn loaded(&self) -> Loaded {
        self.shared.lock().orders.loaded.clone()
    }

    /// Expert map, pending switch and weights of the rank.
    #[must_use]
    pub fn rank(&self) -> RankState {
        self.shared.lock().orders.rank.clone()
    }

    /// The latest 16,384 executed orders, the oldest first. Orders refused by fencing are not
    /// included.
    #[must_use]
    pub fn orders(&self) -> Vec<FencedOrder> {
        self.shared.lock().order_log.iter().cloned().collect()
    }

    /// Stops or resumes the steps. A stalled engine accepts requests and produces no tokens.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.lock().faults.stalled = stalled;
        self.shared.changed.notify_waiters();
    }

    /// Multiplies the duration of each step by `factor`; 1 is normal speed.
    pub fn slow_down(&self, factor: f64) {
        self.shared.lock().model.slow_down(factor);
    }

    /// Cuts the connections of the next `count` completions, each after `after_tokens` tokens (at
    /// least 1).
    pub fn cut_streams(&self, count: u32, after_tokens: u32) {
        let faults = &mut self.shared.lock().faults;
        faults.cuts = count;
        faults.cut_after = after_tokens.max(1);
    }

    /// Answers the next `count` completions with the id and tokens of another request.
    pub fn send_mismatched_answers(&self, count: u32) {
        self.shared.lock().faults.mismatched = count;
    }

    /// Kills the engine: closes all connections, refuses new ones and discards jobs, caches and
    /// orders.
    pub async fn kill(&self) {
        self.reset_state();
        self.server.control().stop().await;
        // Also discards requests that arrived before the connections were closed.
        self.reset_state();
    }

    /// Starts a killed engine on the same address.
    pub async fn restart(&self) {
        self.shared.lock().down_until = Duration::ZERO;
        self.server.control().start().await;
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    fn reset_state(&self) {
        let mut state = self.shared.lock();
        state.reset_after_crash(Duration::MAX, &self.shared.settings);
    }

    /// Stops the server and the task that runs the steps.
    pub async fn close(self) {
        self.server.close().await;
        self.steps.abort();
        // The only possible error is the cancellation requested above.
        let _ = self.steps.await;
    }
}
