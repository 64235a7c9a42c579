//! Usable upstreams during large failures, recovery time, and load on the platform.

use std::time::Duration;

use super::fleet_simulation::platform::PlatformState;
use super::fleet_simulation::{Simulation, checks};
use super::{STARTUP_TIME, start_fleet};
use crate::report::Row;

/// Numbers of nodes. The first is the reference deployment.
const SIZES: [usize; 2] = [22, 100];
const HOUR: Duration = Duration::from_secs(3_600);
/// A run that has not recovered after this time counts as recovered then.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(300);
/// Interval over which the peak rate of platform calls is counted.
const PEAK_INTERVAL: Duration = Duration::from_secs(1);

/// Name, and the function that causes the failure and runs the simulation until it ends.
type Scenario = (&'static str, fn(&mut Simulation));

const SCENARIOS: [Scenario; 6] = [
    ("platform_down_2_h", platform_down),
    ("platform_slow_2_h", platform_slow),
    ("entry_hosts_restarted", restart_entries),
    ("data_centre_lost", stop_data_centre),
    ("regions_apart_1_h", partition_regions),
    ("apart_and_platform_down", partition_with_platform_down),
];

/// Measures all scenarios at all sizes.
pub fn run(seed: u64) -> Vec<Row> {
    let sizes = SIZES.iter();
    sizes
        .flat_map(|n| SCENARIOS.iter().flat_map(move |s| measure(seed, *n, *s)))
        .collect()
}

fn measure(seed: u64, nodes: usize, (policy, inject): Scenario) -> Vec<Row> {
    let mut sim = start_fleet(seed, nodes);
    sim.run(STARTUP_TIME);
    let usable_before = mean_usable_upstreams(&sim);
    let platform_calls = sim.platform.calls;
    let started_at = sim.now;
    inject(&mut sim);
    let usable_ratio = mean_usable_upstreams(&sim) / usable_before;
    let failure_s = sim.now.saturating_sub(started_at).as_secs_f64();
    let platform_calls = (sim.platform.calls - platform_calls) as f64 / failure_s;
    sim.heal();
    start_stopped_nodes(&mut sim);
    let (recovery_s, peak) = measure_recovery(&mut sim);
    let row = |metric, value| Row {
        experiment: "recovery",
        policy,
        metric,
        x: nodes as f64,
        value,
        extrapolated: false,
    };
    vec![
        row("usable_ratio_during", usable_ratio),
        row("platform_calls_per_s_during", platform_calls),
        row("platform_calls_per_s_peak_after", peak),
        row("normal_after_s", recovery_s),
    ]
}

/// Mean number of upstreams that the running entry hosts list as usable.
fn mean_usable_upstreams(sim: &Simulation) -> f64 {
    let entries = sim
        .nodes
        .iter()
        .filter(|n| n.is_entry && n.machine.is_some());
    let usable: Vec<usize> = entries.map(|n| n.upstreams.len()).collect();
    usable.iter().sum::<usize>() as f64 / usable.len().max(1) as f64
}

/// Time in seconds until all views are correct and a revision published at the end of the failure
/// is in force on all nodes, and the peak number of platform calls per second until one minute
/// later.
fn measure_recovery(sim: &mut Simulation) -> (f64, f64) {
    let started_at = sim.now;
    let revision = checks::publish(sim, 1).first().copied().unwrap_or(0);
    let mut recovered_at = None;
    let mut peak = 0_u64;
    while sim.now < started_at + MAX_RECOVERY_TIME {
        let platform_calls = sim.platform.calls;
        sim.run(PEAK_INTERVAL);
        peak = peak.max(sim.platform.calls - platform_calls);
        let converged =
            checks::views(sim).is_ok() && checks::in_force_everywhere(sim, revision).is_ok();
        if converged && recovered_at.is_none() {
            recovered_at = Some(sim.now);
        }
        if recovered_at.is_some_and(|at| sim.now >= at + Duration::from_secs(60)) {
            break;
        }
    }
    let time = recovered_at.map_or(MAX_RECOVERY_TIME, |at| at.saturating_sub(started_at));
    (time.as_secs_f64(), peak as f64)
}

fn platform_down(sim: &mut Simulation) {
    sim.platform.state = PlatformState::Down;
    sim.run(2 * HOUR);
}

fn platform_slow(sim: &mut Simulation) {
    sim.platform.state = PlatformState::Slow;
    sim.run(2 * HOUR);
}

/// All entry hosts restart within a minute and lose their state.
fn restart_entries(sim: &mut Simulation) {
    let entries: Vec<usize> = (0..sim.nodes.len())
        .filter(|n| sim.nodes[*n].is_entry)
        .collect();
    let interval = Duration::from_secs(60) / entries.len() as u32;
    for n in entries {
        sim.start(n);
        sim.run(interval);
    }
}

/// All nodes of one data centre are down for ten minutes.
fn stop_data_centre(sim: &mut Simulation) {
    let lost = sim.nodes[sim.nodes.len() - 1].settings.data_centre.clone();
    let is_lost = |sim: &Simulation, n: usize| sim.nodes[n].settings.data_centre == lost;
    let members: Vec<usize> = (0..sim.nodes.len()).filter(|n| is_lost(sim, *n)).collect();
    for n in members {
        sim.kill(n);
    }
    sim.run(Duration::from_secs(600));
}

fn start_stopped_nodes(sim: &mut Simulation) {
    let stopped: Vec<usize> = (0..sim.nodes.len()).filter(|n| !sim.is_alive(*n)).collect();
    for n in stopped {
        sim.start(n);
    }
}

fn partition_regions(sim: &mut Simulation) {
    sim.net.regions_cut = true;
    sim.run(HOUR);
}

fn partition_with_platform_down(sim: &mut Simulation) {
    sim.net.regions_cut = true;
    sim.platform.state = PlatformState::Down;
    sim.run(HOUR);
}
