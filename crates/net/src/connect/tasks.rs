//! A bounded number of connections, of which the oldest makes room for a new one.

use std::collections::VecDeque;

use tokio::task::AbortHandle;

/// Tasks that each serve one connection. They end when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionTasks {
    most: usize,
    /// The oldest first.
    tasks: VecDeque<AbortHandle>,
}

impl ConnectionTasks {
    /// Creates an empty set of at most `most` tasks, at least 1.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            tasks: VecDeque::new(),
        }
    }

    /// Serves a connection. If there are too many, the oldest is closed: a connection that sends nothing
    /// then does not keep others out.
    pub(crate) fn spawn(&mut self, serve: impl Future<Output = ()> + Send + 'static) {
        self.tasks.retain(|task| !task.is_finished());
        if self.tasks.len() >= self.most
            && let Some(oldest) = self.tasks.pop_front()
        {
            oldest.abort();
        }
        self.tasks.push_back(tokio::spawn(serve).abort_handle());
    }
}

impl Drop for ConnectionTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
