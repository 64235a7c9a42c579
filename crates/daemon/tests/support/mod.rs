//! A small fleet of daemon processes with stand-in engines and platform in the test process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eelgrasshold_core::config::{Config, PublishOutcome};
use eelgrasshold_net::platform::{Platform as PlatformClient, publish_config};
use eelgrasshold_standins::client::Client;
use eelgrasshold_standins::engine::ModelEngine;
use eelgrasshold_standins::fleet::{DRAFTS, RESERVATIONS, sample_config};
use eelgrasshold_standins::plain::PlainService;
use eelgrasshold_standins::platform::Platform;
use eelgrasshold_standins::process::{Daemon, DaemonBuilder};

/// Pause between readiness polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls after which the wait for readiness fails; at 50 ms each, one minute.
const MAX_POLLS: u32 = 1_200;

/// Two entry hosts, and an upstream process for each of two model engines and a plain service.
pub struct Processes {
    platform: Platform,
    pub engines: Vec<ModelEngine>,
    pub plain: PlainService,
    pub entries: Vec<Daemon>,
    pub upstreams: Vec<Daemon>,
}

impl Processes {
    /// Starts all processes and waits until both entry hosts are ready and know every member.
    pub async fn start() -> Self {
        let platform = Platform::builder().start().unwrap();
        let url = format!("http://{}", platform.address());
        let client = PlatformClient::for_operator(&url);
        let published = publish_config(&client, Config::default(), sample_config(), 0).await;
        assert_eq!(published, PublishOutcome::Accepted(1));
        let binary = Path::new(env!("CARGO_BIN_EXE_eelgrassholdd"));
        let mut processes = Self {
            platform,
            engines: (0..2)
                .map(|_| ModelEngine::builder().start().unwrap())
                .collect(),
            plain: PlainService::builder().start().unwrap(),
            entries: Vec::new(),
            upstreams: Vec::new(),
        };
        for n in 0..2 {
            let builder = DaemonBuilder::new(binary, "entry", &format!("entry-{n}"), &url);
            let daemon = builder.seeds(&processes.seeds()).start().unwrap();
            processes.entries.push(daemon);
        }
        let model_backends = processes
            .engines
            .iter()
            .map(|e| (e.address(), DRAFTS, "model"));
        let plain_backend = (processes.plain.address(), RESERVATIONS, "plain");
        let backends: Vec<_> = model_backends.chain([plain_backend]).collect();
        for (n, (address, service, kind)) in backends.into_iter().enumerate() {
            let builder = DaemonBuilder::new(binary, "upstream", &format!("up-{n}"), &url);
            let builder = builder
                .seeds(&processes.seeds())
                .engine(address, service, kind);
            processes.upstreams.push(builder.start().unwrap());
        }
        processes.wait_until_ready().await;
        processes
    }

    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|e| format!("http://{}", e.data))
            .collect()
    }

    /// Returns the number of drafts running on the engines.
    pub fn in_flight(&self) -> usize {
        self.engines.iter().map(ModelEngine::in_flight).sum()
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.control).collect()
    }

    async fn wait_until_ready(&self) {
        let client = Client::new();
        let expected_members = self.entries.len() + self.upstreams.len();
        for _ in 0..MAX_POLLS {
            let mut ready = 0;
            for entry in &self.entries {
                let status = entry.status(&client).await;
                ready += usize::from(
                    status.is_some_and(|s| s.ready && s.members.len() == expected_members),
                );
            }
            if ready == self.entries.len() {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the fleet at {} did not get ready", self.platform.address());
    }
}
