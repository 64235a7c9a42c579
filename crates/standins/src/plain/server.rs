//! Builder and control handle of the plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::handler;
use super::state::{Counters, Execution, Failure, Shared};
use crate::server::{BoundServer, Server, StartError};

/// Builder of a [`PlainService`].
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
    /// Sets the delay between the execution of a request and its answer; none by default.
    #[must_use]
    pub fn latency(self, latency: Duration) -> Self {
        Self { latency, ..self }
    }

    /// Sets whether each execution is kept for [`PlainService::executions`]; true by
    /// default. Long load runs turn it off to bound their memory.
    #[must_use]
    pub fn keeps_executions(self, keeps_executions: bool) -> Self {
        Self {
            keeps_executions,
            ..self
        }
    }

    /// Starts the service. Must be called within a tokio runtime.
    ///
    /// # Errors
    /// If no loopback port can be bound.
    pub fn start(self) -> Result<PlainService, StartError> {
        let bound = BoundServer::new()?;
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

/// A running plain service and the control of its faults.
pub struct PlainService {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainService {
    /// Creates a builder with default settings.
    #[must_use]
    pub fn builder() -> PlainBuilder {
        PlainBuilder::default()
    }

    /// Address of the service; it stays the same over kills and restarts.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Numbers of requests since the service was built.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Recorded executions in their order; empty if they are not kept.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().executions.clone()
    }

    /// Number of recorded executions with this idempotency key or request id.
    #[must_use]
    pub fn runs_of(&self, key_or_id: &str) -> usize {
        let state = self.shared.lock();
        let matches = |execution: &&Execution| {
            execution.idempotency_key == key_or_id || execution.request_id == key_or_id
        };
        state.executions.iter().filter(matches).count()
    }

    /// Sets the delay between the execution of a request and its answer.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.lock().faults.latency = latency;
    }

    /// Fails the next `count` requests before they are executed; 0 switches the fault off.
    pub fn fail_before(&self, count: u32, failure: Failure) {
        self.shared.lock().faults.before = (count > 0).then_some((count, failure));
    }

    /// Fails the next `count` requests after they were executed; 0 switches the fault off.
    pub fn fail_after(&self, count: u32, failure: Failure) {
        self.shared.lock().faults.after = (count > 0).then_some((count, failure));
    }

    /// Closes the connection in the middle of the next `count` answers.
    pub fn truncate_answers(&self, count: u32) {
        self.shared.lock().faults.truncated = count;
    }

    /// Answers the next `count` requests with an echo whose request id and body are altered, as if
    /// it belonged to another request.
    pub fn send_mismatched_answers(&self, count: u32) {
        self.shared.lock().faults.mismatched = count;
    }

    /// Closes all connections and refuses new ones; executions and counters are kept.
    pub async fn kill(&self) {
        self.server.control().stop().await;
    }

    /// Starts a killed service again at the same address.
    pub async fn restart(&self) {
        self.server.control().start().await;
    }

    /// Closes all connections and frees the port.
    pub async fn close(self) {
        self.server.close().await;
    }
}
