//! Builder and handle of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::state::Shared;
use super::{Counters, FencedOrder, Loaded, RankState, Run, handler, steps};
use crate::model::Spec;
use crate::server::{BoundServer, Server, StartError};

/// What the builder sets.
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

/// Settings of an engine.
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
    /// Sizes and speeds. The size of the prefix cache is set by [`Self::cache_blocks`].
    #[must_use]
    pub fn spec(mut self, spec: Spec) -> Self {
        self.settings.spec = spec;
        self
    }

    /// Blocks of prompts that the prefix cache holds; 512 by default.
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

    /// Whether orders with an old fencing number are refused; true by default.
    #[must_use]
    pub fn honours_fencing(mut self, honours: bool) -> Self {
        self.settings.honours_fencing = honours;
        self
    }

    /// Time between the arrival of an order and its effect; none by default.
    #[must_use]
    pub fn order_time(mut self, time: Duration) -> Self {
        self.settings.order_time = time;
        self
    }

    /// Time after which cache events are published; 1 s by default.
    #[must_use]
    pub fn event_lag(mut self, lag: Duration) -> Self {
        self.settings.event_lag = lag;
        self
    }

    /// Loses each cache event whose number is a multiple of `every`; 0, the default, loses none.
    #[must_use]
    pub fn event_gap_every(mut self, every: u64) -> Self {
        self.settings.event_gap_every = every;
        self
    }

    /// Starts the engine. It must be called inside a tokio runtime.
    ///
    /// # Errors
    /// No port on loopback could be bound.
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

/// A running engine.
pub struct ModelEngine {
    shared: Arc<Shared>,
    server: Server,
    steps: JoinHandle<()>,
}

impl ModelEngine {
    /// A builder with default settings.
    #[must_use]
    pub fn builder() -> EngineBuilder {
        EngineBuilder::default()
    }

    /// Address of the engine.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Completions that were taken, the oldest first; the latest 16,384 are kept.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.iter().cloned().collect()
    }

    /// Request ids in the order in which their last tokens were produced; the latest 16,384 are kept.
    #[must_use]
    pub fn finished(&self) -> Vec<String> {
        self.shared.lock().finished.iter().cloned().collect()
    }

    /// Completions that are in the engine now.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.lock().jobs.len()
    }

    /// Models, adapters and role as orders left them.
    #[must_use]
    pub fn loaded(&self) -> Loaded {
        self.shared.lock().orders.loaded.clone()
    }

    /// Expert map and switch of the rank.
    #[must_use]
    pub fn rank(&self) -> RankState {
        self.shared.lock().orders.rank.clone()
    }

    /// Orders that were carried out, the oldest first; the latest 16,384 are kept.
    #[must_use]
    pub fn orders(&self) -> Vec<FencedOrder> {
        self.shared.lock().order_log.iter().cloned().collect()
    }

    /// Stops or resumes the steps. A stalled engine accepts requests and produces nothing.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.lock().faults.stalled = stalled;
        self.shared.changed.notify_waiters();
    }

    /// Makes each step take `factor` times its time; 1 is normal.
    pub fn slow_down(&self, factor: f64) {
        self.shared.lock().model.slow_down(factor);
    }

    /// Cuts the connections of the next `count` completions, each after so many tokens (at least 1).
    pub fn cut_streams(&self, count: u32, after_tokens: u32) {
        let faults = &mut self.shared.lock().faults;
        faults.cuts = count;
        faults.cut_after = after_tokens.max(1);
    }

    /// Answers the next `count` completions with another request's id and answer.
    pub fn cross_answers(&self, count: u32) {
        self.shared.lock().faults.crossed = count;
    }

    /// Kills the engine: closes all connections, refuses new ones and loses all memory.
    pub async fn kill(&self) {
        self.die();
        self.server.control().stop().await;
        // Requests that came in before the connections were closed die as well.
        self.die();
    }

    /// Starts a killed engine under the same address.
    pub async fn restart(&self) {
        self.shared.lock().down_until = Duration::ZERO;
        self.server.control().start().await;
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    fn die(&self) {
        let mut state = self.shared.lock();
        state.die(Duration::MAX, &self.shared.settings);
    }

    /// Ends the engine.
    pub async fn close(self) {
        self.server.close().await;
        self.steps.abort();
        // The only error is the cancellation asked for.
        let _ = self.steps.await;
    }
}
