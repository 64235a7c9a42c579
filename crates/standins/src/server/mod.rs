//! HTTP server of each stand-in: HTTP/1.1 and HTTP/2 without TLS on an ephemeral loopback port.
//!
//! A stopped server refuses connections but keeps its port reserved, so that
//! it can listen at the same address again, as a restarted process does.

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

/// Handles one request; shared by all connections of a server.
pub(crate) type Handler = Arc<dyn Fn(Request<Incoming>) -> HandlerFuture + Send + Sync>;

/// Length of the queue of connections that have not been accepted yet.
const LISTEN_BACKLOG: u32 = 1024;

/// Reason why a stand-in could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// No loopback port could be bound.
    #[snafu(display("can't listen on loopback: {source}"))]
    Listen {
        /// Error of the socket call that failed.
        source: std::io::Error,
    },
}

enum Command {
    Stop(oneshot::Sender<()>),
    Start(oneshot::Sender<()>),
    Crash { down: Duration },
    Close,
}

/// Handle that controls a server without owning it.
#[derive(Clone)]
pub(crate) struct Control {
    tx: mpsc::UnboundedSender<Command>,
}

impl Control {
    /// Stops the server: closes all connections and refuses new ones. Returns once that is done.
    pub(crate) async fn stop(&self) {
        self.send(Command::Stop).await;
    }

    /// Starts a stopped server. Returns once it accepts connections.
    pub(crate) async fn start(&self) {
        self.send(Command::Start).await;
    }

    /// Stops the server and starts it again after `down`. Returns immediately.
    pub(crate) fn crash(&self, down: Duration) {
        // Sending fails only if the server is closed, which needs no crash.
        let _ = self.tx.send(Command::Crash { down });
    }

    async fn send(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(command(tx)).is_ok() {
            // An error means that the server was closed before it handled the command.
            let _ = rx.await;
        }
    }
}

/// A server whose port is bound but which has no handler yet, so that a handler can be built with
/// the address and control handle.
pub(crate) struct BoundServer {
    address: SocketAddr,
    reservation: TcpSocket,
    listener: TcpListener,
    control: Control,
    rx: mpsc::UnboundedReceiver<Command>,
}

impl BoundServer {
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

    /// Starts to accept connections and to handle their requests.
    pub(crate) fn serve(self, handler: Handler) -> Server {
        let accept_loop = AcceptLoop {
            address: self.address,
            reservation: self.reservation,
            handler,
            rx: self.rx,
        };
        Server {
            address: self.address,
            control: self.control,
            task: tokio::spawn(accept_loop.run(self.listener)),
        }
    }
}

/// A running server. It also closes once this and all clones of its control handle are dropped.
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
        // Both calls fail only if the task has already ended, for example because it could not
        // listen again.
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
    bind(address)?.listen(LISTEN_BACKLOG).context(ListenSnafu)
}

/// Reason why the server stops accepting connections.
enum Interruption {
    /// The server was stopped or crashed; a crash holds the time until the restart.
    Down(Option<Duration>),
    Close,
}

struct AcceptLoop {
    address: SocketAddr,
    /// Bound but not listening: keeps the system from assigning the port to others while stopped.
    reservation: TcpSocket,
    handler: Handler,
    rx: mpsc::UnboundedReceiver<Command>,
}

impl AcceptLoop {
    async fn run(mut self, initial: TcpListener) {
        let mut listener = initial;
        loop {
            let connections = Connections::new(self.handler.clone());
            let (interruption, ack) = accept(&mut self.rx, &listener, &connections).await;
            drop(listener);
            connections.close().await;
            acknowledge(ack);
            let Interruption::Down(down) = interruption else {
                break;
            };
            match self.wait_for_start(down).await {
                Some(restarted) => listener = restarted,
                None => break,
            }
        }
        drop(self.reservation);
    }

    /// Waits until the server is started or `down` has elapsed, and listens again. `None` if the
    /// server was closed or can't listen.
    async fn wait_for_start(&mut self, down: Option<Duration>) -> Option<TcpListener> {
        let mut restart_at = down.map(|down| tokio::time::Instant::now() + down);
        loop {
            let ack = tokio::select! {
                command = self.rx.recv() => match command? {
                    Command::Stop(ack) => {
                        restart_at = None;
                        acknowledge(Some(ack));
                        continue;
                    }
                    Command::Start(ack) => Some(ack),
                    Command::Crash { down } => {
                        restart_at = Some(tokio::time::Instant::now() + down);
                        continue;
                    }
                    Command::Close => return None,
                },
                () = sleep_until(restart_at) => None,
            };
            let listener = listen(self.address)
                .inspect_err(|error| log::error!("stand-in did not restart: {error}"))
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
) -> (Interruption, Option<oneshot::Sender<()>>) {
    loop {
        tokio::select! {
            command = rx.recv() => match command {
                Some(Command::Stop(ack)) => return (Interruption::Down(None), Some(ack)),
                Some(Command::Crash { down }) => return (Interruption::Down(Some(down)), None),
                Some(Command::Start(ack)) => acknowledge(Some(ack)),
                Some(Command::Close) | None => return (Interruption::Close, None),
            },
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.serve(stream),
                // Accepting fails while the process has no free file descriptor. The pause keeps
                // the loop from spinning.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            },
        }
    }
}

fn acknowledge(ack: Option<oneshot::Sender<()>>) {
    if let Some(ack) = ack {
        // Fails if the caller's future was dropped, so that nobody waits for it.
        let _ = ack.send(());
    }
}
