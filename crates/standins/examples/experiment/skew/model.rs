//! A group in lock-step under a policy, step by step.

use std::time::Duration;

use eelgrasshold_core::group::map::{ExpertMap, LayerMap, WHOLE_SHARE};
use eelgrasshold_core::group::planner::{Planner, PlannerSettings, full_layer};
use eelgrasshold_core::group::popularity::Popularity;

use super::bound::bound;
use super::trace::{EXPERTS, LAYERS, Trace};

/// Steps.
pub const STEPS: usize = 2_000;
/// Step of the jump.
const JUMP_AT: usize = 1_000;
/// Steps from the jump on that the settled figure leaves out.
const UNSETTLED_STEPS: usize = 100;
/// Steps whose counts are reported together: with 58 layers, a report each half second is
/// 2 KB a second. It is used one window later.
const WINDOW: usize = 20;
/// Steps between the end of loading and the switch: 0.2 s for three messages.
const SWITCH_MARGIN: usize = 8;
/// Steps that loading one weight takes on a rank: 44 MB at 0.9 GB/s, in steps of 24 ms.
const STEPS_PER_LOAD: usize = 2;
/// Part of a rank's speed that loading takes.
const LOAD_SLOWDOWN: f64 = 0.1;
/// Time of a step.
const STEP: Duration = Duration::from_millis(24);
/// Weights that a rank can hold beside its map.
const STAGING: u32 = 16;
/// Step from which the straggler is slow.
const STRAGGLER_AT: usize = 500;
/// Skew under which the group has recovered from the jump, and for how many steps.
const RECOVERED_SKEW: f64 = 1.2;
const RECOVERED_STEPS: usize = 20;

/// What plans the maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The first map for ever.
    Static,
    /// A map from nothing whenever the last one is in force.
    FullReplan,
    /// The planner of the core.
    Planned,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Static, Self::FullReplan, Self::Planned];

    /// Name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::FullReplan => "full_replan",
            Self::Planned => "eelgrasshold",
        }
    }
}

/// What a run gave.
pub struct Outcome {
    /// Slowest over mean rank time, by step.
    pub skew: Vec<f64>,
    /// Time over the bound, over all steps after the straggler's start or from the first.
    pub over_bound: f64,
    /// The same, without the steps in which a jump can't be known yet.
    pub over_bound_settled: f64,
    /// Weights loaded.
    pub loads: usize,
    /// Steps after the jump until the skew stayed low; none if it didn't.
    pub recovery_steps: Option<usize>,
    /// Switches of the map.
    pub switches: usize,
}

/// Tokens of each expert by layer, and each rank's tokens and busy time.
type Report = (Vec<Vec<u64>>, Vec<(u64, Duration)>);

/// A switch under way.
struct Switch {
    layers: Vec<LayerMap>,
    loading_until: Vec<usize>,
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

/// What a run is measured by.
#[derive(Default)]
struct Meter {
    straggler: bool,
    skew: Vec<f64>,
    time: f64,
    least: f64,
    settled_time: f64,
    settled_least: f64,
}

impl Meter {
    fn add(&mut self, step: usize, slowest: f64, mean: f64, least: f64) {
        self.skew.push(slowest / mean);
        if self.straggler && step < STRAGGLER_AT {
            return;
        }
        self.time += slowest;
        self.least += least;
        if !(JUMP_AT..JUMP_AT + UNSETTLED_STEPS).contains(&step) {
            self.settled_time += slowest;
            self.settled_least += least;
        }
    }
}

/// Tokens by expert and work by rank since the last report.
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

    /// Adds a layer of a step; returns the slowest and the mean rank's time.
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

/// Runs a policy on the trace of a seed.
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
    let mut reported: Option<Report> = None;
    let mut meter = Meter {
        straggler,
        ..Meter::default()
    };
    for step in 0..STEPS {
        if step == JUMP_AT {
            trace.jump();
        }
        let mut speeds = vec![1.0; ranks];
        if straggler && step >= STRAGGLER_AT {
            speeds[0] = 0.5;
        }
        group.advance(step);
        let present = group.loading_speeds(step, &speeds);
        let (mut slowest, mut mean, mut least) = (0.0, 0.0, 0.0);
        for (layer, counts) in trace.step().iter().enumerate() {
            let loads = rank_loads(&group.map.layers[layer], counts);
            let times = window.add(layer, counts, &loads, &present);
            slowest += times.0;
            mean += times.1;
            least += bound(counts, &speeds, slots * ranks);
        }
        meter.add(step, slowest, mean, least);
        if (step + 1) % WINDOW == 0 {
            let report = std::mem::replace(&mut window, Window::new(ranks)).report();
            if let Some((counts, work)) = reported.replace(report) {
                group.plan(step, &counts, &work);
            }
        }
    }
    Outcome {
        recovery_steps: recovery(&meter.skew),
        over_bound: meter.time / meter.least,
        over_bound_settled: meter.settled_time / meter.settled_least,
        skew: meter.skew,
        loads: group.loads,
        switches: group.switches,
    }
}

impl Group {
    fn new(policy: Policy, ranks: usize, slots: usize, first: &[Vec<f64>]) -> Self {
        let speeds = vec![1.0; ranks];
        let mut map = ExpertMap::initial(ranks as u32, LAYERS as u32, EXPERTS as u32);
        for (layer, counts) in map.layers.iter_mut().zip(first) {
            let sum: f64 = counts.iter().sum();
            let shares: Vec<f64> = counts.iter().map(|c| c / sum).collect();
            if let Some(planned) = full_layer(&shares, &speeds, slots) {
                *layer = planned;
            }
        }
        let load_time = STEP * STEPS_PER_LOAD as u32;
        let settings = PlannerSettings {
            slots_per_rank: slots as u32,
            staging_per_rank: STAGING,
            // Time between two looks at a drift that undoes a plan in about a minute.
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
            at: loaded + SWITCH_MARGIN,
        });
    }
}

/// Tokens that each rank processes. Tokens are dealt to copies by their shares.
fn rank_loads(map: &LayerMap, counts: &[f64]) -> Vec<f64> {
    let load = |(expert, share): (u32, u32)| {
        counts[expert as usize] * f64::from(share) / f64::from(WHOLE_SHARE)
    };
    map.ranks
        .iter()
        .map(|slots| slots.iter().map(|p| load((p.expert, p.share))).sum())
        .collect()
}

fn recovery(skew: &[f64]) -> Option<usize> {
    let after = &skew[JUMP_AT..];
    let low = |w: &[f64]| w.iter().all(|s| *s < RECOVERED_SKEW);
    after.windows(RECOVERED_STEPS).position(low)
}
