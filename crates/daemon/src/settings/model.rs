//! Settings types, as deserialized from the settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use eelgrasshold_core::config::ServiceKind;
use eelgrasshold_core::gateway::budget::RetryBound;
use eelgrasshold_core::gateway::cold::ColdBound;
use log::LevelFilter;
use serde::Deserialize;

use super::number::Number;

const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(60);
const DEFAULT_ANSWER_VALIDITY: Duration = Duration::from_secs(2);
const DEFAULT_SETTLE_TIME: Duration = Duration::from_secs(3);
const DEFAULT_EVACUATION_TIME: Duration = Duration::from_secs(5);
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_ALLOWANCE: f64 = 10.0;
const DEFAULT_DESCRIPTORS: usize = 1_024;
const DEFAULT_LINK_MBPS: f64 = 100.0;
const DEFAULT_FANOUT: usize = 4;

/// Times that a gateway keeps to for `store_settle_ms` and `evacuate_ms`: below, it would read the store all
/// the time; above, callers would notice for too long.
const FOLLOW_TIMES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));
/// Shortest validity of directory answers and shortest retry window.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

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
    pub drain_limit_s: Number,
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
    /// What operators are told of valid settings, such as values that a limit replaces.
    #[serde(skip)]
    pub notes: Vec<String>,
}

/// Settings of the role `gateway`, in addition to the common ones.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Listener for readiness checks, `IP:PORT`.
    pub ready_address: SocketAddr,
    /// Listener at which callers look up host addresses, `IP:PORT`.
    pub directory_address: SocketAddr,
    /// Time for which callers may use an answer of the directory, in seconds.
    #[serde(default)]
    pub answer_validity_s: Number,
    /// Time after a fault of the platform's API within which the host must be up to date again, in
    /// milliseconds.
    #[serde(default)]
    pub store_settle_ms: Number,
    /// Time after which an evacuated data centre gets no more requests, in milliseconds. Evacuations are
    /// not followed without it.
    #[serde(default)]
    pub evacuate_ms: Number,
    /// Retries allowed per request to a service within a window.
    #[serde(default)]
    pub retry_ratio: Number,
    /// Retries allowed within a window in addition to `retry_ratio`, summed over all hosts.
    #[serde(default)]
    pub retry_allowance: Number,
    /// Length of the retry window, in seconds.
    #[serde(default)]
    pub retry_window_s: Number,
    /// Factor on the rate of a service's cold upstreams up to which all hosts together may exceed it.
    /// Without this and `cold_slack`, cold upstreams are not limited.
    #[serde(default)]
    pub cold_overage: Number,
    /// Requests a second beyond that factor.
    #[serde(default)]
    pub cold_slack: Number,
    /// Maximum number of open file descriptors, sockets and pipes included.
    #[serde(default)]
    pub max_descriptors: Number,
    /// Port at which the sidecars of upstreams listen, on all hosts; without one, their load is not asked for.
    #[serde(default)]
    pub sidecar_port: Number,
    /// Whether streams wait here as far as is needed for pauses between events within the targets.
    #[serde(default)]
    pub pause_control: bool,
    /// Memory of the machine, in MiB.
    #[serde(default)]
    pub memory_mb: Number,
    /// Most bytes of request bodies and answers that the host holds, in MiB; by default two fifths of
    /// `memory_mb`.
    #[serde(default)]
    pub held_mib: Number,
}

/// Settings of the role `rank`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct RankSettings {
    /// Bandwidth of the host's link, in megabits a second. Control traffic takes a small share.
    pub link_mbps: Number,
    /// Number of sidecars that one sidecar passes a call to the whole group on to.
    pub fanout: Number,
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

impl Settings {
    /// Time limit of a graceful shutdown.
    pub fn drain_limit(&self) -> Duration {
        self.drain_limit_s.seconds().unwrap_or(DEFAULT_DRAIN_LIMIT)
    }
}

impl GatewaySettings {
    /// Time for which callers may use an answer of the directory.
    pub fn answer_validity(&self) -> Duration {
        let validity = self.answer_validity_s.seconds();
        validity.map_or(DEFAULT_ANSWER_VALIDITY, |v| v.max(MIN_INTERVAL))
    }

    /// Time after a fault of the platform's API within which the host must be up to date again.
    pub fn settle_time(&self) -> Duration {
        let time = self.store_settle_ms.millis();
        let (least, most) = FOLLOW_TIMES;
        time.map_or(DEFAULT_SETTLE_TIME, |t| t.clamp(least, most))
    }

    /// Time after which an evacuated data centre gets no more requests; `None` if evacuations are not followed.
    pub fn evacuate_within(&self) -> Option<Duration> {
        let time = self.evacuate_ms.millis();
        let (least, most) = FOLLOW_TIMES;
        let time = time.map_or(DEFAULT_EVACUATION_TIME, |t| t.clamp(least, most));
        self.evacuate_ms.is_set().then_some(time)
    }

    /// Limit on retries, over all hosts together.
    pub fn retry_bound(&self) -> RetryBound {
        let window = self.retry_window_s.seconds();
        RetryBound {
            window: window.map_or(DEFAULT_RETRY_WINDOW, |w| w.max(MIN_INTERVAL)),
            ratio: self.retry_ratio.given().unwrap_or(DEFAULT_RETRY_RATIO),
            allowance: self
                .retry_allowance
                .given()
                .unwrap_or(DEFAULT_RETRY_ALLOWANCE),
        }
    }

    /// Bound on requests to cold upstreams; the missing one of the two settings changes nothing.
    pub fn cold_bound(&self) -> Option<ColdBound> {
        let is_set = self.cold_overage.is_set() || self.cold_slack.is_set();
        is_set.then(|| ColdBound {
            overage: self.cold_overage.given().unwrap_or(1.0),
            slack: self.cold_slack.given().unwrap_or(0.0),
        })
    }

    /// Port at which the sidecars of upstreams listen, if their load is asked for.
    pub fn sidecar_port(&self) -> Option<u16> {
        self.sidecar_port
            .count()
            .and_then(|p| u16::try_from(p).ok())
    }

    /// Maximum number of open file descriptors.
    pub fn max_descriptors(&self) -> usize {
        self.max_descriptors.count().unwrap_or(DEFAULT_DESCRIPTORS)
    }
}

impl RankSettings {
    /// Bandwidth of the host's link, in bytes a second.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbps.given().unwrap_or(DEFAULT_LINK_MBPS) * 1e6 / 8.0
    }

    /// Number of sidecars that one sidecar passes a call to the whole group on to.
    pub fn fanout(&self) -> usize {
        self.fanout.count().unwrap_or(DEFAULT_FANOUT)
    }
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
            drain_limit_s: Number::default(),
            log_level: LevelFilter::Info,
            tls: None,
            allow_plain_links: false,
            first_start: false,
            engine: None,
            gateway: None,
            rank: RankSettings::default(),
            unknown: Vec::new(),
            notes: Vec::new(),
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
