//! Start and stop of a rank's sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::gateway::registry::Upstream;
use eelgrasshold_core::gateway::routes::{EngineProfile, ExpertLayout};
use eelgrasshold_core::platform::{KindCall, KindReply, Pages, StoredObject};
use eelgrasshold_core::ranks::LeaderSettings;
use eelgrasshold_core::types::{HostId, ServiceId};
use eelgrasshold_platform::store::{CONFIG_KIND, CONFIG_NAME, SERVERS_KIND};
use eelgrasshold_platform::{route_table, servers};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::group::{Candidate, Group, Surroundings};
use super::load_reports;
use super::local::LocalRank;
use super::overlay::{Links, Overlay};
use crate::gateway::{platform_client, serve_metrics};
use crate::host::StartError;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::runtime::{Clock, Timeline};

/// Mean interval of reads of the configuration until it describes the engine. Each read costs the
/// platform a fraction of a call, for each sidecar.
const PROFILE_RETRY_INTERVAL: Duration = Duration::from_millis(1_400);
/// Maximum number of pages read of one list of objects.
const MAX_PAGES: usize = 64;

/// Start options of a rank's sidecar.
#[derive(Clone, Debug)]
pub struct RankOptions {
    /// Address of the local engine.
    pub engine: SocketAddr,
    /// Service to which the engine belongs, as named in the configuration.
    pub service: ServiceId,
    /// Address for the sidecars of other ranks, which listen on the same port.
    pub peers: SocketAddr,
    /// Base URL of the platform's store, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// Bandwidth of the host's link, in bytes a second, of which control traffic takes a small share.
    pub link_bytes_per_s: f64,
    /// Number of sidecars that one sidecar passes a call on to.
    pub fanout: usize,
    /// Whether the fleet starts for the first time, so that no order of an earlier incarnation can
    /// still arrive.
    pub first_start: bool,
    /// Name of the process in logs and the event timeline.
    pub host: HostId,
    /// Address of the listener for metrics; without one, metrics are not served.
    pub metrics: Option<SocketAddr>,
}

/// A running sidecar of a rank.
#[derive(Debug)]
pub struct RankHost {
    tasks: Vec<JoinHandle<()>>,
    address: SocketAddr,
}

impl RankHost {
    /// Binds the listeners and starts the sidecar's tasks.
    ///
    /// # Errors
    ///
    /// If a listener can't be bound.
    pub async fn start(options: RankOptions) -> Result<Self, StartError> {
        let address = options.peers;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| StartError::Listen { address, source })?;
        let address = listener.local_addr().unwrap_or(address);
        let reports = UdpSocket::bind(address)
            .await
            .map_err(|source| StartError::Listen { address, source })?;
        let metrics = Metrics::new()?;
        let mut tasks = Vec::new();
        if let Some(address) = options.metrics {
            tasks.push(serve_metrics(address, metrics.clone()).await?);
        }
        tasks.push(tokio::spawn(run(options, listener, reports, metrics)));
        Ok(Self { tasks, address })
    }

    /// Bound address for the sidecars of other ranks.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once. The sidecar of another rank completes a rollout in progress.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn run(options: RankOptions, listener: TcpListener, reports: UdpSocket, metrics: Metrics) {
    let clock = Clock::start();
    let timeline = Timeline::logging_all(options.host.clone(), Some(metrics), clock);
    let event = Event::new(EventKind::DaemonStarted, "rank")
        .with("engine", options.engine.to_string())
        .with("service", options.service.as_str())
        .with("platform", options.platform.as_str());
    timeline.record(event);
    let platform = platform_client(&options.platform, clock, rand::random());
    let (profile, layout) = read_profile(&platform, &options.service).await;
    let settings = LeaderSettings {
        layout,
        fixed_pass: profile.step * profile.steps_per_pass,
        first_start: options.first_start,
        started_ms: unix_ms(),
        link_bytes_per_s: options.link_bytes_per_s,
        fanout: options.fanout,
        seed: rand::random(),
    };
    let (sets, experts) = (settings.layout.sets, settings.layout.experts);
    let local = LocalRank::new(
        clock,
        &options.service,
        options.engine,
        sets as usize,
        experts as usize,
    );
    let (local, links) = (Arc::new(local), Arc::new(Links::default()));
    let reports = load_reports::publish(clock, Arc::clone(&local), reports);
    let (outputs_tx, mut outputs) = mpsc::unbounded_channel();
    let (inputs_tx, mut inputs) = mpsc::unbounded_channel();
    let overlay = Overlay::new(
        Arc::clone(&local),
        Arc::clone(&links),
        options.fanout,
        inputs_tx,
    );
    let surroundings = Surroundings {
        clock,
        timeline,
        local,
        links,
        sidecar: options.peers,
        report_lag: profile.report_lag,
    };
    let group = Arc::new(Group::new(surroundings, settings, outputs_tx));
    let events = {
        let group = Arc::clone(&group);
        async move {
            loop {
                tokio::select! {
                    Some((name, outputs)) = outputs.recv() => group.execute_outputs(&name, outputs),
                    Some(input) = inputs.recv() => group.handle_input(input),
                    else => break,
                }
            }
        }
    };
    let list = || candidates(&platform, &options);
    tokio::join!(
        Arc::clone(&group).run(),
        Arc::clone(&group).search(list),
        overlay.listen(listener),
        events,
        reports,
    );
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Reads the configuration until it describes the service's engine and its experts.
async fn read_profile(platform: &Platform, service: &str) -> (EngineProfile, ExpertLayout) {
    loop {
        let objects = list(platform, CONFIG_KIND).await;
        let main = objects.iter().find(|o| o.name == CONFIG_NAME);
        match main.map(|o| route_table::route_table(&o.value)) {
            Some(Ok(table)) => {
                let engine = table.services.get(service).and_then(|s| s.engine.clone());
                if let Some(engine) = engine
                    && let Some(layout) = engine.experts.clone()
                {
                    return (engine, layout);
                }
                log::info!("the configuration has no expert layout for service {service} yet");
            }
            Some(Err(error)) => log::warn!("can't decode the configuration: {error}"),
            None => log::info!("no configuration is published yet"),
        }
        tokio::time::sleep(PROFILE_RETRY_INTERVAL.mul_f64(rand::random_range(0.7..1.5))).await;
    }
}

/// The engines of the service in the registry, with the addresses of their sidecars.
async fn candidates(platform: &Platform, options: &RankOptions) -> Vec<Candidate> {
    let objects = list(platform, SERVERS_KIND).await;
    let listed = objects.iter().filter_map(|o| servers::upstream(o).ok());
    let of_service = listed.filter(|u| u.service == options.service);
    let candidate = |upstream: Upstream| Candidate {
        engine: upstream.address,
        sidecar: SocketAddr::new(upstream.address.ip(), options.peers.port()),
        data_centre: upstream.data_centre,
    };
    of_service.map(candidate).collect()
}

/// The objects of a kind, which may be stale by seconds, since a stale read costs the platform a
/// tenth of a current one. Callers repeat the read if something is missing.
async fn list(platform: &Platform, kind: &str) -> Vec<StoredObject> {
    let mut pages = Pages::default();
    for _ in 0..MAX_PAGES {
        let call = KindCall::List {
            kind: kind.to_owned(),
            after: pages.after().cloned(),
            stale: true,
        };
        let added = match platform.call_kind(&call).await {
            KindReply::Items { items, more, .. } => pages.add(items, more),
            other => Err(format!("{other:?}")),
        };
        match added {
            Ok(true) => {}
            Ok(false) => break,
            Err(reason) => {
                log::info!("can't list objects of kind `{kind}`: {reason}");
                break;
            }
        }
    }
    pages.into_objects()
}
