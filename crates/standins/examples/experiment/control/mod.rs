//! Cost and speed of membership and configuration by size of the fleet, and recovery.
//!
//! The state machines of all nodes run in one process in virtual time. Message sizes are those of
//! the bincode encoding on the wire, plus the overhead of the transport.

#[path = "../../../../core/tests/fleet_simulation/mod.rs"]
mod fleet_simulation;
mod recovery;

use std::time::{Duration, Instant};

use fleet_simulation::{Machine, Simulation, checks};

use crate::report::Row;
pub use recovery::run as run_recovery;

/// Regions and names of the data centres; the smallest fleet uses only the first three.
const DATA_CENTRES: [(&str, &str); 4] = [
    ("north", "north-1"),
    ("north", "north-2"),
    ("south", "south-1"),
    ("south", "south-2"),
];
/// Numbers of nodes. The first is the reference deployment.
const SIZES: [usize; 4] = [22, 100, 300, 980];
/// Share of entry hosts among the nodes, as planned for the fleet of 980 nodes.
const ENTRY_SHARE: f64 = 380.0 / 980.0;
/// Time for a new fleet to converge before the measurement.
const STARTUP_TIME: Duration = Duration::from_secs(60);
/// Period over which traffic is averaged.
const MEASUREMENT_TIME: Duration = Duration::from_secs(60);
/// Number of hosts killed one after the other to measure detection.
const KILLED_HOSTS: usize = 6;
/// Number of revisions published one after the other to measure propagation.
const PUBLISHED_REVISIONS: usize = 3;

/// Starts a fleet of this size, one process every 20 ms.
pub fn start_fleet(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.decode = false;
    let entries = if nodes == SIZES[0] {
        7
    } else {
        (nodes as f64 * ENTRY_SHARE) as usize
    };
    let data_centre_count = if nodes == SIZES[0] {
        3
    } else {
        DATA_CENTRES.len()
    };
    let seeds: Vec<String> = (0..3).map(|n| format!("10.0.{n}.1:7000")).collect();
    for n in 0..nodes {
        let (region, data_centre) = DATA_CENTRES[n % data_centre_count];
        sim.add(n < entries, region, data_centre, &seeds);
    }
    for n in 0..nodes {
        sim.start(n);
        sim.run(Duration::from_millis(20));
    }
    checks::publish(&mut sim, 1);
    sim
}

/// Measures fleets of all sizes.
pub fn run(seed: u64) -> Vec<Row> {
    SIZES.iter().flat_map(|n| measure(seed, *n)).collect()
}

fn row(metric: &'static str, nodes: usize, value: f64) -> Row {
    Row {
        experiment: "control",
        policy: "eelgrasshold",
        metric,
        x: nodes as f64,
        value,
        extrapolated: false,
    }
}

fn measure(seed: u64, nodes: usize) -> Vec<Row> {
    let memory_before_mb = resident_mb();
    let mut sim = start_fleet(seed, nodes);
    sim.run(STARTUP_TIME);
    let mut rows = steady_state_rows(&mut sim, nodes);
    let memory_mb = (resident_mb() - memory_before_mb).max(0.0) / nodes as f64;
    rows.push(row("rss_mb", nodes, memory_mb));
    rows.push(row("config_s_max", nodes, config_propagation_s(&mut sim)));
    let detection = detection_s_p99(&mut sim);
    rows.push(row("detect_s_p99", nodes, detection));
    rows
}

/// Traffic, processor time and platform calls while no node fails and nothing is published.
fn steady_state_rows(sim: &mut Simulation, nodes: usize) -> Vec<Row> {
    for node in &mut sim.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
    }
    let platform_calls = sim.platform.calls;
    let started_at = Instant::now();
    sim.run(MEASUREMENT_TIME);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let cpu_s = started_at.elapsed().as_secs_f64();
    let sent = |n: &fleet_simulation::Node| n.sent_bytes as f64 / seconds;
    let sent_and_received =
        |n: &fleet_simulation::Node| (n.sent_bytes + n.received_bytes) as f64 / seconds;
    let mean = sim.nodes.iter().map(sent).sum::<f64>() / nodes as f64;
    let max = sim.nodes.iter().map(sent).fold(0.0, f64::max);
    let max_sent_and_received = sim.nodes.iter().map(sent_and_received).fold(0.0, f64::max);
    let platform_calls = (sim.platform.calls - platform_calls) as f64 / seconds;
    vec![
        row("bytes_per_s", nodes, mean),
        row("bytes_per_s_max", nodes, max),
        row("both_ways_bytes_per_s_max", nodes, max_sent_and_received),
        row("cpu_percent", nodes, 100.0 * cpu_s / seconds / nodes as f64),
        row("platform_calls_per_s", nodes, platform_calls),
    ]
}

/// Longest time from the acceptance of a revision until it is in force on all nodes.
fn config_propagation_s(sim: &mut Simulation) -> f64 {
    let mut longest_s = 0.0_f64;
    for _ in 0..PUBLISHED_REVISIONS {
        let started_at = sim.now;
        let revision = checks::publish(sim, 1).first().copied().unwrap_or(0);
        let mut elapsed = Duration::ZERO;
        while checks::in_force_everywhere(sim, revision).is_err()
            && elapsed < Duration::from_secs(60)
        {
            sim.run(Duration::from_millis(50));
            elapsed = sim.now.saturating_sub(started_at);
        }
        longest_s = longest_s.max(elapsed.as_secs_f64());
        sim.run(Duration::from_secs(5));
    }
    longest_s
}

/// 99th percentile, over all pairs of a killed host and a live entry host, of the time until the
/// entry host no longer lists the killed one.
fn detection_s_p99(sim: &mut Simulation) -> f64 {
    let mut detection_times_s: Vec<f64> = Vec::new();
    let entries = sim.nodes.iter().filter(|n| n.is_entry).count();
    for kill in 0..KILLED_HOSTS {
        // Alternates between entry hosts and upstream processes, and spares the seeds.
        let victim = if kill % 2 == 0 {
            3 + kill
        } else {
            entries + kill
        };
        let host = sim.nodes[victim].settings.host.clone();
        sim.kill(victim);
        let started_at = sim.now;
        let mut pending: Vec<usize> = (0..entries).filter(|n| sim.is_alive(*n)).collect();
        while !pending.is_empty() && sim.now < started_at + Duration::from_secs(60) {
            sim.run(Duration::from_millis(100));
            let elapsed = sim.now.saturating_sub(started_at).as_secs_f64();
            pending.retain(|n| {
                let listed = lists_member(sim, *n, &host);
                if !listed {
                    detection_times_s.push(elapsed);
                }
                listed
            });
        }
        detection_times_s.extend(pending.iter().map(|_| 60.0));
        sim.run(Duration::from_secs(3));
    }
    detection_times_s.sort_by(f64::total_cmp);
    let rank = (detection_times_s.len() as f64 * 0.99).ceil() as usize;
    detection_times_s
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(0.0)
}

/// Whether the member list of an entry host has this host in any state but gone.
fn lists_member(sim: &Simulation, entry: usize, host: &str) -> bool {
    let Some(Machine::Entry(machine)) = &sim.nodes[entry].machine else {
        return false;
    };
    let record = machine.record(host);
    record.is_some_and(|r| r.state != eelgrasshold_core::fleet::State::Gone)
}

/// Resident memory of this process in MB; 0 if it cannot be read.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
