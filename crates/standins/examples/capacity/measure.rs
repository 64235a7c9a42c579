//! One run: measures an idle fleet, then a configuration change, then the failure of a host.

use std::error::Error;
use std::time::{Duration, Instant};

use eelgrasshold_net::admin::Status;
use eelgrasshold_standins::client::Client;
use eelgrasshold_standins::process::Daemon;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::Row;
use crate::cli::Args;
use crate::fleet::DaemonFleet;
use crate::proc::{cpu_time, resident_mb};

/// Interval between two polls of all daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one condition; the first start of a large fleet takes minutes.
const WAIT_LIMIT: Duration = Duration::from_secs(300);

/// Processor time and control traffic of one daemon since its start.
struct Usage {
    cpu: Duration,
    control_bytes: u64,
}

/// Starts the daemons, measures, and stops all daemons.
pub async fn run(args: &Args, processes: usize) -> Result<Vec<Row>, Box<dyn Error>> {
    let fleet = DaemonFleet::start(&args.daemon, processes, args.teams).await?;
    let rows = measure(args, &fleet, processes).await;
    fleet.close().await;
    rows
}

async fn measure(
    args: &Args,
    fleet: &DaemonFleet,
    processes: usize,
) -> Result<Vec<Row>, Box<dyn Error>> {
    let client = Client::new();
    let mut rows = Vec::new();
    let mut add = |metric: String, value: f64| {
        rows.push(Row {
            experiment: "capacity",
            policy: "eelgrasshold",
            metric,
            x: processes,
            value,
        });
    };
    let ready = wait_until(|| all_members_known(&client, fleet, processes)).await;
    add(
        "ready_s".into(),
        ready
            .ok_or("the fleet did not become ready in time")?
            .as_secs_f64(),
    );
    let before = usages(&client, fleet).await;
    let calls_before = platform_calls(fleet);
    let start = Instant::now();
    tokio::time::sleep(args.measurement).await;
    let after = usages(&client, fleet).await;
    let seconds = start.elapsed().as_secs_f64();
    for (role, range) in [
        ("entry", 0..fleet.entries.len()),
        ("upstream", fleet.entries.len()..processes),
    ] {
        let cpu = range
            .clone()
            .map(|n| after[n].cpu.saturating_sub(before[n].cpu).as_secs_f64() / seconds);
        add(
            format!("{role}_cpu_percent_mean"),
            100.0 * mean(cpu.clone()),
        );
        add(
            format!("{role}_cpu_percent_max"),
            100.0 * cpu.fold(0.0, f64::max),
        );
        let bytes = range.clone().map(|n| {
            let bytes = after[n]
                .control_bytes
                .saturating_sub(before[n].control_bytes);
            bytes as f64 / seconds
        });
        add(format!("{role}_bytes_per_s_mean"), mean(bytes.clone()));
        add(format!("{role}_bytes_per_s_max"), bytes.fold(0.0, f64::max));
        let daemons = if role == "entry" {
            &fleet.entries
        } else {
            &fleet.upstreams
        };
        let memory = daemons
            .iter()
            .filter_map(|daemon| resident_mb(daemon.pid()));
        add(format!("{role}_rss_mb_max"), memory.fold(0.0, f64::max));
    }
    add(
        "platform_calls_per_s".into(),
        (platform_calls(fleet) - calls_before) as f64 / seconds,
    );
    let calls_before = platform_calls(fleet);
    let revision = fleet.publish(args.teams, 2).await?;
    let propagation = wait_until(|| all_have_revision(&client, fleet, revision)).await;
    add(
        "config_s_max".into(),
        propagation
            .ok_or("the configuration did not reach all daemons in time")?
            .as_secs_f64(),
    );
    add(
        "config_platform_calls".into(),
        (platform_calls(fleet) - calls_before) as f64,
    );
    let victim = &fleet.entries[fleet.entries.len() - 1];
    victim.signal("KILL")?;
    let survivors = &fleet.entries[..fleet.entries.len() - 1];
    let detection = wait_until(|| all_noticed_loss(&client, survivors, processes)).await;
    add(
        "detect_s_max".into(),
        detection
            .ok_or("the failed host was still listed as live at the end of the wait")?
            .as_secs_f64(),
    );
    Ok(rows)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    sum / f64::from(count.max(1))
}

fn platform_calls(fleet: &DaemonFleet) -> u64 {
    let counters = fleet.platform.counters();
    counters.reads() + counters.writes()
}

/// Time until the condition holds; none if it does not hold within [`WAIT_LIMIT`].
async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if condition().await {
            return Some(start.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

async fn statuses<'a>(
    client: &Client,
    daemons: impl Iterator<Item = &'a Daemon>,
) -> Vec<Option<Status>> {
    let polls = daemons
        .enumerate()
        .map(|(n, daemon)| async move { (n, daemon.status(client).await) });
    let mut answers: Vec<_> = polls.collect::<FuturesUnordered<_>>().collect().await;
    answers.sort_by_key(|(n, _)| *n);
    answers.into_iter().map(|(_, status)| status).collect()
}

async fn usages(client: &Client, fleet: &DaemonFleet) -> Vec<Usage> {
    let statuses = statuses(client, fleet.all()).await;
    let usages = fleet.all().zip(statuses).map(|(daemon, status)| {
        let status = status.unwrap_or_default();
        Usage {
            cpu: cpu_time(daemon.pid()).unwrap_or_default(),
            control_bytes: status.control_sent_bytes + status.control_received_bytes,
        }
    });
    usages.collect()
}

async fn all_members_known(client: &Client, fleet: &DaemonFleet, processes: usize) -> bool {
    let statuses = statuses(client, fleet.entries.iter()).await;
    let has_all_members =
        |s: Option<Status>| s.is_some_and(|s| s.ready && s.members.len() == processes);
    statuses.into_iter().all(has_all_members)
}

async fn all_have_revision(client: &Client, fleet: &DaemonFleet, revision: u64) -> bool {
    let statuses = statuses(client, fleet.all()).await;
    statuses
        .into_iter()
        .all(|s| s.is_some_and(|s| s.revision >= revision))
}

async fn all_noticed_loss(client: &Client, entries: &[Daemon], processes: usize) -> bool {
    let statuses = statuses(client, entries.iter()).await;
    let live = |s: &Status| s.members.iter().filter(|m| m.state == "live").count();
    statuses
        .into_iter()
        .all(|s| s.is_some_and(|s| live(&s) < processes))
}
