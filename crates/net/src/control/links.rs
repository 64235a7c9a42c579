//! Outgoing links, opened on first use and closed when idle.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::client::Config;
use tarpc::context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::io::CountingStream;
use super::{ControlClient, Message, Traffic};
use crate::tls::{Identity, client_stream};

/// Capacity of the queue of one link; messages that exceed it are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Limits the TCP connect and the TLS handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline for the peer to acknowledge a message.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without messages after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// All outgoing links of a process, one per control address.
#[derive(Debug)]
pub struct Links {
    queues: Mutex<BTreeMap<String, mpsc::Sender<Message>>>,
    traffic: Arc<Traffic>,
    identity: Option<Identity>,
}

impl Links {
    /// Creates an empty set of links. With an identity, links use mutual TLS.
    #[must_use]
    pub fn new(traffic: Arc<Traffic>, identity: Option<Identity>) -> Arc<Self> {
        Arc::new(Self {
            queues: Mutex::new(BTreeMap::new()),
            traffic,
            identity,
        })
    }

    /// Queues a message for the control address `IP:PORT` and opens a link if there is none. The
    /// message is lost if the queue is full or the link fails.
    pub fn send(self: &Arc<Self>, address: &str, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let unsent = match queues.get(address) {
            None => message,
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    log::debug!("dropped a message: the queue of the link to {address} is full");
                    return;
                }
                Err(TrySendError::Closed(message)) => message,
            },
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        // This can't fail: the queue is empty.
        let _ = tx.try_send(unsent);
        queues.insert(address.to_owned(), tx);
        let links = Arc::clone(self);
        let address = address.to_owned();
        tokio::spawn(async move { links.run(address, rx).await });
    }

    /// Whether the link to an address is open or being opened.
    #[must_use]
    pub fn is_open(&self, address: &str) -> bool {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.get(address).is_some_and(|queue| !queue.is_closed())
    }

    /// Waits until the link to an address is closed; returns at once if there is none.
    pub async fn closed(&self, address: &str) {
        let queue = {
            let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
            queues.get(address).cloned()
        };
        if let Some(queue) = queue {
            queue.closed().await;
        }
    }

    async fn run(self: Arc<Self>, address: String, mut queue: mpsc::Receiver<Message>) {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(&address));
        let client = match connect.await {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => {
                log::debug!("can't open a link to {address}: {error}");
                return;
            }
            Err(_) => return,
        };
        loop {
            let message = match tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(_) => {
                    queue.close();
                    // Delivers the messages queued between the timeout and the close.
                    while let Some(message) = queue.recv().await {
                        let _ = client.deliver(delivery_context(), message).await;
                    }
                    return;
                }
            };
            if let Err(error) = client.deliver(delivery_context(), message).await {
                log::debug!("the link to {address} failed: {error}");
                return;
            }
        }
    }

    async fn connect(&self, address: &str) -> std::io::Result<ControlClient> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = CountingStream::new(stream, Arc::clone(&self.traffic));
        let stream = client_stream(self.identity.as_ref(), address, stream).await?;
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Ok(ControlClient::new(Config::default(), transport).spawn())
    }
}

fn delivery_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVERY_TIMEOUT;
    context
}
