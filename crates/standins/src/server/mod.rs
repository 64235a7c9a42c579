//! HTTP server under each stand-in: loopback, ephemeral port, HTTP/1.1 and HTTP/2.
//!
//! A stopped server refuses connections and keeps its port, so that it can
//! come back under the same address as a restarted process does.

mod connection;

#[cfg(test)]
mod tests;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

pub(crate) use connection::Connections;

use crate::http_util::HandlerFuture;

/// Answers one request.
pub(crate) type Handler = Arc<dyn Fn(Request<Incoming>) -> HandlerFuture + Send + Sync>;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A stand-in could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// No port on loopback could be bound.
    #[snafu(display("can't listen on loopback: {source}"))]
    Listen {
        /// Cause.
        source: std::io::Error,
    },
}

enum Command {
    Stop(oneshot::Sender<()>),
    Start(oneshot::Sender<()>),
    Crash { down: Duration },
    Close,
}

/// Sends commands to a server without owning it.
#[derive(Clone)]
pub(crate) struct Control {
    tx: mpsc::UnboundedSender<Command>,
}

impl Control {
    /// Closes all connections and refuses new ones. Returns when that is done.
    pub(crate) async fn stop(&self) {
        self.send(Command::Stop).await;
    }

    /// Accepts connections again. Returns when that is done.
    pub(crate) async fn start(&self) {
        self.send(Command::Start).await;
    }

    /// Stops the server and starts it after `down`. Returns at once.
    pub(crate) fn crash(&self, down: Duration) {
        // A closed server has nothing left to crash.
        let _ = self.tx.send(Command::Crash { down });
    }

    async fn send(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(command(tx)).is_ok() {
            // An error means that the server closed meanwhile, which also stops it.
            let _ = rx.await;
        }
    }
}

/// A server whose port is bound and whose handler is still to be made.
pub(crate) struct Bound {
    address: SocketAddr,
    reservation: TcpSocket,
    listener: TcpListener,
    control: Control,
    rx: mpsc::UnboundedReceiver<Command>,
}

impl Bound {
    /// Binds an ephemeral port on loopback.
    pub(crate) fn new() -> Result<Self, StartError> {
        let reservation = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = reservation.local_addr().context(ListenSnafu)?;
        let listener = listen(address)?;
        let (tx, rx) = mpsc::unbounded_channel();
        Ok(Self {
            address,
            reservation,
            listener,
            control: Control { tx },
            rx,
        })
    }

    pub(crate) fn control(&self) -> Control {
        self.control.clone()
    }

    /// Serves the port with a handler.
    pub(crate) fn serve(self, handler: Handler) -> Server {
        let runner = Runner {
            address: self.address,
            reservation: self.reservation,
            handler,
            rx: self.rx,
        };
        Server {
            address: self.address,
            control: self.control,
            task: tokio::spawn(runner.run(self.listener)),
        }
    }
}

/// A running server.
pub(crate) struct Server {
    address: SocketAddr,
    control: Control,
    task: JoinHandle<()>,
}

impl Server {
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    /// Closes all connections and frees the port.
    pub(crate) async fn close(self) {
        // The task ends by itself only through this command.
        let _ = self.control.tx.send(Command::Close);
        let _ = self.task.await;
    }
}

fn bind(address: SocketAddr) -> Result<TcpSocket, StartError> {
    let socket = TcpSocket::new_v4().context(ListenSnafu)?;
    socket.set_reuseaddr(true).context(ListenSnafu)?;
    socket.bind(address).context(ListenSnafu)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address)?.listen(BACKLOG).context(ListenSnafu)
}

/// What the accept loop does next.
enum Next {
    Down(Option<Duration>),
    Close,
}

struct Runner {
    address: SocketAddr,
    /// Bound but not listening: keeps the port from being given to others while stopped.
    reservation: TcpSocket,
    handler: Handler,
    rx: mpsc::UnboundedReceiver<Command>,
}

impl Runner {
    async fn run(mut self, first: TcpListener) {
        let mut listener = first;
        loop {
            let connections = Connections::new(self.handler.clone());
            let (next, ack) = accept(&mut self.rx, &listener, &connections).await;
            drop(listener);
            connections.close().await;
            acknowledge(ack);
            let Next::Down(down) = next else { break };
            match self.wait_for_start(down).await {
                Some(next) => listener = next,
                None => break,
            }
        }
        drop(self.reservation);
    }

    /// Waits while stopped; `None` if the server was closed meanwhile.
    async fn wait_for_start(&mut self, down: Option<Duration>) -> Option<TcpListener> {
        let mut restart = down.map(|after| tokio::time::Instant::now() + after);
        loop {
            let ack = tokio::select! {
                command = self.rx.recv() => match command? {
                    Command::Stop(ack) => {
                        restart = None;
                        acknowledge(Some(ack));
                        continue;
                    }
                    Command::Start(ack) => Some(ack),
                    Command::Crash { down } => {
                        restart = Some(tokio::time::Instant::now() + down);
                        continue;
                    }
                    Command::Close => return None,
                },
                () = sleep_until(restart) => None,
            };
            let listener = listen(self.address)
                .inspect_err(|error| log::error!("{error}"))
                .ok()?;
            acknowledge(ack);
            return Some(listener);
        }
    }
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn accept(
    rx: &mut mpsc::UnboundedReceiver<Command>,
    listener: &TcpListener,
    connections: &Connections,
) -> (Next, Option<oneshot::Sender<()>>) {
    loop {
        tokio::select! {
            command = rx.recv() => match command {
                Some(Command::Stop(ack)) => return (Next::Down(None), Some(ack)),
                Some(Command::Crash { down }) => return (Next::Down(Some(down)), None),
                Some(Command::Start(ack)) => acknowledge(Some(ack)),
                Some(Command::Close) | None => return (Next::Close, None),
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.serve(stream),
                // Accepting fails when descriptors run out; the pause keeps the loop from spinning.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            },
        }
    }
}

fn acknowledge(ack: Option<oneshot::Sender<()>>) {
    if let Some(ack) = ack {
        // The waiting side may have given up.
        let _ = ack.send(());
    }
}
