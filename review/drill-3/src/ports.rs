//! Free ports of loopback, below those that the system gives to outgoing channels.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address that is free for TCP and UDP.
pub fn free() -> SocketAddr {
    let first = std::process::id().wrapping_mul(97) % 10_000;
    loop {
        let offset = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + u16::try_from(offset % 12_000).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
