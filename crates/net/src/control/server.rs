//! Listener for incoming links.

use std::fmt;
use std::future::ready;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use super::io::CountingStream;
use super::{Control, Message, Traffic};
use crate::tls::{Identity, server_stream};

/// Limit of open links; the fleet size expected in two years needs fewer than 1,000.
const MAX_LINKS: usize = 2_048;

type Deliver = Arc<dyn Fn(Message) + Send + Sync>;

#[derive(Clone)]
struct Receiver {
    deliver: Deliver,
}

impl Control for Receiver {
    async fn deliver(self, _: Context, message: Message) {
        (self.deliver)(message);
        ready(()).await;
    }
}

/// Server for the links of other daemons, with a limit on the number of open ones.
pub struct ControlServer {
    listener: TcpListener,
    traffic: Arc<Traffic>,
    identity: Option<Identity>,
    deliver: Deliver,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlServer")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

impl ControlServer {
    /// Creates a server that passes each message to `deliver`. With an identity, links must use
    /// mutual TLS.
    #[must_use]
    pub fn new(
        listener: TcpListener,
        traffic: Arc<Traffic>,
        identity: Option<Identity>,
        deliver: impl Fn(Message) + Send + Sync + 'static,
    ) -> Self {
        Self {
            listener,
            traffic,
            identity,
            deliver: Arc::new(deliver),
        }
    }

    /// Accepts links until `shutdown` is cancelled, then closes all of them.
    pub async fn run(self, shutdown: CancellationToken) {
        let slots = Arc::new(Semaphore::new(MAX_LINKS));
        let server = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = server.listener.accept() => accepted,
                () = shutdown.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                log::warn!("refused a link: {MAX_LINKS} links are open already");
                continue;
            };
            let (server, shutdown) = (Arc::clone(&server), shutdown.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = server.serve(stream) => {}
                    () = shutdown.cancelled() => {}
                }
                drop(slot);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("can't set TCP_NODELAY on a link: {error}");
        }
        let stream = CountingStream::new(stream, Arc::clone(&self.traffic));
        let stream = match server_stream(self.identity.as_ref(), stream).await {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!("refused a link: {error}");
                return;
            }
        };
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let receiver = Receiver {
            deliver: Arc::clone(&self.deliver),
        };
        BaseChannel::with_defaults(transport)
            .execute(receiver.serve())
            .for_each(|handled| handled)
            .await;
    }
}
