//! Stand-ins of the users' platform, its replicas and its callers, for the scripts of the review.
//! They follow PROTOCOL.md and DEPLOY.md, and use threads and blocking sockets only.

pub mod daemon;
pub mod gateway;
pub mod http;
pub mod proxy;
pub mod record;
pub mod store;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A port that is free at all the given addresses now.
pub fn free_port(ips: &[IpAddr]) -> u16 {
    for _ in 0..200 {
        let Ok(probe) = TcpListener::bind((ips[0], 0)) else {
            continue;
        };
        let port = probe.local_addr().map_or(0, |a| a.port());
        let others = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind(SocketAddr::new(*ip, port)));
        if others.collect::<Result<Vec<_>, _>>().is_ok() {
            return port;
        }
    }
    not_run("no port is free at all addresses")
}

/// A block of loopback addresses that no other run uses, by the id of this process.
pub fn loopback(n: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::from([127, 16 + (pid >> 8 & 0x7f) as u8, (pid & 0xff) as u8, n])
}

/// Ends the run as one that could not be played.
pub fn not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    daemon::end_all();
    std::process::exit(2);
}
