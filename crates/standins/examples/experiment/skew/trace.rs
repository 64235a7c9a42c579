//! Expert traffic of a group: heavy-tailed popularity with drift and one sudden shift.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Number of experts in each layer.
pub const EXPERTS: usize = 256;
/// Number of layers in a trace.
pub const LAYERS: usize = 4;
/// Number of experts that process each token in a layer.
const EXPERTS_PER_TOKEN: usize = 8;
/// Exponent of the power law: the most popular expert gets about 9% of the traffic.
const POPULARITY_EXPONENT: f64 = 0.8;
/// Standard deviation of the relative change of an expert's popularity per step.
const DRIFT_PER_STEP: f64 = 0.005;
/// One in this many experts exchanges its popularity with another in the shift.
const SHIFTED_ONE_OF: usize = 4;

/// Generator of each step's traffic.
pub struct Trace {
    popularity: Vec<Vec<f64>>,
    rng: SmallRng,
    tokens: usize,
}

impl Trace {
    /// Creates a trace with this many tokens per rank in each step.
    pub fn new(seed: u64, ranks: usize, tokens_per_rank: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let layer = |rng: &mut SmallRng| {
            let mut popularity: Vec<f64> = (1..=EXPERTS)
                .map(|i| (i as f64).powf(-POPULARITY_EXPONENT))
                .collect();
            popularity.shuffle(rng);
            popularity
        };
        Self {
            popularity: (0..LAYERS).map(|_| layer(&mut rng)).collect(),
            rng,
            tokens: ranks * tokens_per_rank * EXPERTS_PER_TOKEN,
        }
    }

    /// Draws the number of tokens of each expert in the next step, by layer.
    pub fn step(&mut self) -> Vec<Vec<f64>> {
        let mut counts = Vec::with_capacity(LAYERS);
        for layer in 0..LAYERS {
            for expert in 0..EXPERTS {
                let drift = DRIFT_PER_STEP * normal(&mut self.rng);
                self.popularity[layer][expert] *= drift.exp();
            }
            let sum: f64 = self.popularity[layer].iter().sum();
            let tokens = self.tokens as f64;
            let mut drawn = Vec::with_capacity(EXPERTS);
            for popularity in &self.popularity[layer] {
                // Normal approximation of the Poisson distribution.
                let mean = tokens * popularity / sum;
                let count = mean + mean.sqrt() * normal(&mut self.rng);
                drawn.push(count.round().max(0.0));
            }
            counts.push(drawn);
        }
        counts
    }

    /// Permutes the popularity of a random part of the experts in each layer.
    pub fn shift(&mut self) {
        for popularity in &mut self.popularity {
            let mut experts: Vec<usize> = (0..EXPERTS).collect();
            experts.shuffle(&mut self.rng);
            experts.truncate(EXPERTS / SHIFTED_ONE_OF);
            let mut values: Vec<f64> = experts.iter().map(|e| popularity[*e]).collect();
            values.shuffle(&mut self.rng);
            for (expert, value) in experts.into_iter().zip(values) {
                popularity[expert] = value;
            }
        }
    }
}

/// Draws from the standard normal distribution with the Box-Muller transform.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
