//! Connections of a server, which are closed together.

use hyper::rt::Executor;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Handler;

/// Set of open connections that [`Self::close`] ends together.
pub(crate) struct Connections {
    handler: Handler,
    tasks: Tasks,
}

impl Connections {
    pub(crate) fn new(handler: Handler) -> Self {
        let tasks = Tasks {
            token: CancellationToken::new(),
            tracker: TaskTracker::new(),
        };
        Self { handler, tasks }
    }

    /// Serves a connection in a task of its own.
    pub(crate) fn serve(&self, stream: TcpStream) {
        // Without TCP_NODELAY, small writes wait for acknowledgements. A failure to set it costs
        // only latency.
        let _ = stream.set_nodelay(true);
        let handler = self.handler.clone();
        let mut builder = auto::Builder::new(self.tasks.clone());
        builder.http1().timer(TokioTimer::new());
        builder.http2().timer(TokioTimer::new());
        self.tasks.execute(async move {
            let service = hyper::service::service_fn(move |req| handler(req));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
    }

    /// Drops all connections and running requests, and waits until their tasks have ended.
    pub(crate) async fn close(self) {
        self.tasks.token.cancel();
        self.tasks.tracker.close();
        self.tasks.tracker.wait().await;
    }
}

/// Executor whose tasks are dropped when the token is cancelled.
#[derive(Clone)]
struct Tasks {
    token: CancellationToken,
    tracker: TaskTracker,
}

impl<F> Executor<F> for Tasks
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, future: F) {
        let token = self.token.clone();
        self.tracker
            .spawn(async move { token.run_until_cancelled(future).await.map(|_| ()) });
    }
}
