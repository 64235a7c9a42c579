//! TCP connections that detect an unresponsive peer.

mod backlog;
mod closing;
mod shared_stream;
mod tasks;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

pub(crate) use backlog::close_listener;
pub(crate) use closing::may_end;
pub(crate) use shared_stream::SharedStream;
pub(crate) use tasks::ConnectionTasks;

/// Allows a few round trips inside a region. TCP retransmits a lost SYN only after a second, which
/// is longer than a request can wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes a connection.
const MAX_UNANSWERED_PROBES: u32 = 3;
/// Time for which sent data may stay unacknowledged; retransmissions on a lossy link end then.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after a failed accept, so that a lack of file descriptors causes no busy loop.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Enables keepalive and the user timeout, so that a connection fails when its peer or the network
/// path is down. Also disables Nagle's algorithm.
pub(crate) fn detect_dead_peer(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("can't set socket options of a connection: {error}");
    }
}

/// Makes closing a connection discard unsent data and reset it. Otherwise an abandoned request
/// reaches a paused peer when that peer resumes.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("can't make a connection discard unsent data on close: {error}");
    }
}

/// Opens a connection that fails by itself when its peer is down.
///
/// # Errors
///
/// If the peer refuses the connection, or `TimedOut` after [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    detect_dead_peer(&stream);
    Ok(stream)
}

#[cfg(test)]
mod tests;
