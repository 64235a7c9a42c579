//! Wall-clock time of planning.

use std::time::Instant;

use eelgrasshold_core::group::map::ExpertMap;
use eelgrasshold_core::group::planner::{Planner, PlannerSettings};

use super::trace::{EXPERTS, LAYERS, Trace};

const RANKS: usize = 32;
const PLANS_PER_RUN: usize = 12;

/// Mean and longest time of a plan for this number of layers, in milliseconds. The initial map
/// has no copies, so the first plans change the most.
pub fn plan_ms(seed: u64, layers: usize) -> (f64, f64) {
    let mut traces: Vec<Trace> = (0..layers.div_ceil(LAYERS))
        .map(|i| Trace::new(seed + i as u64, RANKS, 512))
        .collect();
    let mut map = ExpertMap::initial(RANKS as u32, layers as u32, EXPERTS as u32);
    let mut planner = Planner::new(PlannerSettings::default(), RANKS as u32);
    let (mut sum, mut max_ms): (f64, f64) = (0.0, 0.0);
    for _ in 0..PLANS_PER_RUN {
        let counts: Vec<Vec<u64>> = traces
            .iter_mut()
            .flat_map(Trace::step)
            .take(layers)
            .map(|l| l.into_iter().map(|c| c as u64).collect())
            .collect();
        let start = Instant::now();
        planner.observe(&counts);
        let plan = planner.plan(&map);
        let ms = start.elapsed().as_secs_f64() * 1e3;
        sum += ms;
        max_ms = max_ms.max(ms);
        if let Some(plan) = plan {
            map.layers = plan.layers;
        }
    }
    (sum / PLANS_PER_RUN as f64, max_ms)
}
