//! Runs the daemon binary as child processes, for failure tests and measurements.

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

/// Pause between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Checks after which [`Daemon::wait`] gives up, 60 s in all.
const MAX_EXIT_POLLS: u32 = 1_200;
/// Attempts to start a daemon, each with new ports.
const MAX_START_ATTEMPTS: u32 = 5;
/// Pause between two checks whether a daemon listens.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Checks after which an attempt to start a daemon fails, 10 s in all.
const MAX_LISTEN_POLLS: u32 = 1_000;
/// Ports for daemons. The range lies below the system's ephemeral ports: an outgoing connection
/// could take one of those after it was found free and before the daemon binds it.
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;
/// Distance between the first ports of two test programs that run at the same time.
const PORTS_PER_PROCESS: u16 = 600;
/// Offset of the next port to try. It grows with each try, so that two daemons of a test program
/// never get the same port.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);
/// Number in the name of the next settings file, which makes the names unique.
static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

/// Builder of a [`Daemon`]: the binary and its settings file.
#[derive(Clone, Debug)]
pub struct DaemonBuilder {
    binary: PathBuf,
    settings: Value,
    log: Option<PathBuf>,
}

impl DaemonBuilder {
    /// Creates a builder for a daemon in data centre `erie-1`. `role` is a role of the
    /// settings file, such as `entry`; `host` is the host name and `platform` the base URL of the
    /// platform.
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
            log: None,
        }
    }

    /// Writes the log lines to a file instead of the standard output.
    #[must_use]
    pub fn log_to(mut self, path: &Path) -> Self {
        self.log = Some(path.to_owned());
        self
    }

    /// Sets the control addresses of hosts through which the daemon joins the fleet.
    #[must_use]
    pub fn seeds(self, seeds: &[SocketAddr]) -> Self {
        self.set("seeds", json!(seeds))
    }

    /// Sets the name of the data centre; `erie-1` by default.
    #[must_use]
    pub fn data_centre(self, data_centre: &str) -> Self {
        self.set("data_centre", json!(data_centre))
    }

    /// Sets the engine or plain service behind an upstream process. `kind` is `model` or `plain`.
    #[must_use]
    pub fn engine(self, address: SocketAddr, service: &str, kind: &str) -> Self {
        self.set(
            "engine",
            json!({"address": address, "service": service, "kind": kind}),
        )
    }

    /// Gives a daemon with the role `gateway` its section of the settings, with a graceful shutdown of up to
    /// `drain_limit`, in whole seconds. The admin address then serves metrics only.
    #[must_use]
    pub fn gateway(self, drain_limit: Duration) -> Self {
        let section = json!({
            "answer_validity_s": 1.0,
            "store_settle_ms": 3_000,
            "retry_ratio": 0.2,
            "retry_allowance": 100.0,
            "retry_window_s": 10.0,
            "max_descriptors": 4_096,
        });
        self.set("gateway", section)
            .set("drain_limit_s", json!(drain_limit.as_secs()))
            .set("first_start", json!(true))
    }

    /// Sets a value of the section that [`Self::gateway`] adds, or adds one to it.
    #[must_use]
    pub fn gateway_setting(mut self, key: &str, value: Value) -> Self {
        self.settings["gateway"][key] = value;
        self
    }

    fn set(mut self, key: &str, value: Value) -> Self {
        self.settings[key] = value;
        self
    }

    /// Starts the daemon on free loopback ports and waits until its admin address accepts
    /// connections.
    ///
    /// # Errors
    ///
    /// If no port is free, the process can't be started, or it does not listen after several
    /// attempts.
    pub fn start(self) -> io::Result<Daemon> {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut daemon = self.try_start()?;
            if daemon.wait_until_listening() {
                return Ok(daemon);
            }
        }
        Err(io::Error::other(
            "daemon exited or did not listen in any attempt to start it",
        ))
    }

    fn try_start(&self) -> io::Result<Daemon> {
        let [data, control, admin] = free_addresses()?;
        let mut builder = self
            .clone()
            .set("data_address", json!(data))
            .set("control_address", json!(control))
            .set("admin_address", json!(admin));
        let mut others = None;
        if builder.settings.get("gateway").is_some() {
            let [ready, directory, _] = free_addresses()?;
            builder = builder.set("metrics_address", json!(admin));
            builder.settings["gateway"]["ready_address"] = json!(ready);
            builder.settings["gateway"]["directory_address"] = json!(directory);
            others = Some((ready, directory));
        }
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("eelgrassholdd-{}-{number}.json", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        fs::write(&settings_file, builder.settings.to_string())?;
        let log = match &builder.log {
            Some(path) => Stdio::from(fs::File::create(path)?),
            None => Stdio::inherit(),
        };
        let child = Command::new(&builder.binary)
            .arg("--settings")
            .arg(&settings_file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Daemon {
            data,
            control,
            admin,
            ready: others.map(|(ready, _)| ready),
            directory: others.map(|(_, directory)| directory),
            child,
            settings_file,
        })
    }
}

/// A running daemon process, killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Address for requests: of callers at an entry host, of entry hosts at an upstream process.
    pub data: SocketAddr,
    /// Address for control links from other daemons.
    pub control: SocketAddr,
    /// Address of the admin interface, for operators and metrics.
    pub admin: SocketAddr,
    /// Address for readiness checks, of a gateway.
    pub ready: Option<SocketAddr>,
    /// Address at which callers resolve entry hosts, of a gateway.
    pub directory: Option<SocketAddr>,
    child: Child,
    settings_file: PathBuf,
}

impl Daemon {
    /// Process id, also valid after the process has exited.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits up to 10 s until the daemon listens; false if it does not, or if it exits first, for
    /// example because another process has taken one of its ports.
    fn wait_until_listening(&mut self) -> bool {
        for _ in 0..MAX_LISTEN_POLLS {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return false;
            }
            if TcpStream::connect(self.admin).is_ok() {
                return true;
            }
            std::thread::sleep(LISTEN_POLL_INTERVAL);
        }
        false
    }

    /// Sends the process a signal, given by its name without `SIG`, such as `TERM`.
    ///
    /// # Errors
    ///
    /// If `kill` can't be run or fails, for example because it does not know the signal.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("can't send the signal: kill failed"))
        }
    }

    /// How the process has exited; `None` if it still runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits up to 60 s for the process to exit; `None` if it still runs then.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        for _ in 0..MAX_EXIT_POLLS {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        None
    }

    /// Reads the status from the admin interface; `None` if there is no valid answer.
    pub async fn status(&self, client: &Client) -> Option<Status> {
        let url = format!("http://{}/v1/status", self.admin);
        let answer = client.get(&url).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited and its file may be removed already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_file);
    }
}

/// Addresses that are free and that no other daemon of this test program gets.
fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    Ok([free_address()?, free_address()?, free_address()?])
}

fn free_address() -> io::Result<SocketAddr> {
    let port_count = PORT_RANGE.end - PORT_RANGE.start;
    let slices = u32::from(port_count / PORTS_PER_PROCESS);
    let slice = u16::try_from(std::process::id() % slices).unwrap_or(0);
    for _ in 0..port_count {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + (slice * PORTS_PER_PROCESS).wrapping_add(offset) % port_count;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other(
        "no free port in the range reserved for daemons",
    ))
}

#[cfg(test)]
mod tests;
