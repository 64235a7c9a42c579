//! The daemons of one run, with a simulated platform and a plain service.

use std::net::SocketAddr;
use std::path::Path;

use eelgrasshold_core::config::{Config, PublishOutcome, Team};
use eelgrasshold_net::platform::{Platform as PlatformClient, publish_config, read_config};
use eelgrasshold_standins::fleet::{RESERVATIONS, sample_config};
use eelgrasshold_standins::plain::PlainService;
use eelgrasshold_standins::platform::Platform;
use eelgrasshold_standins::process::{Daemon, DaemonBuilder};

/// Share of entry hosts among all processes, as planned for a fleet of 980 nodes.
const ENTRY_SHARE: f64 = 380.0 / 980.0;
/// Data centres, assigned to the processes round-robin.
const DATA_CENTRES: [&str; 4] = ["erie-1", "huron-1", "superior-1", "superior-2"];

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// All daemons and services of a run.
pub struct DaemonFleet {
    /// Simulated platform that all daemons use.
    pub platform: Platform,
    /// Daemons that are entry hosts.
    pub entries: Vec<Daemon>,
    /// Daemons that are upstream processes of the plain service.
    pub upstreams: Vec<Daemon>,
    plain: PlainService,
}

impl DaemonFleet {
    /// Starts `processes` daemons, of which all upstream processes forward to one plain service.
    pub async fn start(binary: &Path, processes: usize, teams: usize) -> Fallible<Self> {
        let mut fleet = Self {
            platform: Platform::builder().start()?,
            entries: Vec::new(),
            upstreams: Vec::new(),
            plain: PlainService::builder().start()?,
        };
        fleet.publish(teams, 1).await?;
        let entries = ((processes as f64 * ENTRY_SHARE).round() as usize).max(2);
        for n in 0..processes {
            let seeds = fleet.seeds();
            let is_entry = n < entries;
            let (role, kind) = if is_entry {
                ("entry", "entry")
            } else {
                ("upstream", "up")
            };
            let builder = DaemonBuilder::new(binary, role, &format!("{kind}-{n:03}"), &fleet.url())
                .data_centre(DATA_CENTRES[n % DATA_CENTRES.len()])
                .seeds(&seeds);
            if is_entry {
                fleet.entries.push(builder.start()?);
            } else {
                let builder = builder.engine(fleet.plain.address(), RESERVATIONS, "plain");
                fleet.upstreams.push(builder.start()?);
            }
        }
        Ok(fleet)
    }

    /// Base URL of the platform.
    pub fn url(&self) -> String {
        format!("http://{}", self.platform.address())
    }

    /// Publishes a configuration with `teams` teams, the first one with `weight`, and returns its
    /// revision.
    pub async fn publish(&self, teams: usize, weight: u32) -> Fallible<u64> {
        let mut cfg: Config = sample_config();
        for n in 0..teams {
            let team = Team {
                weight,
                requests_per_s: Some(10.0),
            };
            cfg.teams.insert(
                format!("team-{n:05}"),
                if n == 0 { team } else { Team::default() },
            );
        }
        let client = PlatformClient::for_operator(&self.url());
        let base = read_config(&client).await?;
        match publish_config(&client, base, cfg, 0).await {
            PublishOutcome::Accepted(revision) => Ok(revision),
            other => Err(format!("the configuration was not published: {other:?}").into()),
        }
    }

    /// All daemons, entry hosts first.
    pub fn all(&self) -> impl Iterator<Item = &Daemon> {
        self.entries.iter().chain(&self.upstreams)
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .take(3)
            .map(|daemon| daemon.control)
            .collect()
    }

    /// Stops all daemons and services.
    pub async fn close(self) {
        drop((self.entries, self.upstreams));
        self.plain.close().await;
        self.platform.close().await;
    }
}
