//! Simulation of a group that runs in lock-step under a planning policy.

use std::time::Duration;

use eelgrasshold_core::group::map::{ExpertMap, LayerMap, WHOLE_SHARE};
use eelgrasshold_core::group::planner::{Planner, PlannerSettings, full_layer};
use eelgrasshold_core::group::popularity::Popularity;

use super::bound::min_layer_time;
use super::trace::{EXPERTS, LAYERS, Trace};

/// Number of steps in a run.
pub const STEPS: usize = 2_000;
/// Step at which the popularity shifts.
const SHIFT_STEP: usize = 1_000;
/// Number of steps after the popularity shift that [`Outcome::over_bound_settled`] leaves out.
const SETTLING_STEPS: usize = 100;
/// Number of steps in a report, which is used one report later. With 58 layers, a report every
/// half second costs 2 KB per second.
const REPORT_STEPS: usize = 20;
/// Number of steps between the end of loading and the switch: 0.2 s for three messages.
const SWITCH_MARGIN_STEPS: usize = 8;
/// Number of steps that a rank takes to load one weight: 44 MB at 0.9 GB/s, in steps of 24 ms.
const STEPS_PER_LOAD: usize = 2;
/// Share of its speed that a rank loses while it loads weights.
const LOAD_SLOWDOWN: f64 = 0.1;
const STEP_TIME: Duration = Duration::from_millis(24);
/// Number of weights that a rank can hold in addition to those of its map.
const STAGING_PER_RANK: u32 = 16;
/// Step from which the straggler runs at half speed.
const STRAGGLER_START_STEP: usize = 500;
/// The group has recovered from the popularity shift once the skew stays below this for
/// [`RECOVERED_STEPS`].
const RECOVERED_SKEW: f64 = 1.2;
const RECOVERED_STEPS: usize = 20;

/// Way in which the expert map is replanned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Keeps the initial map.
    Static,
    /// Plans a new map from scratch as soon as the previous one is in force.
    FullReplan,
    /// The planner of the core crate.
    Planned,
}

impl Policy {
    pub const ALL: [Self; 3] = [Self::Static, Self::FullReplan, Self::Planned];

    /// Name of the policy in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::FullReplan => "full_replan",
            Self::Planned => "eelgrasshold",
        }
    }
}

/// Results of a run.
pub struct Outcome {
    /// Time of the slowest rank divided by the mean rank time, by step.
    pub skew: Vec<f64>,
    /// Total time divided by its lower bound, over all steps; with a straggler, from
    /// [`STRAGGLER_START_STEP`] on.
    pub over_bound: f64,
    /// Like `over_bound`, without the [`SETTLING_STEPS`] after the popularity shift.
    pub over_bound_settled: f64,
    /// Number of weights loaded.
    pub loads: usize,
    /// Number of steps after the popularity shift until the skew stays low; none if it never does.
    pub recovery_steps: Option<usize>,
    /// Number of map switches.
    pub switches: usize,
}

/// Tokens of each expert by layer, and tokens and busy time of each rank.
type Report = (Vec<Vec<u64>>, Vec<(u64, Duration)>);

/// A switch in progress.
struct Switch {
    layers: Vec<LayerMap>,
    /// Step at which each rank has loaded its weights.
    loading_until: Vec<usize>,
    /// Step at which the new map takes effect.
    at: usize,
}

struct Group {
    policy: Policy,
    map: ExpertMap,
    slots: usize,
    planner: Planner,
    popularity: Vec<Popularity>,
    switch: Option<Switch>,
    loads: usize,
    switches: usize,
}

/// Skew of each step, and sums of step times and of their lower bounds.
#[derive(Default)]
struct Meter {
    straggler: bool,
    skew: Vec<f64>,
    time: f64,
    min_time: f64,
    settled_time: f64,
    settled_min_time: f64,
}

impl Meter {
    fn add(&mut self, step: usize, slowest: f64, mean: f64, min_time: f64) {
        self.skew.push(slowest / mean);
        if self.straggler && step < STRAGGLER_START_STEP {
            return;
        }
        self.time += slowest;
        self.min_time += min_time;
        if !(SHIFT_STEP..SHIFT_STEP + SETTLING_STEPS).contains(&step) {
            self.settled_time += slowest;
            self.settled_min_time += min_time;
        }
    }
}

/// Counts since the last report: tokens by layer and expert, and tokens and time by rank.
struct Window {
    counts: Vec<Vec<f64>>,
    work: Vec<(f64, f64)>,
}

impl Window {
    fn new(ranks: usize) -> Self {
        Self {
            counts: vec![vec![0.0; EXPERTS]; LAYERS],
            work: vec![(0.0, 0.0); ranks],
        }
    }

    /// Adds a layer of a step; returns the time of the slowest rank and the mean rank time.
    fn add(&mut self, layer: usize, counts: &[f64], loads: &[f64], speeds: &[f64]) -> (f64, f64) {
        let (mut slowest, mut sum): (f64, f64) = (0.0, 0.0);
        for ((load, speed), work) in loads.iter().zip(speeds).zip(&mut self.work) {
            let time = load / speed;
            slowest = slowest.max(time);
            sum += time;
            work.0 += load;
            work.1 += time;
        }
        for (total, count) in self.counts[layer].iter_mut().zip(counts) {
            *total += count;
        }
        (slowest, sum / loads.len() as f64)
    }

    fn report(self) -> Report {
        let layer = |l: Vec<f64>| l.into_iter().map(|c| c as u64).collect();
        let rank = |(l, t): (f64, f64)| (l as u64, Duration::from_secs_f64(t / 1e6));
        let counts = self.counts.into_iter().map(layer).collect();
        (counts, self.work.into_iter().map(rank).collect())
    }
}

/// Simulates a policy on the trace of a seed.
pub fn run(
    policy: Policy,
    seed: u64,
    ranks: usize,
    tokens_per_rank: usize,
    straggler: bool,
) -> Outcome {
    let mut trace = Trace::new(seed, ranks, tokens_per_rank);
    let slots = EXPERTS / ranks * 9 / 8;
    let mut group = Group::new(policy, ranks, slots, &trace.step());
    let mut window = Window::new(ranks);
    let mut previous_report: Option<Report> = None;
    let mut meter = Meter {
        straggler,
        ..Meter::default()
    };
    for step in 0..STEPS {
        if step == SHIFT_STEP {
            trace.shift();
        }
        let mut speeds = vec![1.0; ranks];
        if straggler && step >= STRAGGLER_START_STEP {
            speeds[0] = 0.5;
        }
        group.advance(step);
        let effective_speeds = group.loading_speeds(step, &speeds);
        let (mut slowest, mut mean, mut min_time) = (0.0, 0.0, 0.0);
        for (layer, counts) in trace.step().iter().enumerate() {
            let loads = rank_loads(&group.map.layers[layer], counts);
            let times = window.add(layer, counts, &loads, &effective_speeds);
            slowest += times.0;
            mean += times.1;
            min_time += min_layer_time(counts, &speeds, slots * ranks);
        }
        meter.add(step, slowest, mean, min_time);
        if (step + 1) % REPORT_STEPS == 0 {
            let report = std::mem::replace(&mut window, Window::new(ranks)).report();
            if let Some((counts, work)) = previous_report.replace(report) {
                group.plan(step, &counts, &work);
            }
        }
    }
    Outcome {
        recovery_steps: steps_to_recovery(&meter.skew),
        over_bound: meter.time / meter.min_time,
        over_bound_settled: meter.settled_time / meter.settled_min_time,
        skew: meter.skew,
        loads: group.loads,
        switches: group.switches,
    }
}

impl Group {
    fn new(policy: Policy, ranks: usize, slots: usize, first_counts: &[Vec<f64>]) -> Self {
        let speeds = vec![1.0; ranks];
        let mut map = ExpertMap::initial(ranks as u32, LAYERS as u32, EXPERTS as u32);
        for (layer, counts) in map.layers.iter_mut().zip(first_counts) {
            let sum: f64 = counts.iter().sum();
            let shares: Vec<f64> = counts.iter().map(|c| c / sum).collect();
            if let Some(planned) = full_layer(&shares, &speeds, slots) {
                *layer = planned;
            }
        }
        let load_time = STEP_TIME * STEPS_PER_LOAD as u32;
        let settings = PlannerSettings {
            slots_per_rank: slots as u32,
            staging_per_rank: STAGING_PER_RANK,
            // Drift makes a plan obsolete in about a minute; its loads must pay off in half of that.
            horizon: Duration::from_secs(30),
            load_cost: load_time.mul_f64(LOAD_SLOWDOWN),
            ..PlannerSettings::default()
        };
        Self {
            policy,
            map,
            slots,
            planner: Planner::new(settings, ranks as u32),
            popularity: vec![Popularity::default(); LAYERS],
            switch: None,
            loads: 0,
            switches: 0,
        }
    }

    fn advance(&mut self, step: usize) {
        if let Some(switch) = self.switch.take_if(|s| step >= s.at) {
            self.map.layers = switch.layers;
            self.switches += 1;
        }
    }

    fn loading_speeds(&self, step: usize, speeds: &[f64]) -> Vec<f64> {
        let loading = |rank: usize| {
            let until = self.switch.as_ref().map(|s| s.loading_until[rank]);
            until.is_some_and(|until| step < until)
        };
        let speeds = speeds.iter().enumerate();
        speeds
            .map(|(r, s)| {
                if loading(r) {
                    s * (1.0 - LOAD_SLOWDOWN)
                } else {
                    *s
                }
            })
            .collect()
    }

    fn plan(&mut self, step: usize, counts: &[Vec<u64>], work: &[(u64, Duration)]) {
        self.planner.observe(counts);
        self.planner.observe_speed(work);
        for (popularity, counts) in self.popularity.iter_mut().zip(counts) {
            popularity.observe(counts);
        }
        if self.switch.is_some() {
            return;
        }
        let layers = match self.policy {
            Policy::Static => None,
            Policy::FullReplan => self.full_replan(),
            Policy::Planned => self.planner.plan(&self.map).map(|p| p.layers),
        };
        if let Some(layers) = layers {
            self.start_switch(step, layers);
        }
    }

    fn full_replan(&self) -> Option<Vec<LayerMap>> {
        let speeds = self.planner.speeds().values();
        let layer = |p: &Popularity| full_layer(&p.expected(1.5), speeds, self.slots);
        self.popularity.iter().map(layer).collect()
    }

    fn start_switch(&mut self, step: usize, layers: Vec<LayerMap>) {
        let ranks = self.map.layers[0].ranks.len();
        let mut loading_until = vec![step; ranks];
        for (new, old) in layers.iter().zip(&self.map.layers) {
            for (rank, slots) in new.ranks.iter().enumerate() {
                let loads = slots.iter().filter(|p| !old.holds(rank as u32, p.expert));
                let loads = loads.count();
                self.loads += loads;
                loading_until[rank] += loads * STEPS_PER_LOAD;
            }
        }
        let loaded = loading_until.iter().copied().max().unwrap_or(step);
        self.switch = Some(Switch {
            layers,
            loading_until,
            at: loaded + SWITCH_MARGIN_STEPS,
        });
    }
}

/// Number of tokens that each rank processes. Copies of an expert get tokens by their shares.
fn rank_loads(map: &LayerMap, counts: &[f64]) -> Vec<f64> {
    let load = |(expert, share): (u32, u32)| {
        counts[expert as usize] * f64::from(share) / f64::from(WHOLE_SHARE)
    };
    map.ranks
        .iter()
        .map(|slots| slots.iter().map(|p| load((p.expert, p.share))).sum())
        .collect()
}

fn steps_to_recovery(skew: &[f64]) -> Option<usize> {
    let after = &skew[SHIFT_STEP..];
    let low = |w: &[f64]| w.iter().all(|s| *s < RECOVERED_SKEW);
    after.windows(RECOVERED_STEPS).position(low)
}
