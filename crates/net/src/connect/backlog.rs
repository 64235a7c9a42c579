//! Ends a listener without resetting the connections that it has established.

use std::io;
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

/// Time for handshakes that have begun to end.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

/// Offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// Instructions of the BSD packet filter.
mod code {
    /// Loads a byte of the packet.
    pub(super) const LOAD_BYTE: u16 = 0x30;
    /// Masks the loaded value.
    pub(super) const AND: u16 = 0x54;
    /// Jumps, depending on whether the value is equal.
    pub(super) const JUMP_IF_EQUAL: u16 = 0x15;
    /// Ends with the number of bytes to keep of the packet.
    pub(super) const RETURN: u16 = 0x06;
}

/// Closes a listener and returns the connections that are established but not accepted. Closing it
/// alone would reset them, with the requests on them.
///
/// # Errors
///
/// If the system can't be asked for the connections.
pub(crate) async fn close_listener(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    if let Err(error) = drop_new_connections(&listener) {
        log::debug!("can't stop new connections before a listener is closed: {error}");
    }
    tokio::time::sleep(HANDSHAKE_TIME).await;
    // The runtime may not know yet of a connection that the system has established.
    let listener = listener.into_std()?;
    let mut established = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                established.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(established),
            Err(error) => {
                log::warn!("can't accept the rest of a backlog: {error}");
                return Ok(established);
            }
        }
    }
}

/// Drops the first packets of further connections; their senders repeat them until the listener is
/// closed, and are refused then.
fn drop_new_connections(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(code::LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(code::AND, 0, 0, SYN | ACK),
        SockFilter::new(code::JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(code::RETURN, 0, 0, 0),
        SockFilter::new(code::RETURN, 0, 0, u32::MAX),
    ])
}
