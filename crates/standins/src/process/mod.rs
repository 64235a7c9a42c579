//! Real daemons as processes, for tests of failures and measurements.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

use eelgrasshold_net::admin::Status;
use serde_json::{Value, json};

use crate::client::Client;

/// Pause between looks at whether a process has ended.
const PAUSE: Duration = Duration::from_millis(50);
/// Looks after which a process counts as never ending.
const LOOKS: u32 = 1_200;
/// Starts after which a daemon counts as unable to start.
const TRIES: u32 = 5;
/// Pause between looks at whether a daemon listens.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);
/// Looks after which a daemon counts as never listening.
const LISTEN_LOOKS: u32 = 1_000;
/// Ports that daemons are given. They lie below those that the system gives to connections, which
/// may take a port between the moment at which it was found free and the start of the daemon.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Distance of the first ports of two test programs that run at the same time.
const PORTS_PER_PROCESS: u16 = 600;
/// Counts the ports that were given, so that two daemons of a test program never get the same.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Makes the names of settings files differ.
static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonBuilder {
    binary: PathBuf,
    settings: Value,
}

impl DaemonBuilder {
    /// A daemon of a role that finds the platform at a base URL.
    #[must_use]
    pub fn new(binary: &Path, role: &str, host: &str, platform: &str) -> Self {
        let settings = json!({
            "role": role,
            "host": host,
            "data_centre": "erie-1",
            "platform_url": platform,
        });
        Self {
            binary: binary.to_owned(),
            settings,
        }
    }

    /// Control addresses to join through.
    #[must_use]
    pub fn seeds(self, seeds: &[SocketAddr]) -> Self {
        self.set("seeds", json!(seeds))
    }

    /// Data centre.
    #[must_use]
    pub fn data_centre(self, data_centre: &str) -> Self {
        self.set("data_centre", json!(data_centre))
    }

    /// Engine or plain service of an upstream process.
    #[must_use]
    pub fn engine(self, address: SocketAddr, service: &str, kind: &str) -> Self {
        self.set(
            "engine",
            json!({"address": address, "service": service, "kind": kind}),
        )
    }

    fn set(mut self, key: &str, value: Value) -> Self {
        self.settings[key] = value;
        self
    }

    /// Starts the daemon on free ports of loopback and waits until it listens.
    ///
    /// # Errors
    ///
    /// If there are no free ports, or the process can't be started or does not listen.
    pub fn start(self) -> io::Result<Daemon> {
        for _ in 0..TRIES {
            let mut daemon = self.try_start()?;
            if daemon.listens() {
                return Ok(daemon);
            }
        }
        Err(io::Error::other("the daemon does not listen"))
    }

    fn try_start(&self) -> io::Result<Daemon> {
        let [data, control, admin] = free_addresses()?;
        let launch = self
            .clone()
            .set("data_address", json!(data))
            .set("control_address", json!(control))
            .set("admin_address", json!(admin));
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("eelgrassholdd-{}-{number}.json", std::process::id());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, launch.settings.to_string())?;
        let child = Command::new(&launch.binary)
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Daemon {
            data,
            control,
            admin,
            child,
            settings,
        })
    }
}

/// A daemon that ends when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Address for callers or dispatches.
    pub data: SocketAddr,
    /// Address for links of other daemons.
    pub control: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the daemon listens; false if it ended before, as when another process took
    /// one of its ports meanwhile.
    fn listens(&mut self) -> bool {
        for _ in 0..LISTEN_LOOKS {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return false;
            }
            if TcpStream::connect(self.admin).is_ok() {
                return true;
            }
            std::thread::sleep(LISTEN_PAUSE);
        }
        false
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill failed"))
        }
    }

    /// Waits until the process has ended; none if it does not end.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        for _ in 0..LOOKS {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    /// Its status; none if it does not answer.
    pub async fn status(&self, client: &Client) -> Option<Status> {
        let url = format!("http://{}/v1/status", self.admin);
        let answer = client.get(&url).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process and its file may be gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Addresses that are free and that no other daemon of this program is given.
fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    Ok([free_address()?, free_address()?, free_address()?])
}

fn free_address() -> io::Result<SocketAddr> {
    let span = PORTS.end - PORTS.start;
    let programs = u32::from(span / PORTS_PER_PROCESS);
    let program = u16::try_from(std::process::id() % programs).unwrap_or(0);
    for _ in 0..span {
        let given = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (program * PORTS_PER_PROCESS).wrapping_add(given) % span;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("all ports for daemons are taken"))
}

#[cfg(test)]
mod tests;
