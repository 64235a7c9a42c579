//! Outgoing links, opened when first used and closed when idle.

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

/// Messages that wait for one peer; more are dropped.
const QUEUE_MESSAGES: usize = 256;
/// Longest time to open a link.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time until a peer has taken a message.
const DELIVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Links without messages are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// All outgoing links of a process.
#[derive(Debug)]
pub struct Links {
    queues: Mutex<BTreeMap<String, mpsc::Sender<Message>>>,
    traffic: Arc<Traffic>,
    identity: Option<Identity>,
}

impl Links {
    /// No links yet. With an identity, links use mutual TLS.
    #[must_use]
    pub fn new(traffic: Arc<Traffic>, identity: Option<Identity>) -> Arc<Self> {
        Arc::new(Self {
            queues: Mutex::new(BTreeMap::new()),
            traffic,
            identity,
        })
    }

    /// Sends a message to the control address `IP:PORT`; it may be lost.
    pub fn send(self: &Arc<Self>, address: &str, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let unsent = match queues.get(address) {
            None => message,
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    log::debug!("the link to {address} is full; a message was dropped");
                    return;
                }
                Err(TrySendError::Closed(message)) => message,
            },
        };
        let (tx, rx) = mpsc::channel(QUEUE_MESSAGES);
        // A new queue has room.
        let _ = tx.try_send(unsent);
        queues.insert(address.to_owned(), tx);
        let links = Arc::clone(self);
        let address = address.to_owned();
        tokio::spawn(async move { links.run(address, rx).await });
    }

    /// Whether there is a link, or one is being opened.
    #[must_use]
    pub fn is_open(&self, address: &str) -> bool {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.get(address).is_some_and(|queue| !queue.is_closed())
    }

    /// Waits until the link to an address is closed.
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
                    // What was sent between the timeout and the close still goes out.
                    while let Some(message) = queue.recv().await {
                        let _ = client.deliver(deadline(), message).await;
                    }
                    return;
                }
            };
            if let Err(error) = client.deliver(deadline(), message).await {
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

fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVER_TIMEOUT;
    context
}
