//! Settings types, as deserialized from the settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use eelgrasshold_core::config::ServiceKind;
use log::LevelFilter;
use serde::Deserialize;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and dispatches them to upstream processes.
    Entry,
    /// Sidecar of a model engine or plain service; receives dispatches from entry hosts.
    Upstream,
    /// Accepts requests from callers and forwards them directly to the upstreams that a registry
    /// lists.
    Gateway,
    /// Sidecar of an engine that is a rank of a group and accepts orders itself.
    Rank,
}

/// Settings of a process.
///
/// Fields without a usable default are empty or unspecified until set; validation reports those
/// that the role requires.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Required; `None` fails validation.
    pub role: Option<Role>,
    /// Host name, unique in the fleet.
    pub host: String,
    pub region: String,
    pub data_centre: String,
    /// Listener for requests of callers (`entry`, `gateway`) or dispatches (`upstream`), `IP:PORT`.
    pub data_address: SocketAddr,
    /// Listener for connections from other daemons, `IP:PORT`.
    pub control_address: SocketAddr,
    /// Listener for operators, `IP:PORT`.
    pub admin_address: SocketAddr,
    /// Listener that serves only metrics, `IP:PORT`, for the roles `gateway` and `rank`.
    pub metrics_address: Option<SocketAddr>,
    /// Control addresses of entry hosts through which the process joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Base URL of the platform's object API.
    pub platform_url: String,
    /// Time limit of a graceful shutdown, in seconds.
    pub drain_limit_s: u64,
    /// Lowest severity that is logged.
    pub log_level: LevelFilter,
    /// Mutual TLS between daemons and on the admin address; unencrypted if absent.
    pub tls: Option<TlsSettings>,
    /// Allows control and admin addresses other than loopback without TLS.
    pub allow_plain_links: bool,
    /// Whether the fleet starts for the first time, for the roles `gateway` and `rank`.
    pub first_start: bool,
    /// Required for the roles `upstream` and `rank`, refused for the others.
    pub engine: Option<EngineSettings>,
    /// Required for the role `gateway`, refused for the others.
    pub gateway: Option<GatewaySettings>,
    /// For the role `rank` only.
    pub rank: RankSettings,
    /// JSON paths of unknown settings. They are ignored for the roles `gateway` and `rank`, whose
    /// platform may add settings of its own, and refused for the others.
    #[serde(skip)]
    pub unknown: Vec<String>,
}

/// Settings of the role `gateway`, in addition to the common ones.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Listener for readiness checks, `IP:PORT`.
    pub ready_address: SocketAddr,
    /// Listener at which callers look up host addresses, `IP:PORT`.
    pub directory_address: SocketAddr,
    /// Time for which callers may use an answer of the directory, in seconds.
    pub answer_validity_s: f64,
    /// Time after a fault of the platform's API within which the host must be up to date again, in
    /// milliseconds.
    pub store_settle_ms: u64,
    /// Time after which an evacuated data centre gets no more requests, in milliseconds. Evacuations are
    /// not followed without it.
    pub evacuate_ms: Option<u64>,
    /// Retries allowed per request to a service within a window.
    pub retry_ratio: f64,
    /// Retries allowed within a window in addition to `retry_ratio`, summed over all hosts.
    pub retry_allowance: f64,
    /// Length of the retry window, in seconds.
    pub retry_window_s: f64,
    /// Factor on the rate of a service's cold upstreams up to which all hosts together may exceed it.
    /// Without this and `cold_slack`, cold upstreams are not limited.
    #[serde(default)]
    pub cold_overage: Option<f64>,
    /// Requests a second beyond that factor.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// Maximum number of open file descriptors, sockets and pipes included.
    pub max_descriptors: usize,
    /// Port at which the sidecars of upstreams listen, on all hosts; without one, their load is not asked for.
    #[serde(default)]
    pub sidecar_port: Option<u16>,
    /// Whether streams wait here as far as is needed for pauses between events within the targets.
    #[serde(default)]
    pub pause_control: bool,
    /// Memory of the machine, in MiB.
    pub memory_mb: Option<usize>,
    /// Most bytes of request bodies and answers that the host holds, in MiB; by default two fifths of
    /// `memory_mb`.
    pub held_mib: Option<usize>,
}

/// Settings of the role `rank`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct RankSettings {
    /// Bandwidth of the host's link, in megabits a second. Control traffic takes a small share.
    pub link_mbps: f64,
    /// Number of sidecars that one sidecar passes a call to the whole group on to.
    pub fanout: usize,
}

impl Default for RankSettings {
    fn default() -> Self {
        Self {
            link_mbps: 100.0,
            fanout: 4,
        }
    }
}

/// Certificate files for mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
    /// PEM file with the certificate authority of the other daemons.
    pub authority: PathBuf,
}

/// The engine or plain service beside which a sidecar runs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineSettings {
    /// Address at which the engine accepts requests, `IP:PORT`.
    pub address: SocketAddr,
    /// Name of the service that it provides.
    pub service: String,
    /// `model` (the default) or `plain`.
    pub kind: ServiceKind,
}

impl Default for Settings {
    fn default() -> Self {
        let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        Self {
            role: None,
            host: String::new(),
            region: "region-1".to_owned(),
            data_centre: String::new(),
            data_address: unspecified,
            control_address: unspecified,
            admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            metrics_address: None,
            seeds: Vec::new(),
            platform_url: String::new(),
            drain_limit_s: 60,
            log_level: LevelFilter::Info,
            tls: None,
            allow_plain_links: false,
            first_start: false,
            engine: None,
            gateway: None,
            rank: RankSettings::default(),
            unknown: Vec::new(),
        }
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            service: String::new(),
            kind: ServiceKind::Model,
        }
    }
}
