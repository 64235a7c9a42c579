//! What goes on during large failures, the load on the platform on return, the time to normal.

use std::time::Duration;

use super::fleet_simulation::platform::PlatformState;
use super::fleet_simulation::{Simulation, checks};
use super::{START, fleet};
use crate::report::Row;

/// Nodes of the runs: today's fleet and one of a hundred.
const SIZES: [usize; 2] = [22, 100];
const HOUR: Duration = Duration::from_secs(3_600);
/// Longest time to normal that is waited for.
const LIMIT: Duration = Duration::from_secs(300);
/// Step in which the peak of calls is counted.
const STEP: Duration = Duration::from_secs(1);

type Scenario = (&'static str, fn(&mut Simulation));

const SCENARIOS: [Scenario; 6] = [
    ("platform_down_2_h", platform_down),
    ("platform_slow_2_h", platform_slow),
    ("entry_hosts_restarted", restart_entries),
    ("data_centre_lost", lose_centre),
    ("regions_apart_1_h", part_regions),
    ("apart_and_platform_down", part_and_down),
];

/// Measures each scenario.
pub fn run(seed: u64) -> Vec<Row> {
    let sizes = SIZES.iter();
    sizes
        .flat_map(|n| SCENARIOS.iter().flat_map(move |s| measure(seed, *n, *s)))
        .collect()
}

fn measure(seed: u64, nodes: usize, (policy, fail): Scenario) -> Vec<Row> {
    let mut world = fleet(seed, nodes);
    world.run(START);
    let before = served(&world);
    let calls = world.platform.calls;
    let began = world.now;
    fail(&mut world);
    let during = served(&world) / before;
    let failed_s = world.now.saturating_sub(began).as_secs_f64();
    let calls = (world.platform.calls - calls) as f64 / failed_s;
    world.heal();
    start_dead(&mut world);
    let (normal, peak) = recover(&mut world);
    let row = |metric, value| Row {
        experiment: "recovery",
        policy,
        metric,
        x: nodes as f64,
        value,
        extrapolated: false,
    };
    vec![
        row("usable_ratio_during", during),
        row("platform_calls_per_s_during", calls),
        row("platform_calls_per_s_peak_after", peak),
        row("normal_after_s", normal),
    ]
}

/// Upstreams that the live entry hosts show, as a mean over the entry hosts.
fn served(world: &Simulation) -> f64 {
    let live = world
        .nodes
        .iter()
        .filter(|n| n.is_entry && n.machine.is_some());
    let shown: Vec<usize> = live.map(|n| n.upstreams.len()).collect();
    shown.iter().sum::<usize>() as f64 / shown.len().max(1) as f64
}

/// Time until all views are right and a revision published at the end of the failure is in
/// force everywhere, and the peak of calls a second until then and a minute more.
fn recover(world: &mut Simulation) -> (f64, f64) {
    let began = world.now;
    let revision = checks::publish(world, 1).first().copied().unwrap_or(0);
    let mut normal = None;
    let mut peak = 0_u64;
    while world.now < began + LIMIT {
        let calls = world.platform.calls;
        world.run(STEP);
        peak = peak.max(world.platform.calls - calls);
        let right =
            checks::views(world).is_ok() && checks::in_force_everywhere(world, revision).is_ok();
        if right && normal.is_none() {
            normal = Some(world.now);
        }
        if normal.is_some_and(|at| world.now >= at + Duration::from_secs(60)) {
            break;
        }
    }
    let time = normal.map_or(LIMIT, |at| at.saturating_sub(began));
    (time.as_secs_f64(), peak as f64)
}

fn platform_down(world: &mut Simulation) {
    world.platform.state = PlatformState::Down;
    world.run(2 * HOUR);
}

fn platform_slow(world: &mut Simulation) {
    world.platform.state = PlatformState::Slow;
    world.run(2 * HOUR);
}

/// All entry hosts start again with empty memory within a minute.
fn restart_entries(world: &mut Simulation) {
    let entries: Vec<usize> = (0..world.nodes.len())
        .filter(|n| world.nodes[*n].is_entry)
        .collect();
    let pause = Duration::from_secs(60) / entries.len() as u32;
    for n in entries {
        world.start(n);
        world.run(pause);
    }
}

/// One data centre is dead for ten minutes.
fn lose_centre(world: &mut Simulation) {
    let lost = world.nodes[world.nodes.len() - 1]
        .settings
        .data_centre
        .clone();
    let there = |w: &Simulation, n: usize| w.nodes[n].settings.data_centre == lost;
    let members: Vec<usize> = (0..world.nodes.len())
        .filter(|n| there(world, *n))
        .collect();
    for n in members {
        world.kill(n);
    }
    world.run(Duration::from_secs(600));
}

fn start_dead(world: &mut Simulation) {
    let dead: Vec<usize> = (0..world.nodes.len())
        .filter(|n| !world.is_alive(*n))
        .collect();
    for n in dead {
        world.start(n);
    }
}

fn part_regions(world: &mut Simulation) {
    world.net.regions_cut = true;
    world.run(HOUR);
}

fn part_and_down(world: &mut Simulation) {
    world.net.regions_cut = true;
    world.platform.state = PlatformState::Down;
    world.run(HOUR);
}
