//! Traffic of a group's experts: heavy-tailed, drifting, with one jump.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Experts in each layer.
pub const EXPERTS: usize = 256;
/// Layers.
pub const LAYERS: usize = 4;
/// Experts that process each token.
const EXPERTS_PER_TOKEN: usize = 8;
/// Exponent of the heavy tail: the most popular expert gets about 9% of the traffic.
const TAIL: f64 = 0.8;
/// Deviation of an expert's change per step, as a part of its weight.
const DRIFT: f64 = 0.005;
/// One of so many experts changes places in the jump.
const JUMP_ONE_OF: usize = 4;

/// Generator of each step's traffic.
pub struct Trace {
    weights: Vec<Vec<f64>>,
    rng: SmallRng,
    tokens: usize,
}

impl Trace {
    /// A trace with this many tokens on each of the ranks in each step.
    pub fn new(seed: u64, ranks: usize, tokens_per_rank: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let layer = |rng: &mut SmallRng| {
            let mut weights: Vec<f64> = (1..=EXPERTS).map(|i| (i as f64).powf(-TAIL)).collect();
            weights.shuffle(rng);
            weights
        };
        Self {
            weights: (0..LAYERS).map(|_| layer(&mut rng)).collect(),
            rng,
            tokens: ranks * tokens_per_rank * EXPERTS_PER_TOKEN,
        }
    }

    /// Tokens of each expert in the next step, by layer.
    pub fn step(&mut self) -> Vec<Vec<f64>> {
        let mut counts = Vec::with_capacity(LAYERS);
        for layer in 0..LAYERS {
            for expert in 0..EXPERTS {
                let drift = DRIFT * normal(&mut self.rng);
                self.weights[layer][expert] *= drift.exp();
            }
            let sum: f64 = self.weights[layer].iter().sum();
            let tokens = self.tokens as f64;
            let mut drawn = Vec::with_capacity(EXPERTS);
            for weight in &self.weights[layer] {
                // A Poisson draw, as its normal approximation.
                let mean = tokens * weight / sum;
                let count = mean + mean.sqrt() * normal(&mut self.rng);
                drawn.push(count.round().max(0.0));
            }
            counts.push(drawn);
        }
        counts
    }

    /// Part of the experts change places.
    pub fn jump(&mut self) {
        for weights in &mut self.weights {
            let mut experts: Vec<usize> = (0..EXPERTS).collect();
            experts.shuffle(&mut self.rng);
            experts.truncate(EXPERTS / JUMP_ONE_OF);
            let mut values: Vec<f64> = experts.iter().map(|e| weights[*e]).collect();
            values.shuffle(&mut self.rng);
            for (expert, value) in experts.into_iter().zip(values) {
                weights[expert] = value;
            }
        }
    }
}

/// A draw from the normal distribution, by Box and Muller's method.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
