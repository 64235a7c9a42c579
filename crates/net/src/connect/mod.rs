//! TCP connections that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time to connect: a few round trips inside a region and a lost packet's first repeat
/// would be a second, which a request doesn't wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the kernel asks whether the peer is there, and between two questions.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection is given up.
const PROBES: u32 = 3;
/// Time for which sent data may stay unacknowledged. A lossy link repeats packets for this long.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(4);

/// Pause after a failed accept, so that a lack of file descriptors causes no busy loop.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Makes a connection notice by itself that its peer or the way there is gone.
pub(crate) fn watch_silence(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(error) = set {
        log::debug!("a connection keeps the system's time limits: {error}");
    }
}

/// Makes the end of a connection take back what its peer has not received yet. Otherwise a request
/// that was given up reaches a peer that was paused once it goes on.
pub(crate) fn drop_unsent_at_end(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("a connection sends what is left after its end: {error}");
    }
}

/// Opens a connection.
///
/// # Errors
///
/// If the peer refuses or does not answer in time.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_silence(&stream);
    Ok(stream)
}

#[cfg(test)]
mod tests;
