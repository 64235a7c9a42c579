//! End-to-end test: requests from a client to engines through two entry hosts and two upstream
//! processes.

use std::time::Duration;

use eelgrasshold_core::config::{Config, PublishOutcome, Service, ServiceKind, Team};
use eelgrasshold_net::host::{EngineOptions, EntryHost, HostOptions, UpstreamHost};
use eelgrasshold_net::platform::{Platform as PlatformClient, publish_config};
use eelgrasshold_standins::client::Client;
use eelgrasshold_standins::engine::{ModelEngine, token};
use eelgrasshold_standins::platform::Platform;
use http::Method;

const TOKENS: u32 = 12;
/// Attempts, 50 ms apart, before a fleet counts as never ready.
const MAX_ATTEMPTS: u32 = 400;

struct Fleet {
    platform: Platform,
    engines: Vec<ModelEngine>,
    upstreams: Vec<UpstreamHost>,
    entries: Vec<EntryHost>,
}

impl Fleet {
    async fn start() -> Self {
        let platform = Platform::builder().start().unwrap();
        let url = format!("http://{}", platform.address());
        publish(&url).await;
        let mut entries: Vec<EntryHost> = Vec::new();
        for n in 0..2 {
            let seeds = entries
                .iter()
                .map(|e| e.control_address().to_string())
                .collect();
            let options = HostOptions::builder(&format!("entry-{n}"), &url)
                .seeds(seeds)
                .seed(n)
                .build();
            entries.push(EntryHost::start(options).await.unwrap());
        }
        let seeds: Vec<String> = entries
            .iter()
            .map(|e| e.control_address().to_string())
            .collect();
        let (mut engines, mut upstreams) = (Vec::new(), Vec::new());
        for n in 0..2 {
            let engine = ModelEngine::builder().start().unwrap();
            let options = HostOptions::builder(&format!("up-{n}"), &url)
                .seeds(seeds.clone())
                .seed(100 + n)
                .build();
            let engine_options = EngineOptions {
                address: engine.address().to_string(),
                service: "drafts".into(),
                kind: ServiceKind::Model,
            };
            upstreams.push(UpstreamHost::start(options, engine_options).await.unwrap());
            engines.push(engine);
        }
        Self {
            platform,
            engines,
            upstreams,
            entries,
        }
    }

    async fn close(self) {
        for entry in self.entries {
            entry.abort();
        }
        for upstream in self.upstreams {
            upstream.abort();
        }
        for engine in self.engines {
            engine.close().await;
        }
        self.platform.close().await;
    }
}

async fn publish(url: &str) {
    let mut cfg = Config::default();
    cfg.services.insert("drafts".into(), Service::default());
    cfg.teams.insert("classers".into(), Team::default());
    let platform = PlatformClient::for_operator(url);
    let published = publish_config(&platform, Config::default(), cfg, 0).await;
    assert_eq!(published, PublishOutcome::Accepted(1));
}

/// Sends a completion, repeatedly until the entry host has the configuration and knows its
/// upstreams.
async fn complete(client: &Client, entry: &EntryHost, prompt: &str) -> String {
    let url = format!(
        "http://{}/v1/services/drafts/v1/completions",
        entry.data_address()
    );
    let body = format!("{{\"prompt\":\"{prompt}\",\"max_tokens\":{TOKENS}}}");
    for _ in 0..MAX_ATTEMPTS {
        let headers = [("eel-team", "classers")];
        let answer = client
            .send(Method::POST, &url, &headers, body.clone())
            .await
            .unwrap();
        if answer.status == 200 {
            return answer.text();
        }
        let refusal = answer.text();
        assert!(refusal.contains("not_run"), "{refusal}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the fleet did not become ready");
}

// Guards against a published configuration that does not take effect, and against answers that
// lose tokens between the engine and the client.
#[tokio::test(flavor = "multi_thread")]
async fn published_service_is_reachable_through_each_entry_host() {
    let fleet = Fleet::start().await;
    let client = Client::new();
    for (n, entry) in fleet.entries.iter().enumerate() {
        let prompt = format!("Describe lot {n}");
        let answer = complete(&client, entry, &prompt).await;
        for index in 0..TOKENS {
            assert!(
                answer.contains(&token(&prompt, index)),
                "token {index} of {answer}"
            );
        }
        assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
    }
    let url = format!("http://{}/v1/entry-hosts", fleet.entries[0].data_address());
    let answer = client.get(&url).await.unwrap();
    assert!(
        answer
            .text()
            .contains(&fleet.entries[1].data_address().to_string())
    );
    fleet.close().await;
}
