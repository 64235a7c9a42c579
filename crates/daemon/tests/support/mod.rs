//! Real daemons as processes, around stand-ins in the test's own process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eelgrasshold_core::config::{Config, Published};
use eelgrasshold_net::admin::Status;
use eelgrasshold_net::platform::{Platform as PlatformClient, publish_config};
use eelgrasshold_standins::client::Client;
use eelgrasshold_standins::engine::ModelEngine;
use eelgrasshold_standins::fleet::{DRAFTS, RESERVATIONS, sample_config};
use eelgrasshold_standins::plain::PlainService;
use eelgrasshold_standins::platform::Platform;

/// Pause between looks at the fleet.
const PAUSE: Duration = Duration::from_millis(50);
/// Looks after which a fleet counts as never ready, or a process as never ending.
const LOOKS: u32 = 1_200;

/// A daemon that ends with its test.
pub struct Daemon {
    pub data: SocketAddr,
    pub admin: SocketAddr,
    control: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until the process has ended.
    pub async fn ended(&mut self) -> ExitStatus {
        for _ in 0..LOOKS {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the process did not end");
    }

    /// Its status; none if it does not answer.
    pub async fn status(&self) -> Option<Status> {
        let url = format!("http://{}/v1/status", self.admin);
        let answer = Client::new().get(&url).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Two entry hosts before two engines and a plain service.
pub struct Processes {
    pub platform: Platform,
    pub engines: Vec<ModelEngine>,
    pub plain: PlainService,
    pub entries: Vec<Daemon>,
    pub upstreams: Vec<Daemon>,
}

impl Processes {
    /// Starts everything and waits until the entry hosts serve.
    pub async fn start(test: &str) -> Self {
        let platform = Platform::builder().start().unwrap();
        let url = format!("http://{}", platform.address());
        let client = PlatformClient::for_operator(&url);
        let published = publish_config(&client, Config::default(), sample_config(), 0).await;
        assert_eq!(published, Published::Accepted(1));
        let mut entries: Vec<Daemon> = Vec::new();
        for n in 0..2 {
            let seeds: Vec<SocketAddr> = entries.iter().map(|e| e.control).collect();
            entries.push(start(
                test,
                &format!("entry-{n}"),
                "entry",
                &url,
                &seeds,
                "",
            ));
        }
        let seeds: Vec<SocketAddr> = entries.iter().map(|e| e.control).collect();
        let engines: Vec<_> = (0..2)
            .map(|_| ModelEngine::builder().start().unwrap())
            .collect();
        let plain = PlainService::builder().start().unwrap();
        let behind = engines.iter().map(|e| (e.address(), DRAFTS, "model"));
        let behind = behind.chain([(plain.address(), RESERVATIONS, "plain")]);
        let upstreams = behind
            .enumerate()
            .map(|(n, (address, service, kind))| {
                let engine = format!(
                    r#","engine":{{"address":"{address}","service":"{service}","kind":"{kind}"}}"#
                );
                start(test, &format!("up-{n}"), "upstream", &url, &seeds, &engine)
            })
            .collect();
        let processes = Self {
            platform,
            engines,
            plain,
            entries,
            upstreams,
        };
        processes.wait_until_ready().await;
        processes
    }

    /// URLs of the entry hosts.
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|e| format!("http://{}", e.data))
            .collect()
    }

    /// Drafts that the engines run at the moment.
    pub fn in_flight(&self) -> usize {
        self.engines.iter().map(ModelEngine::in_flight).sum()
    }

    async fn wait_until_ready(&self) {
        let wanted = self.entries.len() + self.upstreams.len();
        for _ in 0..LOOKS {
            let mut ready = 0;
            for entry in &self.entries {
                let status = entry.status().await;
                ready += usize::from(status.is_some_and(|s| s.ready && s.members.len() == wanted));
            }
            if ready == self.entries.len() {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the fleet did not get ready");
    }
}

/// Starts a daemon on free ports.
fn start(
    test: &str,
    host: &str,
    role: &str,
    platform: &str,
    seeds: &[SocketAddr],
    engine: &str,
) -> Daemon {
    let [data, control, admin] = free_addresses();
    let seeds = serde_json::to_string(seeds).unwrap();
    let json = format!(
        r#"{{"role":"{role}","host":"{host}","data_centre":"erie-1","data_address":"{data}",
"control_address":"{control}","admin_address":"{admin}","seeds":{seeds},
"platform_url":"{platform}"{engine}}}"#
    );
    let name = format!("eelgrassholdd-{test}-{host}-{}.json", std::process::id());
    let settings = std::env::temp_dir().join(name);
    fs::write(&settings, json).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_eelgrassholdd"))
        .arg("--settings")
        .arg(&settings)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Daemon {
        data,
        admin,
        control,
        child,
        settings,
    }
}

/// Addresses that were free a moment ago. All are held at once, so that they differ.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
