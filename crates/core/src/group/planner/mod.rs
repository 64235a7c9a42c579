//! Plans expert maps: which experts each rank holds, and each copy's share.
//!
//! There are two kinds of change. Shifting shares between loaded copies moves no weights, so it is
//! done as soon as the predicted gain exceeds the noise. Loading weights uses bandwidth and slows
//! down the loading rank, so it is done only if the step time saved over the horizon exceeds its
//! cost. Plans are incremental: they start from the present map and change a few slots.

mod full;
mod layer;
mod moves;
mod shares;
mod speed;

#[cfg(test)]
mod tests;

use std::time::Duration;

use super::map::{ExpertMap, LayerMap};
use super::popularity::Popularity;

pub use full::full_layer;
pub use layer::Layer;
pub use speed::Speeds;

/// Maximum number of moves tried in one plan, over all layers. This bounds planning time; plans are
/// incremental, so the next one continues.
const MAX_MOVES: usize = 240;
/// Number of moves that a layer may try when a quarter of the remaining ones is less.
const MIN_LAYER_MOVES: usize = 4;

/// Settings of a planner.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Expert slots of each rank in each layer.
    pub slots_per_rank: u32,
    /// Weights that a rank can load beside the present map in one switch, over all layers.
    pub staging_per_rank: u32,
    /// Time over which a better map must pay for its loads.
    pub horizon: Duration,
    /// Time that the group loses while one weight is loaded.
    pub load_cost: Duration,
    /// Minimum gain for which a layer is changed, as a fraction of its balanced time.
    pub min_gain: f64,
    /// Number of observation windows between a count and the use of a plan made from it.
    pub lag_windows: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            slots_per_rank: 9,
            staging_per_rank: 16,
            horizon: Duration::from_secs(60),
            load_cost: Duration::from_millis(4),
            min_gain: 0.003,
            lag_windows: 1.5,
        }
    }
}

/// A planned map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// All layers, including unchanged ones.
    pub layers: Vec<LayerMap>,
    /// Number of layers that changed.
    pub changed: usize,
    /// Number of weights to load, over all ranks and layers.
    pub loads: usize,
}

/// Plans a group's maps from observed load.
///
/// ```
/// use eelgrasshold_core::group::map::ExpertMap;
/// use eelgrasshold_core::group::planner::{Planner, PlannerSettings};
///
/// let map = ExpertMap::initial(2, 1, 4);
/// let settings = PlannerSettings { slots_per_rank: 3, ..PlannerSettings::default() };
/// let mut planner = Planner::new(settings, 2);
/// planner.observe(&[vec![700, 100, 100, 100]]);
/// let plan = planner.plan(&map).expect("the first rank has four fifths of the work");
/// assert!(plan.loads > 0);
/// ```
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    popularity: Vec<Popularity>,
    speeds: Speeds,
}

impl Planner {
    /// Creates a planner without observations; all ranks have the same speed.
    #[must_use]
    pub fn new(settings: PlannerSettings, ranks: u32) -> Self {
        Self {
            settings,
            popularity: Vec::new(),
            speeds: Speeds::new(ranks),
        }
    }

    /// Records the tokens that each expert processed in one window, by layer.
    pub fn observe(&mut self, counts: &[Vec<u64>]) {
        self.popularity.resize(counts.len(), Popularity::default());
        for (popularity, counts) in self.popularity.iter_mut().zip(counts) {
            popularity.observe(counts);
        }
    }

    /// Records the tokens that each rank processed and the time that it was busy with them.
    pub fn observe_speed(&mut self, work: &[(u64, Duration)]) {
        self.speeds.observe(work);
    }

    /// Estimated speeds of the ranks; 1 is the group's typical rank.
    #[must_use]
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Returns a better map, if its gain exceeds its cost.
    #[must_use]
    pub fn plan(&self, map: &ExpertMap) -> Option<Plan> {
        let mut staging = vec![self.settings.staging_per_rank; self.speeds.values().len()];
        let layers = map.layers.len().max(1);
        let horizon_s = self.settings.horizon.as_secs_f64() / layers as f64;
        let cost = self.settings.load_cost.as_secs_f64() / horizon_s.max(f64::MIN_POSITIVE);
        let mut plan = Plan {
            layers: map.layers.clone(),
            changed: 0,
            loads: 0,
        };
        let mut moves = MAX_MOVES;
        let min_gain = self.settings.min_gain;
        for (index, mut layer) in self.least_balanced_first(map) {
            let before = layer.time();
            let share = (moves / 4).max(MIN_LAYER_MOVES).min(moves);
            let mut layer_moves = share;
            let loads = moves::improve(&mut layer, cost, min_gain, &mut staging, &mut layer_moves);
            moves -= share - layer_moves;
            if before - layer.time() < min_gain * layer.balanced_time() {
                continue;
            }
            plan.layers[index] = layer.to_map();
            plan.changed += 1;
            plan.loads += loads;
        }
        (plan.changed > 0).then_some(plan)
    }

    /// Layers with their expected popularity, the least balanced first, since these get staging
    /// memory and moves first.
    fn least_balanced_first(&self, map: &ExpertMap) -> Vec<(usize, Layer)> {
        let speeds = self.speeds.values();
        let slots = self.settings.slots_per_rank as usize;
        let mut layers = Vec::with_capacity(map.layers.len());
        for (index, (present, popularity)) in map.layers.iter().zip(&self.popularity).enumerate() {
            if popularity.is_empty() {
                continue;
            }
            let expected = popularity.expected(self.settings.lag_windows);
            if let Some(layer) = Layer::new(present, expected, speeds, slots) {
                layers.push((index, layer));
            }
        }
        let excess = |l: &Layer| l.time() / l.balanced_time().max(f64::MIN_POSITIVE);
        layers.sort_by(|a, b| excess(&b.1).total_cmp(&excess(&a.1)));
        layers
    }
}
