//! Builder and handle of the plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::handler;
use super::state::{Counters, Execution, Failure, Shared};
use crate::server::{Bound, Server, StartError};

/// Settings of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainBuilder {
    latency: Duration,
    keeps_executions: bool,
}

impl Default for PlainBuilder {
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            keeps_executions: true,
        }
    }
}

impl PlainBuilder {
    /// Time between the run and the answer; none by default.
    #[must_use]
    pub fn latency(self, latency: Duration) -> Self {
        Self { latency, ..self }
    }

    /// Whether each run is kept for [`PlainService::executions`]; true by
    /// default. Long load runs turn it off to bound their memory.
    #[must_use]
    pub fn keeps_executions(self, keeps_executions: bool) -> Self {
        Self {
            keeps_executions,
            ..self
        }
    }

    /// Starts the service. It must be called inside a tokio runtime.
    ///
    /// # Errors
    /// No port on loopback could be bound.
    pub fn start(self) -> Result<PlainService, StartError> {
        let bound = Bound::new()?;
        let shared = Arc::new(Shared::default());
        {
            let mut state = shared.lock();
            state.faults.latency = self.latency;
            state.keeps_executions = self.keeps_executions;
        }
        let server = bound.serve(handler::new(&shared));
        Ok(PlainService { shared, server })
    }
}

/// A running plain service.
pub struct PlainService {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainService {
    /// A builder with default settings.
    #[must_use]
    pub fn builder() -> PlainBuilder {
        PlainBuilder::default()
    }

    /// Address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Runs in their order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.clone()
    }

    /// How often a request ran, found by its idempotency key or its request id.
    #[must_use]
    pub fn runs_of(&self, key_or_id: &str) -> usize {
        let state = self.shared.lock();
        let same =
            |run: &&Execution| run.idempotency_key == key_or_id || run.request_id == key_or_id;
        state.executions.iter().filter(same).count()
    }

    /// Sets the time between the run and the answer.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.lock().faults.latency = latency;
    }

    /// Fails the next `count` requests before they run.
    pub fn fail_before(&self, count: u32, failure: Failure) {
        self.shared.lock().faults.before = (count > 0).then_some((count, failure));
    }

    /// Fails the next `count` requests after they ran.
    pub fn fail_after(&self, count: u32, failure: Failure) {
        self.shared.lock().faults.after = (count > 0).then_some((count, failure));
    }

    /// Breaks off the next `count` answers in the middle.
    pub fn truncate_answers(&self, count: u32) {
        self.shared.lock().faults.truncated = count;
    }

    /// Answers the next `count` requests with another request's echo.
    pub fn send_mismatched_answers(&self, count: u32) {
        self.shared.lock().faults.mismatched = count;
    }

    /// Closes all connections and refuses new ones.
    pub async fn kill(&self) {
        self.server.control().stop().await;
    }

    /// Starts a killed service under the same address.
    pub async fn restart(&self) {
        self.server.control().start().await;
    }

    /// Ends the service.
    pub async fn close(self) {
        self.server.close().await;
    }
}
