//! Cost and speed of membership and configuration over the size of the fleet, and recovery.
//!
//! The real machines of all nodes run in one process in virtual time. Sizes
//! are those of bincode as on the wire, plus what carries a message.

#[path = "../../../../core/tests/fleet_simulation/mod.rs"]
mod fleet_simulation;
mod recovery;

use std::time::{Duration, Instant};

use fleet_simulation::{Machine, Simulation, checks};

use crate::report::Row;
pub use recovery::run as run_recovery;

/// Data centres of the larger fleet, with their regions.
const CENTRES: [(&str, &str); 4] = [
    ("north", "north-1"),
    ("north", "north-2"),
    ("south", "south-1"),
    ("south", "south-2"),
];
/// Nodes of the runs. The first is today's fleet.
const SIZES: [usize; 4] = [22, 100, 300, 980];
/// Share of entry hosts among the nodes, as expected in two years.
const ENTRY_SHARE: f64 = 380.0 / 980.0;
/// Time for a new fleet to come together before anything is measured.
const START: Duration = Duration::from_secs(60);
/// Time over which traffic is measured.
const MEASURED: Duration = Duration::from_secs(60);
/// Hosts killed one after the other.
const KILLS: usize = 6;
/// Revisions published one after the other.
const PUBLICATIONS: usize = 3;

/// Starts a fleet of a size, one process every few milliseconds.
pub fn fleet(seed: u64, nodes: usize) -> Simulation {
    let mut world = Simulation::new(seed);
    world.decode = false;
    let entries = if nodes == SIZES[0] {
        7
    } else {
        (nodes as f64 * ENTRY_SHARE) as usize
    };
    let centres = if nodes == SIZES[0] { 3 } else { CENTRES.len() };
    let seeds: Vec<String> = (0..3).map(|n| format!("10.0.{n}.1:7000")).collect();
    for n in 0..nodes {
        let (region, centre) = CENTRES[n % centres];
        world.add(n < entries, region, centre, &seeds);
    }
    for n in 0..nodes {
        world.start(n);
        world.run(Duration::from_millis(20));
    }
    checks::publish(&mut world, 1);
    world
}

/// Measures each size.
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
    let memory_before = resident_mb();
    let mut world = fleet(seed, nodes);
    world.run(START);
    let mut rows = steady(&mut world, nodes);
    let memory = (resident_mb() - memory_before).max(0.0) / nodes as f64;
    rows.push(row("rss_mb", nodes, memory));
    rows.push(row("config_s_max", nodes, configurations(&mut world)));
    let detection = detections(&mut world);
    rows.push(row("detect_s_p99", nodes, detection));
    rows
}

/// Traffic, processor time and calls to the platform while nothing happens.
fn steady(world: &mut Simulation, nodes: usize) -> Vec<Row> {
    for node in &mut world.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
    }
    let calls = world.platform.calls;
    let began = Instant::now();
    world.run(MEASURED);
    let seconds = MEASURED.as_secs_f64();
    let busy = began.elapsed().as_secs_f64();
    let sent = |n: &fleet_simulation::Node| n.sent_bytes as f64 / seconds;
    let both = |n: &fleet_simulation::Node| (n.sent_bytes + n.received_bytes) as f64 / seconds;
    let mean = world.nodes.iter().map(sent).sum::<f64>() / nodes as f64;
    let most = world.nodes.iter().map(sent).fold(0.0, f64::max);
    let most_both = world.nodes.iter().map(both).fold(0.0, f64::max);
    let calls = (world.platform.calls - calls) as f64 / seconds;
    vec![
        row("bytes_per_s", nodes, mean),
        row("bytes_per_s_max", nodes, most),
        row("both_ways_bytes_per_s_max", nodes, most_both),
        row("cpu_percent", nodes, 100.0 * busy / seconds / nodes as f64),
        row("platform_calls_per_s", nodes, calls),
    ]
}

/// Longest time from the acceptance of a revision until it is in force everywhere.
fn configurations(world: &mut Simulation) -> f64 {
    let mut longest = 0.0_f64;
    for _ in 0..PUBLICATIONS {
        let began = world.now;
        let revision = checks::publish(world, 1).first().copied().unwrap_or(0);
        let mut waited = Duration::ZERO;
        while checks::in_force_everywhere(world, revision).is_err()
            && waited < Duration::from_secs(60)
        {
            world.run(Duration::from_millis(50));
            waited = world.now.saturating_sub(began);
        }
        longest = longest.max(waited.as_secs_f64());
        world.run(Duration::from_secs(5));
    }
    longest
}

/// Time from the death of a host until each live entry host lists it no more, 99 in 100 of all
/// pairs of a dead host and an entry host.
fn detections(world: &mut Simulation) -> f64 {
    let mut times: Vec<f64> = Vec::new();
    let entries = world.nodes.iter().filter(|n| n.is_entry).count();
    for kill in 0..KILLS {
        // Entry hosts and upstream processes in turn, no seeds.
        let victim = if kill % 2 == 0 {
            3 + kill
        } else {
            entries + kill
        };
        let host = world.nodes[victim].settings.host.clone();
        world.kill(victim);
        let began = world.now;
        let mut waiting: Vec<usize> = (0..entries).filter(|n| world.is_alive(*n)).collect();
        while !waiting.is_empty() && world.now < began + Duration::from_secs(60) {
            world.run(Duration::from_millis(100));
            let waited = world.now.saturating_sub(began).as_secs_f64();
            waiting.retain(|n| {
                let listed = lists(world, *n, &host);
                if !listed {
                    times.push(waited);
                }
                listed
            });
        }
        times.extend(waiting.iter().map(|_| 60.0));
        world.run(Duration::from_secs(3));
    }
    times.sort_by(f64::total_cmp);
    let rank = (times.len() as f64 * 0.99).ceil() as usize;
    times.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Whether an entry host lists a member as usable.
fn lists(world: &Simulation, index: usize, host: &str) -> bool {
    let Some(Machine::Entry(machine)) = &world.nodes[index].machine else {
        return false;
    };
    let record = machine.record(host);
    record.is_some_and(|r| r.state != eelgrasshold_core::fleet::State::Gone)
}

/// Memory of this process in MB; 0 if the system doesn't tell.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
